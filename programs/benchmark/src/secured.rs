//! What TLS and callers cost, against the same dispatcher with plain sessions.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bitternlatch_chaos::client::Client;
use bitternlatch_chaos::process::Dispatcher;
use bitternlatch_chaos::secured::Proofs;
use bitternlatch_identity::keys::KeySet;
use bitternlatch_identity::token::{verify_token, TokenRules};
use bitternlatch_keys::Ring;
use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_mock_engine::Standins;
use bitternlatch_net::dial::{connect_and_upgrade, DialOptions};
use ring::rand::SystemRandom;
use ring::signature::{Ed25519KeyPair, KeyPair, UnparsedPublicKey, ED25519};
use serde_json::json;

use crate::latency::{ask, Times};
use crate::rig::{dispatcher_as, folder, quantile, stand_ins};

const WITHIN: Duration = Duration::from_secs(10);
const PATH: &str = "/v1/responses";

/// A dispatcher with its hosts, and how it is called.
struct Side {
    name: &'static str,
    dispatcher: Dispatcher,
    manner: DialOptions,
    _hosts: Standins,
}

fn side(
    name: &'static str,
    proofs: Option<&Proofs>,
    by_token: bool,
    sessions: usize,
) -> Result<Side, String> {
    let (hosts, list) = stand_ins(proofs.map(Proofs::hosts))?;
    let ready = proofs.map(Proofs::desk).unwrap_or_default();
    let dispatcher = dispatcher_as(&list, &ready, |settings| {
        if let Some(proofs) = proofs {
            // Settings of this program's own hold a listen table.
            let _ = proofs.settings(settings);
        }
        if let Some(listen) = settings["listen"].as_table_mut() {
            listen.insert("sessions".into(), (sessions as i64 + 10).into());
        }
    })?;
    let manner = proofs
        .map(|p| p.manner(usize::from(by_token)))
        .unwrap_or_default();
    Ok(Side {
        name,
        dispatcher,
        manner,
        _hosts: hosts,
    })
}

/// Measures by turns, so that all sides meet the same machine.
pub fn measure(requests: usize, sessions: usize, rounds: usize) -> Result<(), String> {
    let classes = ["slot-query", "season-booking"];
    let proofs = Proofs::make(&folder(), &["reader-1", "writer-1"], &classes)?;
    let sides = [
        side("plain", None, false, sessions)?,
        side("TLS, certificate", Some(&proofs), false, sessions)?,
        side("TLS, token", Some(&proofs), true, sessions)?,
    ];
    handshakes(&sides, rounds)?;
    first_token(&sides, requests)?;
    memory(&sides, sessions)?;
    tokens(rounds)
}

/// Sessions opened and closed one after the other by each of four threads.
fn handshakes(sides: &[Side], rounds: usize) -> Result<(), String> {
    const EACH: usize = 250;
    let mut rates = vec![Vec::new(); sides.len()];
    for _ in 0..rounds {
        for (side, rates) in sides.iter().zip(&mut rates) {
            let start = Instant::now();
            let open = || -> Result<(), String> {
                for _ in 0..EACH {
                    connect_and_upgrade(&side.dispatcher.address, PATH, &side.manner, WITHIN)
                        .map_err(|e| e.to_string())?;
                }
                Ok(())
            };
            std::thread::scope(|s| {
                let all: Vec<_> = (0..4).map(|_| s.spawn(open)).collect();
                all.into_iter()
                    .try_for_each(|t| t.join().map_err(|_| "a thread failed".to_string())?)
            })?;
            rates.push((4 * EACH) as f64 / start.elapsed().as_secs_f64());
        }
    }
    let median = |rates: &mut Vec<f64>| {
        rates.sort_by(f64::total_cmp);
        quantile(rates, 0.5)
    };
    let rates: Vec<f64> = rates.iter_mut().map(median).collect();
    for (side, rate) in sides.iter().zip(&rates) {
        println!(
            "sessions opened a second, 4 clients: {:<18} {rate:>8.0} ({:.2} of plain)",
            side.name,
            rate / rates[0]
        );
    }
    Ok(())
}

