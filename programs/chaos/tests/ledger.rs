//! A ledger with two dispatchers: killed and started again while they serve, every charge there once.
mod common;

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bitternlatch_billing::{read_journals, rows};
use bitternlatch_chaos::process::free_address;
use bitternlatch_quota_server::{QuotaServer, Settings, Tenant};
use common::{create, final_kind, folder, rig, wait_for, Rig, FOUR};
use serde_json::json;

const RATE: f64 = 50_000.0;

/// Starts one; the one before it may still be about to let go of its file and port.
fn start(address: &str, file: &Path) -> QuotaServer {
    let tenants = vec![Tenant {
        name: "association".into(),
        tokens_per_s: RATE,
    }];
    let settings = Settings {
        address: address.to_string(),
        file: file.to_path_buf(),
        tenants,
    };
    let by = Instant::now() + Duration::from_secs(30);
    loop {
        match QuotaServer::start(&settings) {
            Ok(running) => return running,
            Err(why) => assert!(Instant::now() < by, "{why}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn with_ledger(name: &str, address: &str) -> Rig {
    let address = address.to_string();
    rig(name, FOUR, 2, move |settings| {
        let table =
            |v: serde_json::Value| serde_json::from_value::<toml::Value>(v).expect("a value");
        settings.insert("charges".into(), table(json!({ "file": "any" })));
        settings.insert("ledger".into(), table(json!({ "address": address })));
        let budget = json!({ "rate": { "tokens_per_s": RATE, "burst_tokens": 200_000.0 } });
        let tenants = json!([{ "name": "association", "quota_rps": 1000.0, "budget": budget }]);
        settings.insert("tenants".into(), table(tenants));
    })
}

fn serve(rig: &Rig, from: usize, to: usize) {
    for i in from..to {
        let client = rig.client(i % 2);
        client.say(&create(
            "slot-query",
            &format!("k{i}"),
            &format!("{} [len=3]", "words ".repeat(20)),
        ));
        assert_eq!(final_kind(&client), "response.completed", "request {i}");
        client.close();
    }
}

#[test]
fn a_ledger_that_is_killed_costs_no_answer_and_has_every_charge_once_in_the_end() {
    let dir = folder("ledger");
    let (address, file) = (free_address(), dir.join("ledger.charges"));
    let ledger = start(&address, &file);
    let rig = with_ledger("ledger-run", &address);
    serve(&rig, 0, 12);
    let lent = |l: &QuotaServer| l.leased_tokens_per_s()["association"];
    wait_for("parts", || {
        serve(&rig, 1000, 1002);
        lent(&ledger) > 0.0
    });
    assert!(lent(&ledger) <= RATE);
    ledger.stop();
    serve(&rig, 12, 24);
    let ledger = start(&address, &file);
    serve(&rig, 24, 36);
    // Parts of before may be out: nothing is lent for the time of one.
    assert_eq!(lent(&ledger), 0.0);
    let ours: Vec<PathBuf> = rig
        .dispatchers
        .iter()
        .map(|d| rig.dir.join(format!("{}.charges", d.name)))
        .collect();
    wait_for("the last shipment", || ledger.charged_requests() == Ok(38));
    rig.end();
    ledger.stop();
    wait_for("the ledger's journal", || {
        bitternlatch_journal::Journal::open(&file).is_ok()
    });
    let (kept, wrong) = read_journals(&[file]).expect("the ledger's journal");
    let (own, _) = read_journals(&ours).expect("the dispatchers' journals");
    assert!(wrong.is_empty());
    assert_eq!(rows(&kept.bill(0, u64::MAX)), rows(&own.bill(0, u64::MAX)));
    assert_eq!(kept, own, "every charge, once");
    assert_eq!(own.latest().count(), 38);
}
