//! Expected output lengths, by the last estimates received from the cluster. Consulted when a request arrives; the
//! lengths of finished responses are reported back.
//!
//! Independent of [`crate::Machine`], which calls it and sends what it returns.

use bitternlatch_output_length::{
    ClassKey, Command, CurveTable, Event, FinishedResponse, LengthEstimate, ModelKey, ResponseEnd,
    TenantKey,
};
use bitternlatch_policy::interface;
use bitternlatch_protocol::estimate_tokens;
use xxhash_rust::xxh3::xxh3_64;

use crate::requests::Request;
use crate::types::Micros;

#[derive(Debug, Default)]
pub(crate) struct OutputLengths {
    curves: CurveTable,
}

/// A 32-bit key for the name of a model or class; never 0, which stands for all models or all classes.
fn name_hash(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) as u32).max(1)
}

impl OutputLengths {
    /// Stores length estimates received from the cluster.
    pub(crate) fn on_update(&mut self, _now: Micros, update: Event) {
        match update {
            // `CurveTable` bounds how many are stored.
            Event::Estimates(curves) => curves
                .into_iter()
                .for_each(|(cell, curve)| self.curves.set(cell, curve)),
        }
    }

    /// The expected output length of a response to such a prompt, from estimates for similar requests; `None` if there
    /// are none. `ceiling` is the request's output token limit.
    pub(crate) fn predict(
        &self,
        model: &str,
        class: &str,
        prompt_tokens: u32,
        ceiling: u32,
    ) -> Option<LengthEstimate> {
        if self.curves.is_empty() {
            return None;
        }
        let curve = self.curves.find(
            ModelKey(name_hash(model)),
            ClassKey(name_hash(class)),
            prompt_tokens,
        )?;
        Some(curve.estimate(ceiling))
    }

    /// The decision module's form of an expected length.
    pub(crate) fn to_decision_module(
        expected: Option<LengthEstimate>,
    ) -> Option<interface::ExpectedTokens> {
        expected.map(|e| interface::ExpectedTokens {
            mean: e.mean,
            p90: e.p90,
        })
    }

    /// The report on a response that has ended, or whose client disconnected before the end. After a disconnection the
    /// server has reported no usage, so the output tokens are estimated from the text received so far.
    pub(crate) fn end_report(
        request: &Request,
        class: &str,
        server: &str,
        end: ResponseEnd,
    ) -> Command {
        let tokens = match end {
            ResponseEnd::ClientDisconnected => estimate_tokens(request.text.len()),
            ResponseEnd::Complete | ResponseEnd::TokenLimit => request.usage.output_tokens,
        };
        Command::ResponseFinished(FinishedResponse {
            model: ModelKey(name_hash(&request.response.model)),
            class: ClassKey(name_hash(class)),
            tenant: TenantKey(request.tenant),
            prompt_tokens: estimate_tokens(request.prompt.len()),
            max_output_tokens: request.max_tokens,
            output_tokens: tokens,
            text_bytes: u32::try_from(request.text.len()).unwrap_or(u32::MAX),
            end,
            predicted_p90: request.expected_output.map(|e| e.p90.round() as u32),
            server: server.to_string(),
        })
    }
}