fn first_token(sides: &[Side], requests: usize) -> Result<(), String> {
    let mut met = Vec::new();
    for side in sides {
        let client = Client::connect_as(
            &side.dispatcher.address,
            "m",
            "d",
            Capture::none(),
            &side.manner,
        );
        met.push((client.map_err(|e| e.to_string())?, Times::new()?));
    }
    for i in 0..requests {
        for (client, times) in &mut met {
            times.take(&ask(
                client,
                &format!("{i} {} [len=20]", "words of a prompt ".repeat(60)),
            )?);
        }
    }
    let at = |t: &Times, q| t.first.value_at_quantile(q) as f64;
    for (side, (_, times)) in sides.iter().zip(&met) {
        let plain = &met[0].1;
        println!(
            "first token on an open session: {:<18} p50 {:>6.0} us ({:.3} of plain), p99 {:>6.0} us ({:.3})",
            side.name,
            at(times, 0.5),
            at(times, 0.5) / at(plain, 0.5),
            at(times, 0.99),
            at(times, 0.99) / at(plain, 0.99)
        );
    }
    Ok(())
}

fn memory(sides: &[Side], sessions: usize) -> Result<(), String> {
    let mut plain = 0.0;
    for side in sides {
        let resident = || {
            side.dispatcher
                .resident_kib()
                .ok_or("the resident memory is not told")
        };
        let before = resident()?;
        let open = |_| {
            connect_and_upgrade(&side.dispatcher.address, PATH, &side.manner, WITHIN)
                .map_err(|e| e.to_string())
        };
        let open = (0..sessions).map(open).collect::<Result<Vec<_>, _>>()?;
        std::thread::sleep(Duration::from_secs(1));
        let each = resident()?.saturating_sub(before) as f64 / open.len().max(1) as f64;
        plain = if plain == 0.0 { each } else { plain };
        println!(
            "resident for each of {sessions} idle sessions: {:<18} {each:>6.1} KiB ({:.2} of plain)",
            side.name,
            each / plain
        );
    }
    Ok(())
}

/// Tokens checked whole, against the bare verification of as long a message by `ring`.
fn tokens(rounds: usize) -> Result<(), String> {
    const EACH: usize = 2000;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    let mut ring = Ring::default();
    ring.announce(now - 60)?;
    let claims =
        json!({ "iss": "i", "aud": "a", "sub": "ann", "groups": ["members"], "exp": now + 600 });
    let token = ring.sign(now, &claims)?;
    let keys = KeySet::parse(ring.public_key_set()?.as_bytes()).map_err(|e| e.to_string())?;
    let rules = TokenRules {
        issuer: "i".into(),
        audience: "a".into(),
        skew_s: 0,
    };
    let made = Ed25519KeyPair::generate_pkcs8(&SystemRandom::new()).map_err(|_| "no key")?;
    let pair = Ed25519KeyPair::from_pkcs8(made.as_ref()).map_err(|_| "no key")?;
    let message = token
        .rsplit_once('.')
        .map(|(m, _)| m.as_bytes().to_vec())
        .unwrap_or_default();
    let signature = pair.sign(&message);
    let public = UnparsedPublicKey::new(&ED25519, pair.public_key().as_ref().to_vec());
    let (mut whole, mut bare) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let start = Instant::now();
        for _ in 0..EACH {
            verify_token(&token, &keys, &rules, now).map_err(|e| e.to_string())?;
        }
        whole.push(EACH as f64 / start.elapsed().as_secs_f64());
        let start = Instant::now();
        for _ in 0..EACH {
            public
                .verify(&message, signature.as_ref())
                .map_err(|e| e.to_string())?;
        }
        bare.push(EACH as f64 / start.elapsed().as_secs_f64());
    }
    whole.sort_by(f64::total_cmp);
    bare.sort_by(f64::total_cmp);
    let (whole, bare) = (quantile(&whole, 0.5), quantile(&bare, 0.5));
    println!(
        "tokens checked a second on one core: {whole:.0}; bare Ed25519 verifications {bare:.0} ({:.2})",
        whole / bare
    );
    Ok(())
}
