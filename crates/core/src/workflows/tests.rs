//! Tests of the workflow table without the machine; the coordinator's events are written by hand.

use bitternlatch_protocol::workflow::StepFate;

use super::*;
use bitternlatch_protocol::workflow::Claimed;
use bitternlatch_workflow::Event;

const SESSION: SessionId = SessionId(1);

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

/// Submits a query of [`SESSION`] and returns its number and command.
fn submit(workflows: &mut Workflows, query: WorkflowQuery) -> (Call, Command) {
    workflows
        .submit(
            Micros(0),
            (SESSION, &Create::default()),
            query,
            AdmittedWork::default(),
            Micros(1_000),
        )
        .expect("accepted")
}

/// The outcome of a completed step with the result `yes`.
fn done() -> AttemptOutcome {
    AttemptOutcome::Done {
        result: "yes".into(),
        tokens: 1,
    }
}

#[test]
fn step_is_sent_after_intent_and_answered_after_result() {
    let mut workflows = Workflows::default();
    let wanted = intent(3, 1, Effect::Unsafe);
    let (call, _) = submit(&mut workflows, WorkflowQuery::Step(wanted.clone()));
    assert_eq!(workflows.in_flight(&wanted), Some(Err(RejectReason::Busy)));
    assert_eq!(
        (workflows.pending_queries(SESSION), workflows.has_pending()),
        (1, true)
    );
    let action = workflows.on_event(
        Micros(0),
        Event::SendPermitted {
            call,
            until_us: 500,
        },
    );
    assert!(
        matches!(
            action,
            Some(WorkflowAction::Admit {
                permitted_until: Micros(500),
                ..
            })
        ),
        "{action:?}"
    );
    assert!(
        workflows
            .on_event(
                Micros(0),
                Event::SendPermitted {
                    call,
                    until_us: 900
                }
            )
            .is_none(),
        "a second answer to the same command is ignored"
    );
    workflows.start_step(9, wanted.clone(), Micros(500));
    assert_eq!(workflows.in_flight(&wanted), Some(Ok(9)));
    assert_eq!(
        workflows.in_flight(&Intent {
            request_digest: 8,
            ..wanted.clone()
        }),
        Some(Err(RejectReason::OtherRequest))
    );
    assert_eq!(
        workflows.in_flight(&intent(4, 1, Effect::Unsafe)),
        None,
        "the same step under a later epoch is another one"
    );
    let Ok((call, command)) = workflows.end_step(9, done(), answer(), Micros(2_000)) else {
        panic!("the step has ended already")
    };
    assert!(matches!(
        command,
        Command::ReportOutcome {
            epoch: 3,
            step: 1,
            outcome: AttemptOutcome::Done { .. },
            ..
        }
    ));
    assert!(
        workflows.is_awaiting_durability(9)
            && !workflows.may_send_step(Micros(0), 9)
            && workflows.has_pending()
    );
    assert!(
        workflows
            .end_step(9, done(), answer(), Micros(2_000))
            .is_err(),
        "a step ends only once"
    );
    assert!(matches!(
        workflows.on_event(Micros(0), Event::Committed { call }),
        Some(WorkflowAction::Deliver {
            request: 9,
            durable: Ok(()),
            ..
        })
    ));
    assert!(
        workflows.on_timeout(call).is_none()
            && !workflows.has_pending()
            && workflows.in_flight(&wanted).is_none()
    );
}

