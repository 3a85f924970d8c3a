//! What charges and budgets cost: commits against bare writes, recovery, and one decision.

use std::fs::File;
use std::io::Write;
use std::time::Instant;

use bitternlatch_budget::book::Accounts;
use bitternlatch_budget::charge::{Entry, Usage};
use bitternlatch_budget::plan::{Budget, Rate};
use bitternlatch_budget::Amount;
use bitternlatch_journal::Journal;

use crate::rig::{folder, quantile};

fn entry(i: usize) -> Entry {
    Entry {
        response: format!("resp_{i:056x}"),
        number: 1,
        tenant: "bands".into(),
        class: "slot-query".into(),
        owner: "caller:ann".into(),
        key: format!("key-{i}"),
        accepted_us: 1_800_000_000_000_000 + i as u64,
        used: Usage::Known(Amount {
            prompt: 1000,
            output: 200,
        }),
    }
}

/// Charges a second by batch, each batch waited for; the bare way writes the same JSON and syncs.
pub fn measure(rounds: usize) -> Result<(), String> {
    let dir = folder();
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let text = |e: std::io::Error| e.to_string();
    for batch in [1, 16, 256] {
        let (mut bare, mut kept) = (Vec::new(), Vec::new());
        for round in 0..rounds {
            let batches = 200.min(8192 / batch);
            let entries: Vec<Vec<Entry>> = (0..batches)
                .map(|b| (0..batch).map(|i| entry(b * batch + i)).collect())
                .collect();
            let mut file = File::create(dir.join(format!("bare-{batch}-{round}"))).map_err(text)?;
            let start = Instant::now();
            for some in &entries {
                let lines: Result<Vec<String>, _> =
                    some.iter().map(serde_json::to_string).collect();
                file.write_all(lines.map_err(|e| e.to_string())?.join("\n").as_bytes())
                    .map_err(text)?;
                file.sync_data().map_err(text)?;
            }
            bare.push((batches * batch) as f64 / start.elapsed().as_secs_f64());
            let journal = Journal::open(&dir.join(format!("kept-{batch}-{round}")))
                .map_err(|e| e.to_string())?;
            let start = Instant::now();
            for some in &entries {
                journal.append(some).map_err(|e| e.to_string())?;
            }
            kept.push((batches * batch) as f64 / start.elapsed().as_secs_f64());
        }
        let median = |rates: &mut Vec<f64>| {
            rates.sort_by(f64::total_cmp);
            quantile(rates, 0.5)
        };
        let (bare, kept) = (median(&mut bare), median(&mut kept));
        println!(
            "charges a second in commits of {batch:>3}: {kept:>8.0}; bare write and sync {bare:>8.0} ({:.2})",
            kept / bare
        );
    }
    recovery(&dir)?;
    decisions();
    std::fs::remove_dir_all(&dir).map_err(text)
}

/// Opening after a process that ended without a word.
fn recovery(dir: &std::path::Path) -> Result<(), String> {
    for count in [10_000, 100_000] {
        let path = dir.join(format!("recovery-{count}"));
        {
            let journal = Journal::open(&path).map_err(|e| e.to_string())?;
            for from in (0..count).step_by(1000) {
                let some: Vec<Entry> = (from..from + 1000).map(entry).collect();
                journal.append(&some).map_err(|e| e.to_string())?;
            }
            // Not closed in order: as after a kill.
            std::mem::forget(journal);
        }
        let copy = path.with_extension("copy");
        std::fs::copy(&path, &copy).map_err(|e| e.to_string())?;
        let bytes = std::fs::metadata(&copy).map_err(|e| e.to_string())?.len();
        let start = Instant::now();
        let journal = Journal::open(&copy).map_err(|e| e.to_string())?;
        let opened = start.elapsed();
        let start = Instant::now();
        let bill = journal
            .entries()
            .map_err(|e| e.to_string())?
            .bill(0, u64::MAX);
        println!(
            "{count} charges, {:.1} MiB: opened after a kill in {:.0} ms, billed ({} lines) in {:.0} ms",
            bytes as f64 / 1048576.0,
            opened.as_secs_f64() * 1e3,
            bill.len(),
            start.elapsed().as_secs_f64() * 1e3
        );
    }
    Ok(())
}

/// One hold with its settlement.
fn decisions() {
    const DECISIONS: u32 = 1_000_000;
    for tenants in [10, 10_000, 100_000] {
        let mut accounts = Accounts::default();
        let rate = Some(Rate {
            tokens_per_s: 1e6,
            burst_tokens: 1e7,
        });
        let budget = Budget {
            rate,
            period: None,
            reserve: Default::default(),
        };
        (0..tenants).for_each(|t| accounts.set_budget(0.0, t, &budget, 1.0, |_| None));
        let most = Amount {
            prompt: 1000,
            output: 500,
        };
        let start = Instant::now();
        let mut held = 0;
        for i in 0..DECISIONS {
            let tenant = i.wrapping_mul(2_654_435_761) % tenants;
            if let Ok(reservation) = accounts.reserve(f64::from(i) * 1e-5, tenant, 0, most) {
                held += 1;
                accounts.settle(
                    reservation,
                    Amount {
                        prompt: 1000,
                        output: 100,
                    },
                );
            }
        }
        let ns = start.elapsed().as_nanos() as f64 / f64::from(DECISIONS);
        println!("a budget's decision with its settlement, {tenants:>6} tenants: {ns:.0} ns ({held} held)");
    }
}
