//! Tests of the transitions, limits and encoding of a workflow record, without a coordinator or register.

use bitternlatch_membership::NameKey;
use bitternlatch_workflow::*;

const LIMITS: Limits = Limits {
    steps: 2000,
    bytes: 1 << 30,
    tokens: 1 << 30,
    max_age_us: 1_000_000,
};
const ALL_CHECKS: SafetyChecks = SafetyChecks {
    fencing: true,
    majority_first: true,
};

fn claim_by(worker: &str, lease_expired: bool, local_attempt: LocalAttempt) -> Claim<'_> {
    Claim {
        worker,
        holder: NameKey(1),
        lease_us: 3_000_000,
        lease_expired,
        local_attempt,
    }
}

fn attempt(number: u64) -> Attempt {
    Attempt {
        name: 1,
        start: 1,
        number,
    }
}

fn new_record() -> Record {
    Record::begin("band/season", &claim_by("w1", false, LocalAttempt::Unknown))
}

fn intend_as(
    r: &mut Record,
    epoch: u64,
    step: u32,
    effect: Effect,
    request_digest: u64,
    local_attempt: LocalAttempt,
) -> Transition {
    let attempt = attempt(100 * epoch + u64::from(step));
    r.intend(
        &Intent {
            epoch,
            step,
            effect,
            key: "k",
            request_digest,
            attempt,
        },
        |_| local_attempt,
        &LIMITS,
        ALL_CHECKS,
    )
}

fn intend(r: &mut Record, epoch: u64, step: u32, effect: Effect) -> Reply {
    intend_as(r, epoch, step, effect, 7, LocalAttempt::Unknown).reply
}

fn done(result: &str) -> AttemptOutcome {
    AttemptOutcome::Done {
        result: result.to_string(),
        tokens: 1,
    }
}

fn report_outcome(r: &mut Record, epoch: u64, step: u32, outcome: AttemptOutcome) -> Reply {
    r.report_outcome(
        epoch,
        step,
        &outcome,
        Some(attempt(100 * epoch + u64::from(step))),
        ALL_CHECKS,
    )
    .reply
}

fn rejected(reason: RejectReason) -> Reply {
    Reply::Rejected(reason)
}

#[test]
fn step_is_done_once_and_its_result_stays_known() {
    let mut r = new_record();
    assert_eq!(
        intend(&mut r, 1, 2, Effect::Safe),
        rejected(RejectReason::Unknown)
    );
    assert_eq!(intend(&mut r, 1, 1, Effect::Unsafe), Reply::SendPermitted);
    assert_eq!(
        intend(&mut r, 1, 2, Effect::Safe),
        rejected(RejectReason::Unknown)
    );
    assert_eq!(
        report_outcome(&mut r, 1, 1, done("booked")),
        Reply::Committed
    );
    assert_eq!(
        intend(&mut r, 1, 1, Effect::Unsafe),
        Reply::AlreadyDone("booked".into())
    );
    let other = intend_as(&mut r, 1, 1, Effect::Unsafe, 8, LocalAttempt::Unknown);
    assert_eq!(other.reply, rejected(RejectReason::OtherRequest));
    // A step that never ran may be intended with a different request; one that may have run may not.
    assert_eq!(intend(&mut r, 1, 2, Effect::Keyed), Reply::SendPermitted);
    assert_eq!(
        report_outcome(&mut r, 1, 2, AttemptOutcome::NeverRan),
        Reply::Committed
    );
    assert_eq!(
        intend_as(&mut r, 1, 2, Effect::Keyed, 9, LocalAttempt::Unknown).reply,
        Reply::SendPermitted
    );
    assert_eq!(
        report_outcome(&mut r, 1, 2, AttemptOutcome::MayHaveRun),
        Reply::Committed
    );
    assert_eq!(
        intend_as(&mut r, 1, 2, Effect::Keyed, 8, LocalAttempt::Unknown).reply,
        rejected(RejectReason::OtherRequest)
    );
    assert_eq!(
        intend_as(&mut r, 1, 2, Effect::Keyed, 9, LocalAttempt::Unknown).reply,
        Reply::SendPermitted
    );
    // An earlier attempt may have run, so the step does not become one that certainly never ran.
    assert_eq!(
        report_outcome(&mut r, 1, 2, AttemptOutcome::NeverRan),
        Reply::Committed
    );
    assert_eq!(r.summary().1[1].outcome, Some(AttemptOutcome::MayHaveRun));
}