#[test]
fn send_permission_expires_and_is_requested_again() {
    let mut workflows = Workflows::default();
    workflows.start_step(1, intent(1, 1, Effect::Unsafe), Micros(500));
    workflows.start_step(2, intent(1, 2, Effect::Safe), Micros(500));
    assert!(workflows.may_send_step(Micros(499), 1) && !workflows.may_send_step(Micros(500), 1));
    assert!(
        workflows.may_send_step(Micros(500), 2) && workflows.may_send_step(Micros(500), 77),
        "safe steps and requests outside workflows need no permission"
    );
    let send = BlockedSend {
        server: 7,
        timeout_s: 1.0,
    };
    let (call, commands) = workflows
        .block_send(1, send, false, Micros(5_000))
        .expect("a blocked send");
    assert!(matches!(
        commands.as_slice(),
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
    let permitted = workflows.on_event(
        Micros(600),
        Event::SendPermitted {
            call,
            until_us: 900,
        },
    );
    assert!(
        matches!(permitted, Some(WorkflowAction::ResumeSend { request: 1, permitted: true, send: s }) if s == send),
        "{permitted:?}"
    );
    assert!(workflows.may_send_step(Micros(899), 1) && !workflows.may_send_step(Micros(900), 1));
    let (call, commands) = workflows
        .block_send(1, send, true, Micros(5_000))
        .expect("a blocked send");
    assert!(
        matches!(commands.as_slice(), [Command::Intend { .. }]),
        "an earlier attempt may have run, so NeverRan is not reported"
    );
    assert!(
        !workflows.may_send_step(Micros(0), 1),
        "not until it is permitted again"
    );
    let rejected = workflows.on_event(
        Micros(700),
        Event::Rejected {
            call,
            reason: RejectReason::Fenced,
        },
    );
    assert!(
        matches!(
            rejected,
            Some(WorkflowAction::ResumeSend {
                permitted: false,
                ..
            })
        ) && !workflows.may_send_step(Micros(0), 1)
    );
    let (call, _) = workflows
        .block_send(1, send, true, Micros(5_000))
        .expect("a blocked send");
    assert!(matches!(
        workflows.on_timeout(call),
        Some(WorkflowAction::ResumeSend {
            permitted: false,
            ..
        })
    ));
    let (call, _) = workflows
        .block_send(1, send, true, Micros(5_000))
        .expect("a blocked send");
    assert_eq!(
        workflows.take_blocked_send(1),
        Some(send),
        "the request has ended"
    );
    assert!(workflows
        .on_event(
            Micros(0),
            Event::SendPermitted {
                call,
                until_us: 900
            }
        )
        .is_none());
    workflows.start_step(3, intent(1, 3, Effect::Unsafe), Micros(500));
    assert!(workflows
        .block_send(3, send, false, Micros(5_000))
        .is_some());
    let end = workflows.end_step(3, AttemptOutcome::NeverRan, answer(), Micros(9));
    assert!(
        end.is_err() && workflows.in_flight(&intent(1, 3, Effect::Unsafe)).is_none(),
        "NeverRan is already reported"
    );
}

#[test]
fn abandoned_or_late_step_leaves_no_effect() {
    let mut workflows = Workflows::default();
    let (call, _) = submit(
        &mut workflows,
        WorkflowQuery::Step(intent(1, 1, Effect::Keyed)),
    );
    workflows.session_closed(SESSION);
    assert_eq!(
        (workflows.pending_queries(SESSION), workflows.has_pending()),
        (0, false)
    );
    let action = workflows.on_event(
        Micros(0),
        Event::SendPermitted {
            call,
            until_us: 500,
        },
    );
    assert!(
        matches!(
            action,
            Some(WorkflowAction::SendCommand(Command::ReportOutcome {
                outcome: AttemptOutcome::NeverRan,
                ..
            }))
        ),
        "{action:?}"
    );
    let (call, _) = submit(
        &mut workflows,
        WorkflowQuery::Step(intent(1, 2, Effect::Keyed)),
    );
    assert!(matches!(
        workflows.on_timeout(call),
        Some(WorkflowAction::Reject {
            reason: RejectReason::NoMajority,
            ..
        })
    ));
    assert!(workflows.is_pending(call) && !workflows.has_pending());
    let action = workflows.on_event(
        Micros(0),
        Event::SendPermitted {
            call,
            until_us: 500,
        },
    );
    assert!(
        matches!(
            action,
            Some(WorkflowAction::SendCommand(Command::ReportOutcome {
                step: 2,
                outcome: AttemptOutcome::NeverRan,
                ..
            }))
        ),
        "{action:?}"
    );
    let (call, _) = submit(
        &mut workflows,
        WorkflowQuery::Step(intent(1, 2, Effect::Keyed)),
    );
    assert!(
        workflows.on_timeout(call).is_some()
            && workflows.on_timeout(call).is_none()
            && !workflows.is_pending(call),
        "an abandoned query stays for one further time-out"
    );
    workflows.start_step(5, intent(1, 3, Effect::Keyed), Micros(500));
    let command = workflows.abandon_step(5, AttemptOutcome::MayHaveRun, Micros(900));
    assert!(matches!(
        command,
        Some(Command::ReportOutcome {
            step: 3,
            outcome: AttemptOutcome::MayHaveRun,
            ..
        })
    ));
    assert_eq!(
        workflows.abandon_step(5, AttemptOutcome::MayHaveRun, Micros(900)),
        None
    );
    workflows.start_step(6, intent(1, 4, Effect::Keyed), Micros(500));
    let Ok((call, _)) = workflows.end_step(6, done(), answer(), Micros(2_000)) else {
        panic!("the step has ended already")
    };
    let busy = |call| Event::Rejected {
        call,
        reason: RejectReason::Busy,
    };
    assert!(
        matches!(
            workflows.on_event(Micros(1), busy(call)),
            Some(WorkflowAction::RetryStepEnd(6))
        ),
        "a transient rejection does not lose the result"
    );
    let Some((call, Micros(2_000), _)) = workflows.resend_step_end(6) else {
        panic!("the outcome is reported again")
    };
    assert!(matches!(
        workflows.on_timeout(call),
        Some(WorkflowAction::Deliver {
            durable: Err(None),
            ..
        })
    ));
    workflows.start_step(7, intent(1, 5, Effect::Keyed), Micros(500));
    let Ok((call, _)) = workflows.end_step(7, done(), answer(), Micros(2_000)) else {
        panic!("the step has ended already")
    };
    let late = workflows.on_event(Micros(2_000), busy(call));
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
    let mut workflows = Workflows::default();
    let (call, _) = submit(
        &mut workflows,
        WorkflowQuery::Claim {
            workflow: "t//w".into(),
            worker: "a".into(),
        },
    );
    let step = |number, outcome| bitternlatch_workflow::Step {
        number,
        effect: Effect::Keyed,
        key: "k".into(),
        outcome,
    };
    let steps = vec![step(1, Some(done())), step(2, None)];
    let event = Event::Claimed {
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
    }) = workflows.on_event(Micros(0), event)
    else {
        panic!("the claim is not answered")
    };
    let claimed: Claimed = serde_json::from_str(&text).expect("a claim");
    assert_eq!(
        (claimed.epoch, claimed.lease_ms, claimed.steps.len()),
        (2, 3000, 2)
    );
    assert_eq!(claimed.steps[0].result.as_deref(), Some("yes"));
    assert_eq!(claimed.steps[1].fate, StepFate::Open);
    let (call, _) = submit(
        &mut workflows,
        WorkflowQuery::RenewLease {
            workflow: "t//w".into(),
            epoch: 2,
        },
    );
    let action = workflows.on_event(Micros(0), Event::SendPermitted { call, until_us: 1 });
    assert!(
        matches!(action, Some(WorkflowAction::Reject { .. })),
        "the event does not answer a lease renewal: {action:?}"
    );
    for _ in 0..MAX_PENDING_QUERIES {
        submit(
            &mut workflows,
            WorkflowQuery::RenewLease {
                workflow: "t//w".into(),
                epoch: 2,
            },
        );
    }
    let renewal = WorkflowQuery::RenewLease {
        workflow: "t//w".into(),
        epoch: 2,
    };
    let rejected = workflows.submit(
        Micros(0),
        (SESSION, &Create::default()),
        renewal,
        AdmittedWork::default(),
        Micros(1),
    );
    assert_eq!(rejected, Err(RejectReason::Busy));
}
