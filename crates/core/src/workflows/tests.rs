//! The table alone.

use bitternlatch_protocol::workflow::StepFate;

use super::*;
use bitternlatch_protocol::workflow::Claimed;
use bitternlatch_workflow::Event;

const S: SessionId = SessionId(1);

fn intent(epoch: u64, step: u32, effect: Effect) -> Intent {
    Intent {
        workflow: "t//w".into(),
        epoch,
        step,
        effect,
        key: "k".into(),
        request_digest: 7,
    }
}

fn answer() -> Box<Response> {
    Box::new(Response {
        id: "resp_1".into(),
        object: "response".into(),
        created_at: 0,
        status: bitternlatch_protocol::client::Status::Completed,
        model: "m".into(),
        previous_response_id: None,
        max_output_tokens: None,
        metadata: BTreeMap::new(),
        output: vec![],
        usage: None,
        error: None,
        incomplete_details: None,
    })
}

fn asks(w: &mut Workflows, question: WorkflowQuery) -> (Call, Command) {
    w.submit(
        Micros(0),
        (S, &Create::default()),
        question,
        AdmittedWork::default(),
        Micros(1_000),
    )
    .expect("taken")
}

fn done() -> AttemptOutcome {
    AttemptOutcome::Done {
        result: "yes".into(),
        tokens: 1,
    }
}

#[test]
fn step_goes_from_intent_to_result() {
    let mut w = Workflows::default();
    let wanted = intent(3, 1, Effect::Unsafe);
    let (call, _) = asks(&mut w, WorkflowQuery::Step(wanted.clone()));
    assert_eq!(w.in_flight(&wanted), Some(Err(RejectReason::Busy)));
    assert_eq!((w.pending_queries(S), w.has_pending()), (1, true));
    let act = w.on_event(
        Micros(0),
        Event::SendPermitted {
            call,
            until_us: 500,
        },
    );
    assert!(
        matches!(
            act,
            Some(WorkflowAction::Admit {
                permitted_until: Micros(500),
                ..
            })
        ),
        "{act:?}"
    );
    assert!(
        w.on_event(
            Micros(0),
            Event::SendPermitted {
                call,
                until_us: 900
            }
        )
        .is_none(),
        "told twice"
    );
    w.start_step(9, wanted.clone(), Micros(500));
    assert_eq!(w.in_flight(&wanted), Some(Ok(9)));
    assert_eq!(
        w.in_flight(&Intent {
            request_digest: 8,
            ..wanted.clone()
        }),
        Some(Err(RejectReason::OtherRequest))
    );
    assert_eq!(
        w.in_flight(&intent(4, 1, Effect::Unsafe)),
        None,
        "a later epoch asks for itself"
    );
    let Ok((call, ask)) = w.end_step(9, done(), answer(), Micros(2_000)) else {
        panic!("a step")
    };
    assert!(matches!(
        ask,
        Command::ReportOutcome {
            epoch: 3,
            step: 1,
            outcome: AttemptOutcome::Done { .. },
            ..
        }
    ));
    assert!(w.is_awaiting_durability(9) && !w.may_send_step(Micros(0), 9) && w.has_pending());
    assert!(
        w.end_step(9, done(), answer(), Micros(2_000)).is_err(),
        "it ends once"
    );
    assert!(matches!(
        w.on_event(Micros(0), Event::Committed { call }),
        Some(WorkflowAction::Deliver {
            request: 9,
            durable: Ok(()),
            ..
        })
    ));
    assert!(w.on_timeout(call).is_none() && !w.has_pending() && w.in_flight(&wanted).is_none());
}

