//! Learns output lengths without reported token counts: estimates a response's tokens as the time from its first token to its
//! end, divided by the inter-token latency objective of its class. Engines usually meet the objective, so the result is
//! a cautious, low estimate.

use std::collections::BTreeMap;

use bitternlatch_policy::interface::{self, Event, Outcome, RequestId, Settings};

use crate::ids::{ClassKey, ModelKey, TenantKey};
use crate::io::{FinishedResponse, ResponseEnd};
use crate::local::LocalLearner;

/// Limit of tracked requests; beyond it the one with the lowest id is dropped and not learnt from.
const MAX_TRACKED: usize = 8 * 1024;
/// Assumed length of a token in bytes, for the text length of a response of which only tokens are estimated.
const BYTES_PER_TOKEN: u32 = 4;

/// A running request.
struct TrackedRequest {
    class: u16,
    tenant: u32,
    prompt_tokens: u32,
    max_output_tokens: u32,
    /// The 90th percentile of the output length that was estimated on arrival, tokens.
    predicted_p90: Option<u32>,
    /// When the first token was received, seconds; `None` before.
    first_token_s: Option<f64>,
}

/// Observes the events of a decision module, learns from them, and adds the estimated output length to each arrival.
pub struct DurationBasedLearner {
    local: LocalLearner,
    /// Inter-token latency objective by class, seconds; 0 without one.
    inter_token_s: Vec<f64>,
    tracked: BTreeMap<RequestId, TrackedRequest>,
}

fn to_u32(tokens: f64) -> u32 {
    tokens.clamp(0.0, 1e7) as u32
}

/// The key of a class: its number plus one, as 0 stands for all classes.
fn class_key(class: u16) -> ClassKey {
    ClassKey(u32::from(class) + 1)
}

impl DurationBasedLearner {
    pub fn new(settings: &Settings) -> DurationBasedLearner {
        let inter_token_s = settings
            .classes
            .iter()
            .map(|c| c.inter_token_objective_s)
            .collect();
        DurationBasedLearner {
            local: LocalLearner::default(),
            inter_token_s,
            tracked: BTreeMap::new(),
        }
    }

    /// Processes an event before the decision module receives it; sets the estimated output length of an arrival.
    pub fn observe(&mut self, now_s: f64, event: &mut Event) {
        match event {
            Event::Arrival(request) => {
                let (prompt_tokens, max_output_tokens) = (
                    to_u32(request.prompt_tokens),
                    to_u32(request.max_output_tokens),
                );
                let estimate = self.local.estimate(
                    ModelKey(1),
                    class_key(request.class),
                    prompt_tokens,
                    max_output_tokens,
                );
                request.output_tokens = estimate.map(|e| interface::ExpectedTokens {
                    mean: e.mean,
                    p90: e.p90,
                });
                if self.tracked.len() >= MAX_TRACKED {
                    self.tracked.pop_first();
                }
                let tracked = TrackedRequest {
                    class: request.class,
                    tenant: request.tenant,
                    prompt_tokens,
                    max_output_tokens,
                    predicted_p90: estimate.map(|e| e.p90.round() as u32),
                    first_token_s: None,
                };
                self.tracked.insert(request.id, tracked);
            }
            Event::FirstToken { request, .. } => {
                self.tracked
                    .get_mut(request)
                    .into_iter()
                    .for_each(|r| r.first_token_s = Some(now_s));
            }
            Event::AttemptEnded(end) if end.finished || end.outcome == Outcome::Served => {
                let tracked = self.tracked.remove(&end.request);
                if let Some(request) = tracked.filter(|_| end.outcome == Outcome::Served) {
                    self.learn(now_s, &request);
                }
            }
            Event::ClientDisconnected { request } => drop(self.tracked.remove(request)),
            _ => {}
        }
    }

    /// Learns from a request that was served completely; ignores one whose class has no objective.
    fn learn(&mut self, now_s: f64, request: &TrackedRequest) {
        let interval = self
            .inter_token_s
            .get(usize::from(request.class))
            .copied()
            .filter(|interval| *interval > 0.0);
        let (Some(interval), Some(first_token_s)) = (interval, request.first_token_s) else {
            return;
        };
        let tokens = to_u32((now_s - first_token_s).max(0.0) / interval)
            .saturating_add(1)
            .min(request.max_output_tokens);
        let response = FinishedResponse {
            model: ModelKey(1),
            class: class_key(request.class),
            tenant: TenantKey(request.tenant),
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: request.max_output_tokens,
            output_tokens: tokens,
            text_bytes: tokens.saturating_mul(BYTES_PER_TOKEN),
            end: if tokens < request.max_output_tokens {
                ResponseEnd::Complete
            } else {
                ResponseEnd::TokenLimit
            },
            predicted_p90: request.predicted_p90,
            server: String::new(),
        };
        self.local.record(now_s, &response);
    }
}

#[cfg(test)]
mod tests {
    use bitternlatch_policy::interface::{AttemptEnd, Request};

    use super::*;

    #[test]
    fn arrivals_get_estimates_from_earlier_durations_and_disconnected_requests_are_not_learnt_from()
    {
        let mut learner = DurationBasedLearner {
            local: LocalLearner::default(),
            inter_token_s: vec![0.05],
            tracked: BTreeMap::new(),
        };
        let request = |id| Request {
            id,
            prompt_tokens: 900.0,
            max_output_tokens: 800.0,
            ..Request::default()
        };
        let mut estimate = None;
        for id in 0..200 {
            let at = f64::from(id) * 0.5;
            let mut arrival = Event::Arrival(request(id));
            learner.observe(at, &mut arrival);
            let Event::Arrival(request) = arrival else {
                unreachable!()
            };
            estimate = request.output_tokens;
            learner.observe(
                at,
                &mut Event::FirstToken {
                    request: id,
                    attempt: 0,
                    server: 1,
                    elapsed_s: 0.1,
                },
            );
            if id % 4 == 0 {
                learner.observe(at + 0.1, &mut Event::ClientDisconnected { request: id });
            }
            let end = AttemptEnd {
                request: id,
                attempt: 0,
                server: 1,
                outcome: Outcome::Served,
                elapsed_s: 5.1,
                finished: true,
                prefix_hit_tokens: 0.0,
                output_tokens: None,
                report: vec![],
            };
            learner.observe(at + 5.0, &mut Event::AttemptEnded(end));
        }
        let estimate = estimate.expect("an estimate");
        assert!(
            (estimate.mean - 100.0).abs() < 8.0 && estimate.p90 < 115.0,
            "{estimate:?}"
        );
        assert!(learner.tracked.is_empty());
    }
}