#[test]
fn first_result_of_two_attempts_in_one_epoch_stands() {
    let mut r = new_record();
    for number in [1, 2] {
        let attempt = attempt(number);
        let intent = Intent {
            epoch: 1,
            step: 1,
            effect: Effect::Keyed,
            key: "k",
            request_digest: 1,
            attempt,
        };
        assert_eq!(
            r.intend(&intent, |_| LocalAttempt::Running, &LIMITS, ALL_CHECKS)
                .reply,
            Reply::SendPermitted
        );
    }
    assert_eq!(
        r.report_outcome(1, 1, &done("x"), Some(attempt(1)), ALL_CHECKS)
            .reply,
        Reply::Committed
    );
    assert_eq!(
        r.report_outcome(1, 1, &done("y"), Some(attempt(2)), ALL_CHECKS)
            .reply,
        Reply::AlreadyDone("x".into())
    );
    assert_eq!(r.summary().1[0].outcome, Some(done("x")));
}

#[test]
fn each_claim_fences_the_earlier_ones() {
    let mut r = new_record();
    assert_eq!(
        r.claim(&claim_by("w2", false, LocalAttempt::Unknown)).reply,
        rejected(RejectReason::LeaseHeld)
    );
    assert_eq!(
        r.claim(&claim_by("w1", false, LocalAttempt::Unknown)).reply,
        Reply::Claimed
    );
    assert_eq!(r.epoch(), 2);
    assert_eq!(
        r.claim(&claim_by("w2", true, LocalAttempt::Unknown)).reply,
        Reply::Claimed
    );
    assert_eq!(
        intend(&mut r, 2, 1, Effect::Safe),
        rejected(RejectReason::Fenced)
    );
    assert_eq!(
        r.renew_lease(2, ALL_CHECKS).reply,
        rejected(RejectReason::Fenced)
    );
    assert_eq!(
        r.finish(2, false, ALL_CHECKS).reply,
        rejected(RejectReason::Fenced)
    );
    assert_eq!(intend(&mut r, 3, 1, Effect::Safe), Reply::SendPermitted);
    assert_eq!(
        report_outcome(&mut r, 2, 1, done("late")),
        rejected(RejectReason::Fenced)
    );
    assert_eq!(report_outcome(&mut r, 3, 1, done("here")), Reply::Committed);
    assert_eq!(r.summary().1[0].outcome, Some(done("here")));
    // With fencing off, the worker with the older epoch continues too.
    let without_fencing = SafetyChecks {
        fencing: false,
        ..ALL_CHECKS
    };
    assert_eq!(r.renew_lease(2, without_fencing).reply, Reply::Committed);
}

#[test]
fn unsafe_step_that_may_have_run_needs_a_decision() {
    for (outcome, next) in [
        (done("looked up"), Reply::AlreadyDone("looked up".into())),
        (AttemptOutcome::NeverRan, Reply::SendPermitted),
        (
            AttemptOutcome::MayHaveRun,
            Reply::AlreadyDone("left out: a person decided so; it may have run".into()),
        ),
    ] {
        let mut r = new_record();
        intend(&mut r, 1, 1, Effect::Unsafe);
        let transition = r.claim(&claim_by("w2", true, LocalAttempt::Unknown));
        assert_eq!(transition.reply, rejected(RejectReason::Unsettled));
        assert!(
            transition.write
                && matches!(transition.notice, Some(Notice::Unsettled { step: 1, .. }))
        );
        // Logged once: later claims are rejected without a write or a notice.
        let again = r.claim(&claim_by("w3", true, LocalAttempt::Unknown));
        assert!(
            again.reply == rejected(RejectReason::Unsettled)
                && !again.write
                && again.notice.is_none()
        );
        assert_eq!(
            intend(&mut r, 1, 1, Effect::Unsafe),
            rejected(RejectReason::Unsettled)
        );
        assert_eq!(
            r.settle(1, &outcome, false).reply,
            rejected(RejectReason::LeaseHeld)
        );
        assert_eq!(
            r.settle(2, &outcome, true).reply,
            rejected(RejectReason::Unknown)
        );
        assert_eq!(r.settle(1, &outcome, true).reply, Reply::Committed);
        assert_eq!(
            intend(&mut r, 1, 1, Effect::Unsafe),
            rejected(RejectReason::Fenced)
        );
        assert_eq!(
            r.claim(&claim_by("w3", false, LocalAttempt::Unknown)).reply,
            Reply::Claimed
        );
        let epoch = r.epoch();
        assert_eq!(intend(&mut r, epoch, 1, Effect::Unsafe), next);
    }
}

