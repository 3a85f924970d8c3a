//! The decision module with what records its decisions: the trace and the access log.

use bitternlatch_core::{decide, Micros, TracedDecision};
use bitternlatch_output_length::Timed;
use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::{Action, Event, RequestId, Settings};

use crate::access_log::{AccessLog, DecisionReasons};

/// Whether lengths of answers are learnt and told to the module; the simulator's adapter has the same switch, and both
/// have to agree.
const LEARNS: bool = false;

/// The decision module of one dispatcher.
pub(crate) struct Decisions {
    router: Router,
    /// Lengths of answers, learnt by this node alone.
    lengths: Timed,
    trace: Option<Vec<TracedDecision>>,
    access_log: Option<AccessLog>,
}

impl Decisions {
    /// `traced` keeps every event and its actions until [`Decisions::take_trace`].
    pub(crate) fn new(settings: Settings, seed: u64, traced: bool) -> Decisions {
        Decisions {
            lengths: Timed::new(&settings),
            router: Router::new(settings, seed),
            trace: traced.then(Vec::new),
            access_log: None,
        }
    }

    pub(crate) fn enable_access_log(&mut self, access_log: AccessLog) {
        self.access_log = Some(access_log);
    }

    pub(crate) fn take_trace(&mut self) -> Vec<TracedDecision> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Gives the module one event and appends its actions. Returns the access-log lines of requests that ended by it;
    /// `request_id` gives the client's id of a request.
    pub(crate) fn decide(
        &mut self,
        now: Micros,
        mut event: Event,
        request_id: impl Fn(RequestId) -> String,
        actions: &mut Vec<Action>,
    ) -> Vec<String> {
        if LEARNS {
            self.lengths.see(now.seconds(), &mut event);
        }
        let recorded = self.access_log.is_some().then(|| event.clone());
        decide(&mut self.router, now, event, &mut self.trace, actions);
        match recorded {
            Some(event) => self.record(now, event, request_id, actions),
            None => Vec::new(),
        }
    }

    fn record(
        &mut self,
        now: Micros,
        event: Event,
        request_id: impl Fn(RequestId) -> String,
        actions: &[Action],
    ) -> Vec<String> {
        let Some(access_log) = &mut self.access_log else {
            return Vec::new();
        };
        let traced = TracedDecision {
            now_s: now.seconds(),
            event,
            actions: actions.to_vec(),
        };
        let (choice, failure) = (self.router.last_choice(), self.router.last_failure());
        let reasons = |request| DecisionReasons {
            explanation: (request == choice.request).then_some(choice.explanation),
            cause: failure.filter(|f| f.request == request).map(|f| f.cause),
        };
        access_log.record(&traced, request_id, reasons)
    }
}
