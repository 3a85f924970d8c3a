//! Workflows on three to six dispatchers in simulated time, with faults: dispatchers stopped at any point, network partitions,
//! pauses, and restarts with their disks.

mod fleet;

use bitternlatch_simulation::ms;
use bitternlatch_workflow::SafetyChecks;
use fleet::course::{adopt_all, lose_majority, run, Plan};

fn run_seeds(seeds: std::ops::Range<u64>) {
    let mut violations = vec![];
    let mut finished = 0;
    for seed in seeds {
        let observed = run(seed, Plan::of(seed));
        finished += observed.finished.len();
        violations.extend(
            observed
                .violations
                .into_iter()
                .map(|violation| format!("seed {seed}: {violation}")),
        );
    }
    println!("{finished} finished");
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert!(finished > 0);
}

/// Returns the seeds to run: 0 to 59, or those of the environment variable `SEEDS`, as in `SEEDS=1000` or `SEEDS=17..18`.
fn seeds() -> std::ops::Range<u64> {
    let range = std::env::var("SEEDS").unwrap_or_default();
    let (from, to) = range.split_once("..").unwrap_or(("0", &range));
    from.parse().unwrap_or(0)..to.parse().unwrap_or(60)
}

#[test]
fn faults_neither_repeat_unsafe_effects_nor_lose_results() {
    run_seeds(seeds());
}

#[test]
fn violations_are_detected_without_fencing_or_majority_first() {
    for (fencing, majority_first) in [(false, true), (true, false)] {
        let safety_checks = SafetyChecks {
            fencing,
            majority_first,
        };
        let has_violation = |seed: &u64| {
            let observed = run(
                *seed,
                Plan {
                    safety_checks,
                    ..Plan::of(*seed)
                },
            );
            observed
                .violations
                .iter()
                .any(|violation| violation.contains("effects"))
        };
        let found = (0..40).filter(has_violation).count();
        println!("{safety_checks:?}: {found} of 40 seeds");
        assert!(found > 0, "{safety_checks:?} was not detected");
    }
}

#[test]
fn thousand_workflows_are_adopted_soon_after_lease_expiry() {
    let (took, rejected) = adopt_all(1000);
    assert_eq!(took.len(), 1000, "{rejected:?}");
    let (median, longest) = (took[500], took[999]);
    println!(
        "adopted after {median:?} p50, {:?} p99, {longest:?} maximum; {rejected:?}",
        took[990]
    );
    // The lease lasts 1 s here: a shorter time would mean that a workflow was adopted before its lease expired.
    assert!(
        took[0] > ms(900) && longest < ms(4000),
        "{:?} {longest:?}",
        took[0]
    );
}

#[test]
fn lost_majority_is_reported_and_no_workflow_starts_anew() {
    let (claimed, rejected) = lose_majority();
    assert_eq!(claimed, 0);
    assert!(
        rejected.get("Rejected(Lost)").is_some_and(|n| *n >= 20),
        "{rejected:?}"
    );
}