#[test]
fn late_outcome_settles_the_step_and_a_second_result_is_stored() {
    let mut r = new_record();
    intend(&mut r, 1, 1, Effect::Unsafe);
    r.claim(&claim_by("w2", true, LocalAttempt::Unknown));
    assert_eq!(r.state(), State::Unsettled);
    // The report of another attempt does not settle the step.
    let other_attempt = r.report_outcome(0, 1, &done("other"), Some(attempt(5)), ALL_CHECKS);
    assert_eq!(
        (other_attempt.reply, r.state()),
        (rejected(RejectReason::Fenced), State::Unsettled)
    );
    let transition = r.report_outcome(1, 1, &done("booked"), Some(attempt(101)), ALL_CHECKS);
    assert!(transition.write && transition.notice == Some(Notice::Resolved { step: 1 }));
    assert_eq!(r.state(), State::Open);
    assert_eq!(
        intend(&mut r, 1, 1, Effect::Unsafe),
        Reply::AlreadyDone("booked".into())
    );
    let second = r.report_outcome(1, 1, &done("booked twice"), Some(attempt(101)), ALL_CHECKS);
    assert_eq!(
        (second.write, second.notice),
        (true, Some(Notice::DuplicateResult { step: 1 }))
    );
    assert_eq!(r.summary().1[0].outcome, Some(done("booked")));
}

#[test]
fn running_attempt_of_the_claiming_process_stays_open() {
    let mut r = new_record();
    intend(&mut r, 1, 1, Effect::Unsafe);
    assert_eq!(
        r.claim(&claim_by("w1", false, LocalAttempt::Running)).reply,
        Reply::Claimed
    );
    assert_eq!(
        intend_as(&mut r, 2, 1, Effect::Unsafe, 7, LocalAttempt::Running).reply,
        rejected(RejectReason::Busy)
    );
    assert_eq!(
        report_outcome(&mut r, 1, 1, done("booked")),
        rejected(RejectReason::Fenced)
    );
    assert_eq!(
        intend(&mut r, 2, 1, Effect::Unsafe),
        Reply::AlreadyDone("booked".into())
    );
    // An attempt that this process never permitted to be sent is retried as if it had not been made.
    intend(&mut r, 2, 2, Effect::Unsafe);
    assert_eq!(
        intend_as(&mut r, 2, 2, Effect::Unsafe, 7, LocalAttempt::NeverSent).reply,
        Reply::SendPermitted
    );
    assert_eq!(
        r.claim(&claim_by("w1", false, LocalAttempt::NeverSent))
            .reply,
        Reply::Claimed
    );
    assert_eq!(r.summary().1[1].outcome, Some(AttemptOutcome::NeverRan));
}

#[test]
fn workflow_is_parked_after_three_deaths_without_a_step_done() {
    let mut r = new_record();
    for (epoch, worker) in [(1, "w2"), (2, "w3")] {
        intend(&mut r, epoch, 1, Effect::Safe);
        assert_eq!(
            r.claim(&claim_by(worker, true, LocalAttempt::Unknown))
                .reply,
            Reply::Claimed
        );
    }
    let mut with_progress = r.clone();
    let transition = r.claim(&claim_by("w4", true, LocalAttempt::Unknown));
    assert_eq!(
        (transition.reply, transition.notice),
        (
            rejected(RejectReason::Parked),
            Some(Notice::Parked { step: 1 })
        )
    );
    assert_eq!(
        r.claim(&claim_by("w3", true, LocalAttempt::Unknown)).reply,
        rejected(RejectReason::Parked)
    );
    assert_eq!(
        r.settle(1, &AttemptOutcome::NeverRan, true).reply,
        Reply::Committed
    );
    assert_eq!(
        r.claim(&claim_by("w5", false, LocalAttempt::Unknown)).reply,
        Reply::Claimed
    );
    intend(&mut with_progress, 3, 1, Effect::Safe);
    report_outcome(&mut with_progress, 3, 1, done("x"));
    assert_eq!(
        with_progress
            .claim(&claim_by("w4", true, LocalAttempt::Unknown))
            .reply,
        Reply::Claimed
    );
}

