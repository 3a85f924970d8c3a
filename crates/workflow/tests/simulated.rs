//! Workflows over three to six dispatchers in simulated time: stopped at any point, cut, paused, restarted with their disks.

mod fleet;

use bitternlatch_simulation::ms;
use bitternlatch_workflow::SafetyChecks;
use fleet::course::{adopt, lost, play, Plan};

fn many(seeds: std::ops::Range<u64>) {
    let mut wrong = vec![];
    let mut finished = 0;
    for seed in seeds {
        let seen = play(seed, Plan::of(seed));
        finished += seen.finished.len();
        wrong.extend(seen.wrong.into_iter().map(|w| format!("seed {seed}: {w}")));
    }
    println!("{finished} finished");
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    assert!(finished > 0);
}

/// Others by `SEEDS=1000`, or `SEEDS=17..18`.
fn seeds() -> std::ops::Range<u64> {
    let said = std::env::var("SEEDS").unwrap_or_default();
    let (from, to) = said.split_once("..").unwrap_or(("0", &said));
    from.parse().unwrap_or(0)..to.parse().unwrap_or(60)
}

#[test]
fn faults_neither_repeat_unsafe_effects_nor_lose_results() {
    many(seeds());
}

#[test]
fn violations_are_noticed_without_fencing_or_majority_first() {
    for (fencing, majority_first) in [(false, true), (true, false)] {
        let safety_checks = SafetyChecks {
            fencing,
            majority_first,
        };
        let broken = |seed: &u64| {
            let seen = play(
                *seed,
                Plan {
                    safety_checks,
                    ..Plan::of(*seed)
                },
            );
            seen.wrong.iter().any(|w| w.contains("effects"))
        };
        let found = (0..40).filter(broken).count();
        println!("{safety_checks:?}: {found} of 40 seeds");
        assert!(found > 0, "{safety_checks:?} went unnoticed");
    }
}

#[test]
fn thousand_workflows_are_taken_over_soon_after_their_lease() {
    let (took, refused) = adopt(1000);
    assert_eq!(took.len(), 1000, "{refused:?}");
    let (half, most) = (took[500], took[999]);
    println!(
        "adopted after {half:?} p50, {:?} p99, {most:?} at the most; {refused:?}",
        took[990]
    );
    // The lease is a second here; what is nearer would be a lease that was not seen through.
    assert!(
        took[0] > ms(900) && most < ms(4000),
        "{:?} {most:?}",
        took[0]
    );
}

#[test]
fn lost_majority_is_reported_and_nothing_begins_anew() {
    let (claimed, refused) = lost();
    assert_eq!(claimed, 0);
    assert!(
        refused.get("Refused(Lost)").is_some_and(|n| *n >= 20),
        "{refused:?}"
    );
}
