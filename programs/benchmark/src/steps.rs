//! What the steps of an engine cost this machine.

use std::collections::BTreeSet;
use std::time::Instant;

use bitternlatch_engine::{Constants, Engine, Id, Input, Output, Prompt, Request, Work};

/// Simulated seconds of each engine whose cost is measured.
const COST_S: f64 = 60.0;

/// What a step costs this machine: engines of some batch sizes, each as full as its slots, stepped in order of time.
pub fn cost(engines: usize) -> Result<(), String> {
    println!(
        "{:<10} {:>9} {:>10} {:>12} {:>12} {:>14}",
        "engines", "sequences", "steps", "ns a step", "ns a token", "of a core each"
    );
    for slots in [1, 8, 64, 256] {
        let constants = Constants {
            slots,
            queue: 4,
            memory_tokens: 4_000_000,
            ..Constants::default()
        };
        let made = (0..engines)
            .map(|_| Engine::new(constants))
            .collect::<Result<Vec<_>, _>>();
        let mut all = made.map_err(|e| format!("{e}; {}", e.advice()))?;
        let (mut out, mut next, mut steps, mut tokens) = (Vec::new(), 0u64, 0u64, 0u64);
        let mut submit = |engine: &mut Engine, at: f64, out: &mut Vec<Output>| {
            next += 1;
            let prompt = Prompt {
                tokens: 400,
                marks: (0..6).map(|n| next * 8 + n).collect(),
            };
            let work = Work::FetchAndWrite {
                answer: 100 + (next % 400) as u32,
            };
            engine.step(
                at,
                Input::Submit(Request {
                    id: Id(next),
                    prompt,
                    work,
                }),
                out,
            );
        };
        let mut due: BTreeSet<(u64, usize)> = BTreeSet::new();
        for (i, engine) in all.iter_mut().enumerate() {
            (0..slots).for_each(|_| submit(engine, 0.0, &mut out));
            due.extend(engine.next_at().map(|at| (at.to_bits(), i)));
        }
        let began = Instant::now();
        while let Some((bits, i)) = due.pop_first() {
            let at = f64::from_bits(bits);
            if at > COST_S {
                break;
            }
            out.clear();
            all[i].step(at, Input::Time, &mut out);
            steps += 1;
            for said in std::mem::take(&mut out) {
                match said {
                    Output::Fetched { id } => all[i].step(at, Input::Taken(id), &mut out),
                    Output::Token { last: true, .. } => submit(&mut all[i], at, &mut out),
                    _ => {}
                }
                tokens += u64::from(matches!(said, Output::Token { .. }));
            }
            due.extend(all[i].next_at().map(|at| (at.to_bits(), i)));
        }
        let took = began.elapsed().as_secs_f64();
        println!(
            "{engines:<10} {slots:>9} {steps:>10} {:>12.0} {:>12.0} {:>14.6}",
            took * 1e9 / steps.max(1) as f64,
            took * 1e9 / tokens.max(1) as f64,
            took / COST_S / engines.max(1) as f64
        );
    }
    Ok(())
}
