//! Learning without peers, for embedders that have none: the same learner, reckoned anew as answers come.

use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::curve::Expected;
use crate::ids::{ClassKey, ModelKey, Origin};
use crate::io::Ended;
use crate::learner::Learner;
use crate::odd::odd;

const REFRESH: Duration = Duration::from_secs(1);

/// Deterministic: the same answers at the same times tell the same.
pub struct Local {
    learner: Learner,
    next: Duration,
}

impl Default for Local {
    fn default() -> Self {
        let origin = Origin {
            name: NameKey(0),
            generation: 0,
        };
        Local {
            learner: Learner::new(origin),
            next: Duration::ZERO,
        }
    }
}

impl Local {
    /// `now_s`: seconds on a clock that never goes back.
    pub fn ended(&mut self, now_s: f64, ended: &Ended) {
        if odd(ended) {
            return;
        }
        let now = Duration::try_from_secs_f64(now_s).unwrap_or_default();
        self.learner.ended(now, ended);
        if now >= self.next {
            self.next = now + REFRESH;
            self.learner.refresh(now);
        }
    }

    pub fn expect(
        &self,
        model: ModelKey,
        class: ClassKey,
        prompt_tokens: u32,
        ceiling: u32,
    ) -> Option<Expected> {
        self.learner.expect(model, class, prompt_tokens, ceiling)
    }
}