#[test]
fn send_permission_expires_and_is_requested_again() {
    let mut w = Workflows::default();
    w.start_step(1, intent(1, 1, Effect::Unsafe), Micros(500));
    w.start_step(2, intent(1, 2, Effect::Safe), Micros(500));
    assert!(w.may_send_step(Micros(499), 1) && !w.may_send_step(Micros(500), 1));
    assert!(
        w.may_send_step(Micros(500), 2) && w.may_send_step(Micros(500), 77),
        "safe, and no step"
    );
    let send = BlockedSend {
        server: 7,
        timeout_s: 1.0,
    };
    let (call, tell) = w
        .block_send(1, send, false, Micros(5_000))
        .expect("it waits");
    assert!(matches!(
        tell.as_slice(),
        [
            Command::ReportOutcome {
                outcome: AttemptOutcome::NeverRan,
                ..
            },
            Command::Intend {
                until_us: 5_000,
                ..
            }
        ]
    ));
    let go = w.on_event(
        Micros(600),
        Event::SendPermitted {
            call,
            until_us: 900,
        },
    );
    assert!(
        matches!(go, Some(WorkflowAction::ResumeSend { request: 1, permitted: true, send: s }) if s == send),
        "{go:?}"
    );
    assert!(w.may_send_step(Micros(899), 1) && !w.may_send_step(Micros(900), 1));
    let (call, tell) = w
        .block_send(1, send, true, Micros(5_000))
        .expect("it waits");
    assert!(
        matches!(tell.as_slice(), [Command::Intend { .. }]),
        "an earlier one may have run"
    );
    assert!(
        !w.may_send_step(Micros(0), 1),
        "until it is permitted again"
    );
    let no = w.on_event(
        Micros(700),
        Event::Rejected {
            call,
            reason: RejectReason::Fenced,
        },
    );
    assert!(
        matches!(
            no,
            Some(WorkflowAction::ResumeSend {
                permitted: false,
                ..
            })
        ) && !w.may_send_step(Micros(0), 1)
    );
    let (call, _) = w
        .block_send(1, send, true, Micros(5_000))
        .expect("it waits");
    assert!(matches!(
        w.on_timeout(call),
        Some(WorkflowAction::ResumeSend {
            permitted: false,
            ..
        })
    ));
    let (call, _) = w
        .block_send(1, send, true, Micros(5_000))
        .expect("it waits");
    assert_eq!(w.take_blocked_send(1), Some(send), "its request has ended");
    assert!(w
        .on_event(
            Micros(0),
            Event::SendPermitted {
                call,
                until_us: 900
            }
        )
        .is_none());
    w.start_step(3, intent(1, 3, Effect::Unsafe), Micros(500));
    assert!(w.block_send(3, send, false, Micros(5_000)).is_some());
    let end = w.end_step(3, AttemptOutcome::NeverRan, answer(), Micros(9));
    assert!(
        end.is_err() && w.in_flight(&intent(1, 3, Effect::Unsafe)).is_none(),
        "that is told already"
    );
}

