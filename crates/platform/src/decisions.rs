//! The decision module together with its recorders: the trace and the access log.

use bitternlatch_core::{decide, Micros, TracedDecision};
use bitternlatch_output_length::DurationBasedLearner;
use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::{
    Action, Event, RequestId, ServerId, Settings, SlowStartStatus,
};

use crate::access_log::{AccessLog, DecisionReasons};

/// Whether the node learns the lengths of model outputs and passes its estimates to the decision module. The
/// simulator's adapter has the same switch, and both must agree.
const LEARN_OUTPUT_LENGTHS: bool = false;

/// The decision module of one dispatcher.
pub(crate) struct Decisions {
    router: Router,
    /// Output lengths learnt from the responses that this node has forwarded.
    output_lengths: DurationBasedLearner,
    trace: Option<Vec<TracedDecision>>,
    access_log: Option<AccessLog>,
}

impl Decisions {
    /// With `traced`, every event and its actions are kept until [`Decisions::take_trace`] is called.
    pub(crate) fn new(settings: Settings, seed: u64, traced: bool) -> Decisions {
        Decisions {
            output_lengths: DurationBasedLearner::new(&settings),
            router: Router::new(settings, seed),
            trace: traced.then(Vec::new),
            access_log: None,
        }
    }

    /// Returns what slow start assumes of a server.
    pub(crate) fn slow_start_status(
        &self,
        now: Micros,
        server: ServerId,
    ) -> Option<SlowStartStatus> {
        self.router.slow_start_status(server, now.seconds())
    }

    pub(crate) fn enable_access_log(&mut self, access_log: AccessLog) {
        self.access_log = Some(access_log);
    }

    pub(crate) fn take_trace(&mut self) -> Vec<TracedDecision> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Passes one event to the decision module and appends its actions. Returns access-log lines for the requests that
    /// ended with this event; `request_id` maps a request to the client's id for it.
    pub(crate) fn decide(
        &mut self,
        now: Micros,
        mut event: Event,
        request_id: impl Fn(RequestId) -> String,
        actions: &mut Vec<Action>,
    ) -> Vec<String> {
        if LEARN_OUTPUT_LENGTHS {
            self.output_lengths.observe(now.seconds(), &mut event);
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
