//! Compares charges with the token counts that model servers reported, taken from captures of their connections.

use std::collections::BTreeMap;

use bitternlatch_budget::charge::{Entries, Usage};
use bitternlatch_budget::Amount;
use bitternlatch_protocol::engine::{decode, FromEngine};
use serde::{Deserialize, Serialize};

/// The fields that are used of one line of a capture.
#[derive(Deserialize)]
struct CaptureLine {
    dir: String,
    text: String,
}

/// Result of comparing charges with the model servers' counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Reconciled {
    /// Number of requests charged exactly what a server counted.
    pub equal: usize,
    /// Number of possibly charged requests for which the servers counted nothing, or no more than the bound.
    pub within: usize,
    /// Tokens of other attempts of charged requests; tenants are not charged for them.
    #[serde(rename = "other_tries")]
    pub other_attempt_tokens: u64,
    /// Descriptions of the mismatches between charges and counts.
    #[serde(rename = "faults")]
    pub mismatches: Vec<String>,
}

/// Token counts of all attempts that generated a complete answer, by request. The key is the part of the attempt's id on the
/// wire that identifies the request.
#[derive(Default)]
pub struct ServerCounts {
    by_request: BTreeMap<String, Vec<Amount>>,
}

impl ServerCounts {
    /// Adds one line of a capture (JSON). Messages to the server and messages without a final count are skipped.
    ///
    /// # Errors
    /// The line is not a line of a capture.
    pub fn add_line(&mut self, line: &str) -> Result<(), String> {
        let line: CaptureLine = serde_json::from_str(line).map_err(|e| e.to_string())?;
        if line.dir == "out" {
            self.add_message(&line.text);
        }
        Ok(())
    }

    /// Adds the token count in one message of a model server, if it ends an answer.
    pub fn add_message(&mut self, text: &str) {
        let Ok(FromEngine::Chunk { id, body }) = decode::<FromEngine>(text) else {
            return;
        };
        let ended = body.choices.iter().any(|c| c.finish_reason.is_some());
        let (Some(usage), true, Some((request, _))) = (body.usage, ended, id.split_once('-'))
        else {
            return;
        };
        // A prefill server's message counts only the prompt; it is no answer.
        if body.kv_transfer_params.is_none() {
            let amount = Amount {
                prompt: usage.prompt_tokens,
                output: usage.completion_tokens,
            };
            self.by_request
                .entry(request.to_string())
                .or_default()
                .push(amount);
        }
    }

    /// Compares the charges with the counts.
    pub fn reconcile(&self, entries: &Entries) -> Reconciled {
        let mut found = Reconciled::default();
        let mut charged = Vec::new();
        for entry in entries.latest() {
            // A response id is `resp_`, the 24 characters of the request's id on the wire, and a tag.
            let request = entry
                .response
                .strip_prefix("resp_")
                .and_then(|r| r.get(..24))
                .unwrap_or_default();
            charged.push(request.to_string());
            let counts = self
                .by_request
                .get(request)
                .map(Vec::as_slice)
                .unwrap_or_default();
            let total: u64 = counts.iter().map(|c| c.total()).sum();
            match entry.used {
                Usage::Known(amount) if counts.contains(&amount) => {
                    found.equal += 1;
                    found.other_attempt_tokens += total - amount.total();
                }
                Usage::Known(amount) => found.mismatches.push(format!(
                    "{}: charged {} and {}, servers counted {counts:?}",
                    entry.response, amount.prompt, amount.output
                )),
                Usage::AtMost(bound) if counts.iter().all(|c| c.total() <= bound.total()) => {
                    found.within += 1
                }
                Usage::AtMost(bound) => found.mismatches.push(format!(
                    "{}: possibly charged up to {}, servers counted {counts:?}",
                    entry.response,
                    bound.total()
                )),
            }
        }
        for (request, counts) in &self.by_request {
            if !charged.contains(request) {
                found.mismatches.push(format!(
                    "request {request}: servers counted {counts:?}, nothing is charged"
                ));
            }
        }
        found
    }
}