#[test]
fn ended_workflow_keeps_a_short_record() {
    for which in 0..3 {
        let mut r = new_record();
        for step in 1..=20 {
            intend(&mut r, 1, step, Effect::Keyed);
            report_outcome(&mut r, 1, step, done(&"x".repeat(MAX_RESULT_BYTES)));
        }
        intend(&mut r, 1, 21, Effect::Keyed);
        assert_eq!(
            r.finish(1, false, ALL_CHECKS).reply,
            rejected(RejectReason::Unknown)
        );
        let answer = match which {
            0 => {
                report_outcome(&mut r, 1, 21, done("y"));
                r.finish(1, false, ALL_CHECKS).reply
            }
            1 => r.finish(1, true, ALL_CHECKS).reply,
            _ => r.expire().reply,
        };
        assert_eq!(
            answer,
            if which < 2 {
                Reply::Committed
            } else {
                rejected(RejectReason::Limit)
            }
        );
        assert!(r.encode().unwrap().len() < 1300);
        assert_eq!(
            intend(&mut r, 1, 22, Effect::Safe),
            rejected(RejectReason::Ended)
        );
        assert_eq!(
            r.claim(&claim_by("w2", true, LocalAttempt::Unknown)).reply,
            rejected(RejectReason::Ended)
        );
        // Repeating the same finish is answered in the same way.
        assert_eq!(
            r.finish(1, which == 1, ALL_CHECKS).reply == Reply::Committed,
            which < 2
        );
    }
}

#[test]
fn record_size_is_bounded_and_compacted_steps_never_run_again() {
    let mut r = new_record();
    let mut sizes = vec![];
    for step in 1..=1000 {
        assert_eq!(
            intend(&mut r, 1, step, Effect::Unsafe),
            Reply::SendPermitted
        );
        let long = format!("result of step {step}, ").repeat(20);
        assert_eq!(
            report_outcome(&mut r, 1, step, done(&long)),
            Reply::Committed
        );
        sizes.push(r.encode().unwrap().len());
    }
    // The design document quotes these sizes.
    println!(
        "bytes at step 10, 100, 1000: {} {} {}",
        sizes[9], sizes[99], sizes[999]
    );
    assert!(
        sizes[999] <= sizes[99] + 200 && sizes[999] < 9_000,
        "{} {}",
        sizes[99],
        sizes[999]
    );
    assert_eq!(r.closed_steps(), 1000);
    for step in [1, 500, 990, 995, 1000] {
        assert!(
            matches!(
                intend(&mut r, 1, step, Effect::Unsafe),
                Reply::AlreadyDone(_)
            ),
            "{step}"
        );
    }
    let (context, steps) = r.summary();
    assert!(
        context.starts_with("994 steps done earlier") && steps.len() == MAX_UNCOMPACTED_STEPS,
        "{context}"
    );
    // A late second result of a compacted step is added to the context and changes nothing else.
    let transition = r.report_outcome(0, 3, &done("late"), Some(attempt(9)), ALL_CHECKS);
    assert_eq!(
        (transition.write, transition.reply),
        (true, rejected(RejectReason::Fenced))
    );
    assert!(r.summary().0.contains("3 again: late"));
}

