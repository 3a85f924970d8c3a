//! Lengths of answers, as told last; asked at arrival, and what ended is told.
//!
//! Knows nothing of the machine: it is asked by it, and tells it what to do.

use bitternlatch_output_length::{
    Ask, ClassKey, Curves, End, Ended, Expected, ModelKey, TenantKey, Told,
};
use bitternlatch_policy::interface;
use bitternlatch_protocol::tokens_of;
use xxhash_rust::xxh3::xxh3_64;

use crate::requests::Request;
use crate::types::Micros;

#[derive(Debug, Default)]
pub(crate) struct OutputLengths {
    curves: Curves,
}

/// A model's or class's short form; never the one that stands for all.
fn name_hash(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) as u32).max(1)
}

impl OutputLengths {
    pub(crate) fn on_update(&mut self, _now: Micros, told: Told) {
        match told {
            // Bounded by `Curves`.
            Told::Curves(curves) => curves
                .into_iter()
                .for_each(|(cell, curve)| self.curves.set(cell, curve)),
        }
    }

    /// Of an answer to this prompt, by what was told of its like; none before anything was.
    pub(crate) fn predict(
        &self,
        model: &str,
        class: &str,
        prompt_tokens: u32,
        ceiling: u32,
    ) -> Option<Expected> {
        if self.curves.is_empty() {
            return None;
        }
        let known = self.curves.find(
            ModelKey(name_hash(model)),
            ClassKey(name_hash(class)),
            prompt_tokens,
        )?;
        Some(known.expected(ceiling))
    }

    /// What the decision module is told of it.
    pub(crate) fn to_decision_module(
        expected: Option<Expected>,
    ) -> Option<interface::ExpectedTokens> {
        expected.map(|e| interface::ExpectedTokens {
            mean: e.mean,
            p90: e.p90,
        })
    }

    /// An answer that has ended, or that its client left while it ran.
    pub(crate) fn end_report(request: &Request, class: &str, server: &str, end: End) -> Ask {
        let tokens = match end {
            End::Left => tokens_of(request.text.len()),
            End::Whole | End::Ceiling => request.usage.output_tokens,
        };
        Ask::Ended(Ended {
            model: ModelKey(name_hash(&request.response.model)),
            class: ClassKey(name_hash(class)),
            tenant: TenantKey(request.tenant),
            prompt_tokens: tokens_of(request.prompt.len()),
            ceiling: request.max_tokens,
            tokens,
            bytes: u32::try_from(request.text.len()).unwrap_or(u32::MAX),
            end,
            told: request.expected.map(|e| e.p90.round() as u32),
            host: server.to_string(),
        })
    }
}