#[test]
fn abandoned_or_late_step_leaves_no_effect() {
    let mut w = Workflows::default();
    let (call, _) = asks(&mut w, WorkflowQuery::Step(intent(1, 1, Effect::Keyed)));
    w.session_closed(S);
    assert_eq!((w.pending_queries(S), w.has_pending()), (0, false));
    let act = w.on_event(
        Micros(0),
        Event::SendPermitted {
            call,
            until_us: 500,
        },
    );
    assert!(
        matches!(
            act,
            Some(WorkflowAction::SendCommand(Command::ReportOutcome {
                outcome: AttemptOutcome::NeverRan,
                ..
            }))
        ),
        "{act:?}"
    );
    let (call, _) = asks(&mut w, WorkflowQuery::Step(intent(1, 2, Effect::Keyed)));
    assert!(matches!(
        w.on_timeout(call),
        Some(WorkflowAction::Reject {
            reason: RejectReason::NoMajority,
            ..
        })
    ));
    assert!(w.is_pending(call) && !w.has_pending());
    let act = w.on_event(
        Micros(0),
        Event::SendPermitted {
            call,
            until_us: 500,
        },
    );
    assert!(
        matches!(
            act,
            Some(WorkflowAction::SendCommand(Command::ReportOutcome {
                step: 2,
                outcome: AttemptOutcome::NeverRan,
                ..
            }))
        ),
        "{act:?}"
    );
    let (call, _) = asks(&mut w, WorkflowQuery::Step(intent(1, 2, Effect::Keyed)));
    assert!(
        w.on_timeout(call).is_some() && w.on_timeout(call).is_none() && !w.is_pending(call),
        "once more, and no longer"
    );
    w.start_step(5, intent(1, 3, Effect::Keyed), Micros(500));
    let told = w.abandon_step(5, AttemptOutcome::MayHaveRun, Micros(900));
    assert!(matches!(
        told,
        Some(Command::ReportOutcome {
            step: 3,
            outcome: AttemptOutcome::MayHaveRun,
            ..
        })
    ));
    assert_eq!(
        w.abandon_step(5, AttemptOutcome::MayHaveRun, Micros(900)),
        None
    );
    w.start_step(6, intent(1, 4, Effect::Keyed), Micros(500));
    let Ok((call, _)) = w.end_step(6, done(), answer(), Micros(2_000)) else {
        panic!("a step")
    };
    let busy = |call| Event::Rejected {
        call,
        reason: RejectReason::Busy,
    };
    assert!(
        matches!(
            w.on_event(Micros(1), busy(call)),
            Some(WorkflowAction::RetryStepEnd(6))
        ),
        "a result is not lost to a full queue"
    );
    let Some((call, Micros(2_000), _)) = w.resend_step_end(6) else {
        panic!("told again")
    };
    assert!(matches!(
        w.on_timeout(call),
        Some(WorkflowAction::Deliver {
            durable: Err(None),
            ..
        })
    ));
    w.start_step(7, intent(1, 5, Effect::Keyed), Micros(500));
    let Ok((call, _)) = w.end_step(7, done(), answer(), Micros(2_000)) else {
        panic!("a step")
    };
    let late = w.on_event(Micros(2_000), busy(call));
    assert!(matches!(
        late,
        Some(WorkflowAction::Deliver {
            durable: Err(Some(RejectReason::Busy)),
            ..
        })
    ));
}

#[test]
fn claims_are_answered_and_queries_bounded() {
    let mut w = Workflows::default();
    let (call, _) = asks(
        &mut w,
        WorkflowQuery::Claim {
            workflow: "t//w".into(),
            worker: "a".into(),
        },
    );
    let step = |number, fate| bitternlatch_workflow::Step {
        number,
        effect: Effect::Keyed,
        key: "k".into(),
        outcome: fate,
    };
    let steps = vec![step(1, Some(done())), step(2, None)];
    let told = Event::Claimed {
        call,
        epoch: 2,
        context: "c".into(),
        steps,
        lease_us: 3_000_000,
    };
    let Some(WorkflowAction::Answer {
        text,
        is_step_result: false,
        ..
    }) = w.on_event(Micros(0), told)
    else {
        panic!("an answer")
    };
    let claimed: Claimed = serde_json::from_str(&text).expect("a claim");
    assert_eq!(
        (claimed.epoch, claimed.lease_ms, claimed.steps.len()),
        (2, 3000, 2)
    );
    assert_eq!(claimed.steps[0].result.as_deref(), Some("yes"));
    assert_eq!(claimed.steps[1].fate, StepFate::Open);
    let (call, _) = asks(
        &mut w,
        WorkflowQuery::RenewLease {
            workflow: "t//w".into(),
            epoch: 2,
        },
    );
    let act = w.on_event(Micros(0), Event::SendPermitted { call, until_us: 1 });
    assert!(
        matches!(act, Some(WorkflowAction::Reject { .. })),
        "no answer to this question: {act:?}"
    );
    for _ in 0..MAX_PENDING_QUERIES {
        asks(
            &mut w,
            WorkflowQuery::RenewLease {
                workflow: "t//w".into(),
                epoch: 2,
            },
        );
    }
    let carry = WorkflowQuery::RenewLease {
        workflow: "t//w".into(),
        epoch: 2,
    };
    let more = w.submit(
        Micros(0),
        (S, &Create::default()),
        carry,
        AdmittedWork::default(),
        Micros(1),
    );
    assert_eq!(more, Err(RejectReason::Busy));
}
