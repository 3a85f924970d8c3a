//! Workflows over real processes: a short day with kills, pauses and cuts, and its captures made worse.
mod common;

use std::path::Path;

use bitternlatch_chaos::agents::workflows;
use bitternlatch_chaos::day::Day;
use bitternlatch_chaos::run::run;
use bitternlatch_invariant_checker::{judge, read_lines, Facts, Rule, Verdict};
use bitternlatch_mock_engine::capture::Line;
use bitternlatch_protocol::engine::{decode, ToEngine};
use common::{folder, image};

/// The day of `deploy/scenarios/worker-crashes.toml`, made short.
fn short() -> (Day, std::path::PathBuf) {
    let days = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios");
    let mut day = Day::read(&days.join("worker-crashes.toml")).expect("a day");
    (day.between, day.process) = (Vec::new(), Vec::new());
    day.for_s = 6.0;
    day.dispatchers.count = 4;
    let agents = day.agents.as_mut().expect("agents");
    (
        agents.workers,
        agents.workflows,
        agents.steps,
        agents.at_once,
    ) = (3, 6, 8, 2);
    (
        agents.think_s,
        agents.kills,
        agents.kills_within_s,
        agents.within_s,
    ) = (1.2, 12, 7.0, 60.0);
    (day, days)
}

fn again(dir: &Path, doctor: impl Fn(&Day, &mut Vec<Line>, &mut Vec<Line>)) -> Verdict {
    let text = std::fs::read_to_string(dir.join("facts.json")).expect("facts");
    let facts: Facts = serde_json::from_str(&text).expect("facts");
    let read = |name| read_lines(&dir.join(name)).expect(name);
    let (mut clients, mut hosts) = (read("clients.jsonl"), read("hosts.jsonl"));
    doctor(&short().0, &mut clients, &mut hosts);
    judge(&facts, clients, hosts)
}

/// The send of a step of this effect to the host that had it run, and the effect's number.
fn sent(day: &Day, hosts: &[Line], effect: usize) -> Line {
    let agents = day.agents.as_ref().expect("agents");
    let plans = workflows(agents, day.seed);
    let marks: Vec<String> = plans
        .iter()
        .flat_map(|w| {
            (1..)
                .zip(&w.steps)
                .map(|(n, s)| (format!("[req={}.{n}]", w.name), s.effect))
        })
        .filter(|(_, e)| *e == effect)
        .map(|(mark, _)| mark)
        .collect();
    let runs = |line: &&Line| match decode::<ToEngine>(&line.text) {
        Ok(ToEngine::Completion { body, .. }) => {
            let read_alone = body
                .kv_transfer_params
                .as_ref()
                .is_some_and(|k| k.do_remote_decode);
            line.dir == "in"
                && !read_alone
                && marks.iter().any(|m| body.prompt.ends_with(m.as_str()))
        }
        _ => false,
    };
    hosts.iter().find(runs).cloned().expect("such a step ran")
}

#[test]
fn workflows_end_though_workers_and_dispatchers_are_killed_paused_and_cut() {
    let (day, base) = short();
    let dir = folder("agents-short");
    let outcome = run(&day, &base, &dir, &image()).expect("the day runs");
    let tally = outcome.verdict.workflows;
    assert!(
        outcome.verdict.breaches.is_empty(),
        "{tally:?} {:#?}",
        outcome.verdict.breaches
    );
    assert_eq!(
        outcome.records, outcome.records_alike,
        "records replay alike"
    );
    assert_eq!((outcome.drawn, tally.planned), (12, 6));
    assert!(
        tally.finished + tally.unsettled + tally.parked >= 6 && tally.finished > 0,
        "{tally:?}"
    );
    assert!(tally.claims > 6, "some were claimed again: {tally:?}");

    // The same captures, made worse.
    let twice = again(&dir, |day, _, hosts| {
        let mut line = sent(day, hosts, 2);
        line.t += 1;
        line.text = line.text.replace("-0\"", "-9\"");
        hosts.push(line);
    });
    assert!(
        twice.by_rule()[&Rule::NoEffectTwice] > 0,
        "an unsafe step that ran twice"
    );
    let lost = again(&dir, |_, clients, _| {
        clients.iter_mut().filter(|l| l.dir == "in").for_each(|l| {
            l.text = l
                .text
                .replace("\\\"fate\\\":\\\"done\\\"", "\\\"fate\\\":\\\"open\\\"");
        });
    });
    assert!(
        lost.by_rule()[&Rule::NoResultLost] > 0,
        "claims that show nothing done"
    );
    let ended = again(&dir, |_, clients, _| {
        clients.retain(|l| !l.text.contains("\"finish\""))
    });
    assert!(
        ended.by_rule()[&Rule::WorkflowsEnd] > 0,
        "workflows that nobody finished"
    );
}
