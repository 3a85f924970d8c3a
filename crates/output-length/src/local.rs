//! Learning without peers, for programs that embed this crate outside a cluster. Estimates are computed when responses are
//! recorded.

use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::curve::LengthEstimate;
use crate::ids::{ClassKey, ModelKey, Origin};
use crate::io::FinishedResponse;
use crate::learner::Learner;
use crate::odd::is_implausible;

/// Least time between two computations of the estimates.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// A learner without peers. It is deterministic: the same responses at the same times give the same estimates.
pub struct LocalLearner {
    learner: Learner,
    next_refresh: Duration,
}

impl Default for LocalLearner {
    fn default() -> Self {
        let origin = Origin {
            member: NameKey(0),
            incarnation: 0,
        };
        LocalLearner {
            learner: Learner::new(origin),
            next_refresh: Duration::ZERO,
        }
    }
}

impl LocalLearner {
    /// Learns from a finished response. `now_s` is the time in seconds on a monotonic clock.
    pub fn record(&mut self, now_s: f64, response: &FinishedResponse) {
        if is_implausible(response) {
            return;
        }
        let now = Duration::try_from_secs_f64(now_s).unwrap_or_default();
        self.learner.record(now, response);
        if now >= self.next_refresh {
            self.next_refresh = now + REFRESH_INTERVAL;
            self.learner.refresh(now);
        }
    }

    /// The estimated output length of a response, from responses to similar requests; `None` without an estimate.
    pub fn estimate(
        &self,
        model: ModelKey,
        class: ClassKey,
        prompt_tokens: u32,
        max_output_tokens: u32,
    ) -> Option<LengthEstimate> {
        self.learner
            .estimate(model, class, prompt_tokens, max_output_tokens)
    }
}