#[test]
fn limits_hold() {
    let limits = Limits {
        steps: 2,
        bytes: 10,
        tokens: 3,
        max_age_us: 100,
    };
    let intent = |step, attempt| Intent {
        epoch: 1,
        step,
        effect: Effect::Safe,
        key: "",
        request_digest: 1,
        attempt,
    };
    for (result, tokens) in [("eleven bytes", 0), ("", 3)] {
        let mut r = new_record();
        r.intend(
            &intent(1, attempt(1)),
            |_| LocalAttempt::Unknown,
            &limits,
            ALL_CHECKS,
        );
        r.report_outcome(
            1,
            1,
            &AttemptOutcome::Done {
                result: result.into(),
                tokens,
            },
            Some(attempt(1)),
            ALL_CHECKS,
        );
        let transition = r.intend(
            &intent(2, attempt(2)),
            |_| LocalAttempt::Unknown,
            &limits,
            ALL_CHECKS,
        );
        assert_eq!(transition.reply, rejected(RejectReason::Limit));
    }
    let mut r = new_record();
    for step in 0..2 {
        r.intend(
            &intent(step, attempt(1)),
            |_| LocalAttempt::Unknown,
            &limits,
            ALL_CHECKS,
        );
        r.report_outcome(1, step, &done(""), Some(attempt(1)), ALL_CHECKS);
    }
    let transition = r.intend(
        &intent(2, attempt(2)),
        |_| LocalAttempt::Unknown,
        &limits,
        ALL_CHECKS,
    );
    assert_eq!(transition.reply, rejected(RejectReason::Limit));
    assert!(!r.add_age(60, &limits) && r.add_age(60, &limits));
}

#[test]
fn invalid_records_are_distinguished() {
    let bytes = new_record().encode().unwrap();
    assert_eq!(Record::decode(&bytes), Ok(new_record()));
    let mut other = bytes.clone();
    other[0] = 2;
    assert_eq!(Record::decode(&other), Err(WorkflowError::OtherVersion));
    assert_eq!(
        Record::decode(&vec![1; MAX_RECORD_BYTES + 1]),
        Err(WorkflowError::TooLong)
    );
    let longer = [bytes.clone(), vec![0]].concat();
    assert_eq!(Record::decode(&longer), Err(WorkflowError::Unreadable));
    for len in 0..bytes.len() {
        assert_eq!(
            Record::decode(&bytes[..len]),
            Err(WorkflowError::Unreadable),
            "{len}"
        );
    }
    let texts: std::collections::BTreeSet<String> = WorkflowError::ALL
        .iter()
        .map(|e| format!("{e}: {}", e.advice()))
        .collect();
    assert_eq!(texts.len(), WorkflowError::ALL.len());
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(64))]

    /// Under any sequence of transitions the record stays below its maximum size, its epoch never decreases, and a recorded result
    /// never changes.
    #[test]
    fn any_sequence_of_transitions_is_bounded_and_monotonic(transitions in proptest::collection::vec((0u8..7, 0u32..5, 0u8..4, 0usize..9000), 1..120)) {
        let mut r = new_record();
        let mut first_results = std::collections::BTreeMap::new();
        for (i, (what, step, effect, long)) in transitions.into_iter().enumerate() {
            let (step, epoch) = ((r.closed_steps() + step).saturating_sub(2), r.epoch().saturating_sub(u64::from(effect == 3)));
            let effect = [Effect::Safe, Effect::Keyed, Effect::Unsafe][usize::from(effect % 3)];
            let before = r.epoch();
            let a = attempt(i as u64);
            let worker = if long % 2 == 0 { "w1" } else { "w2" };
            match what {
                0 => drop(r.claim(&claim_by(worker, long % 3 == 0, LocalAttempt::Unknown))),
                1 | 2 => {
                    let intent = Intent { epoch, step, effect, key: "k", request_digest: 1, attempt: a };
                    r.intend(&intent, |_| LocalAttempt::Unknown, &LIMITS, ALL_CHECKS);
                }
                3 | 4 => drop(r.report_outcome(epoch, step, &done(&"ä".repeat(long)), r.open_attempt(), ALL_CHECKS)),
                5 => drop(r.report_outcome(epoch, step, &AttemptOutcome::MayHaveRun, r.open_attempt(), ALL_CHECKS)),
                _ => drop(r.settle(step, &AttemptOutcome::NeverRan, true)),
            }
            proptest::prop_assert!(r.epoch() >= before && r.encode().is_ok());
            proptest::prop_assert!(Record::decode(&r.encode().unwrap()) == Ok(r.clone()));
            for step in r.summary().1 {
                if let Some(AttemptOutcome::Done { result, .. }) = step.outcome {
                    let first = first_results.entry(step.number).or_insert(result.clone());
                    proptest::prop_assert_eq!(&*first, &result);
                }
            }
        }
    }
}
