//! Charges held against what hosts counted, as their sockets' captures show it.

use std::collections::BTreeMap;

use bitternlatch_budget::charge::{Entries, Usage};
use bitternlatch_budget::Amount;
use bitternlatch_protocol::engine::{decode, FromEngine};
use serde::{Deserialize, Serialize};

/// A line of a capture, as far as it is used.
#[derive(Deserialize)]
struct Line {
    dir: String,
    text: String,
}

/// What a comparison found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Reconciled {
    /// Requests charged what a host counted, to the token.
    pub equal: usize,
    /// Possibly charged, and what hosts counted for them is within the bound, or nothing.
    pub within: usize,
    /// Tokens of further tries of charged requests, which their tenants do not pay.
    pub other_tries: u64,
    /// Responses at fault, with why.
    pub faults: Vec<String>,
}

/// The counts of each request's tries that wrote an answer to its end, by the request's part of the wire id.
#[derive(Default)]
pub struct Counts {
    by_request: BTreeMap<String, Vec<Amount>>,
}

impl Counts {
    /// Takes one line of a capture (JSON); lines of other kinds and directions are passed over.
    ///
    /// # Errors
    /// A line that is no line of a capture.
    pub fn take(&mut self, line: &str) -> Result<(), String> {
        let line: Line = serde_json::from_str(line).map_err(|e| e.to_string())?;
        if line.dir == "out" {
            self.take_text(&line.text);
        }
        Ok(())
    }

    /// Takes one message of a host.
    pub fn take_text(&mut self, text: &str) {
        let Ok(FromEngine::Chunk { id, body }) = decode::<FromEngine>(text) else {
            return;
        };
        let ended = body.choices.iter().any(|c| c.finish_reason.is_some());
        let (Some(usage), true, Some((request, _))) = (body.usage, ended, id.split_once('-'))
        else {
            return;
        };
        // A reader's count of the prompt alone is no answer.
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

    /// Holds the entries that stand against the counts.
    pub fn reconcile(&self, entries: &Entries) -> Reconciled {
        let mut found = Reconciled::default();
        let mut charged = Vec::new();
        for entry in entries.latest() {
            // A response's id is its request's wire id with a tag behind it.
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
            let all: u64 = counts.iter().map(|c| c.total()).sum();
            match entry.used {
                Usage::Known(amount) if counts.contains(&amount) => {
                    found.equal += 1;
                    found.other_tries += all - amount.total();
                }
                Usage::Known(amount) => found.faults.push(format!(
                    "{}: charged {} and {}, hosts counted {counts:?}",
                    entry.response, amount.prompt, amount.output
                )),
                Usage::AtMost(bound) if counts.iter().all(|c| c.total() <= bound.total()) => {
                    found.within += 1
                }
                Usage::AtMost(bound) => found.faults.push(format!(
                    "{}: possibly charged up to {}, hosts counted {counts:?}",
                    entry.response,
                    bound.total()
                )),
            }
        }
        for (request, counts) in &self.by_request {
            if !charged.contains(request) {
                found.faults.push(format!(
                    "request {request}: hosts counted {counts:?}, nothing is charged"
                ));
            }
        }
        found
    }
}
