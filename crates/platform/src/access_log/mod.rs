//! The access log: one line for each request that was rejected, failed, retried or late, with the reason. It is
//! optional, and only observes the events and actions of the decision module.

mod record;

use std::collections::BTreeMap;

use bitternlatch_core::TracedDecision;
use bitternlatch_policy::interface::{
    Action, AttemptEnd, Cause, ChoiceExplanation, Event, Request, RequestId, Settings,
};

use record::{AttemptResult, FinalResponse, KvStateChange, RequestRecord};

/// Most requests recorded at once; requests that arrive beyond this are not recorded.
const MAX_RECORDS: usize = 4096;

/// What the decision module reports about its last decision on a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecisionReasons {
    /// Estimates behind the last choice of a prefill server for the request.
    pub explanation: Option<ChoiceExplanation>,
    /// Why the request was rejected or failed.
    pub cause: Option<Cause>,
}

/// Latency objective of a request class: the time to first token, as a fixed part and a part per prompt token.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyObjective {
    base_s: f64,
    per_prompt_token_s: f64,
}

impl LatencyObjective {
    fn of(&self, request: &Request) -> f64 {
        self.base_s + self.per_prompt_token_s * request.prompt_tokens
    }
}

/// Access-log records of the open requests.
#[derive(Debug)]
pub struct AccessLog {
    /// Latency objective of each class, indexed by the class number.
    latency_objectives: Vec<LatencyObjective>,
    open: BTreeMap<RequestId, RequestRecord>,
}

impl AccessLog {
    /// Creates an empty log that uses the latency objectives in the settings.
    pub fn new(settings: &Settings) -> AccessLog {
        let objectives = settings.classes.iter().map(|class| LatencyObjective {
            base_s: class.ttft_objective_s,
            per_prompt_token_s: class.ttft_objective_per_token_s,
        });
        AccessLog {
            latency_objectives: objectives.collect(),
            open: BTreeMap::new(),
        }
    }

    /// Number of open requests that are recorded.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no open request is recorded.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Records one event and the decision module's actions on it. `id` maps a request to the client's id for it, and
    /// `reasons` gives the module's reasons for its last decision on a request. Returns the lines of the reportable
    /// requests that have ended.
    pub fn record(
        &mut self,
        traced: &TracedDecision,
        id: impl Fn(RequestId) -> String,
        reasons: impl Fn(RequestId) -> DecisionReasons,
    ) -> Vec<String> {
        let now_s = traced.now_s;
        let mut maybe_complete = Vec::new();
        maybe_complete.extend(self.record_event(now_s, &traced.event, id));
        for action in &traced.actions {
            maybe_complete.extend(self.record_action(now_s, action, &reasons));
        }
        maybe_complete
            .into_iter()
            .filter_map(|request| self.close(request, now_s))
            .collect()
    }

    /// Records an event and returns the request that may have ended with it.
    fn record_event(
        &mut self,
        now_s: f64,
        event: &Event,
        id: impl Fn(RequestId) -> String,
    ) -> Option<RequestId> {
        match event {
            Event::Arrival(request) => {
                self.open(now_s, request, id);
                None
            }
            Event::FirstToken { request, .. } => {
                self.change(*request, |record| record.first_token(now_s));
                None
            }
            Event::AttemptEnded(end) => {
                self.end_attempt(now_s, end);
                Some(end.request)
            }
            Event::ClientDisconnected { request } => {
                self.change(*request, RequestRecord::disconnect);
                Some(*request)
            }
            _ => None,
        }
    }

    /// Records an action and returns the request that may have ended with it.
    fn record_action(
        &mut self,
        now_s: f64,
        action: &Action,
        reasons: impl Fn(RequestId) -> DecisionReasons,
    ) -> Option<RequestId> {
        match action {
            Action::Send {
                request, server, ..
            } => {
                let explanation = reasons(*request).explanation;
                self.change(*request, |record| {
                    record.begin_attempt(*server, now_s, explanation)
                });
                None
            }
            Action::Reject { request, .. } => {
                let reasons = reasons(*request);
                self.change(*request, |record| {
                    record.end(FinalResponse::Rejected, reasons)
                });
                Some(*request)
            }
            Action::Fail { request } => {
                let reasons = DecisionReasons {
                    explanation: None,
                    cause: reasons(*request).cause,
                };
                self.change(*request, |record| {
                    record.end(FinalResponse::Failed, reasons)
                });
                Some(*request)
            }
            Action::Release { request, .. } => {
                self.change(*request, |record| {
                    record.change_state(now_s, KvStateChange::Released)
                });
                None
            }
            _ => None,
        }
    }

    fn open(&mut self, now_s: f64, request: &Request, id: impl Fn(RequestId) -> String) {
        if self.open.len() >= MAX_RECORDS {
            return;
        }
        let class = usize::from(request.class);
        let objective = self.latency_objectives.get(class).copied();
        let objective_s = objective.unwrap_or_default().of(request);
        let record = RequestRecord::new(id(request.id), request.clone(), objective_s, now_s);
        self.open.insert(request.id, record);
    }

    fn end_attempt(&mut self, now_s: f64, end: &AttemptEnd) {
        let result = AttemptResult {
            outcome: end.outcome,
            elapsed_s: end.elapsed_s,
            prefix_hit_tokens: end.prefix_hit_tokens,
        };
        self.change(end.request, |record| {
            record.end_attempt(end.server, now_s, result)
        });
    }

    fn change(&mut self, request: RequestId, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(record) = self.open.get_mut(&request) {
            change(record);
        }
    }

    /// Removes the record of a request if it is complete, and returns its line if it is reportable.
    fn close(&mut self, request: RequestId, now_s: f64) -> Option<String> {
        if !self.open.get(&request)?.is_complete() {
            return None;
        }
        let record = self.open.remove(&request)?;
        record.is_reportable().then(|| record.line(now_s))
    }
}
