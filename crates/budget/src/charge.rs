//! Charge entries for requests, and the bills computed from them.
//!
//! Entries are append-only. The first entry of a request holds its usage, or an upper bound where the usage is unknown.
//! If the usage becomes known later, a correction entry with a higher number replaces all earlier ones.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Amount;

/// The usage that a request is charged for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Usage {
    /// The usage that the model server reported.
    Known(Amount),
    /// An upper bound: the request failed, but the model server may have processed it.
    #[serde(rename = "Possibly")]
    AtMost(Amount),
}

/// One charge entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the charged response, unique across all dispatchers.
    pub response: String,
    /// 1 for the first entry of a response, one higher for each correction. Distinguishes a correction from a repeated
    /// delivery.
    pub number: u32,
    /// Name of the tenant that is charged.
    pub tenant: String,
    /// Name of the request class.
    pub class: String,
    /// Owner of the request by the access rights; empty where there is none.
    pub owner: String,
    /// The client's idempotency key; empty where there is none.
    pub key: String,
    /// When the request was accepted, Unix microseconds; decides which billing period it belongs to.
    #[serde(rename = "taken_us")]
    pub accepted_us: u64,
    pub used: Usage,
}

/// Totals for one tenant and class on a bill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BillLine {
    /// Requests with known usage.
    pub requests: u64,
    /// Prompt tokens of the requests with known usage.
    pub prompt: u64,
    /// Output tokens of the requests with known usage.
    pub output: u64,
    /// Requests of which only an upper bound of the usage is known; not included in `requests`.
    pub possibly: u64,
    /// Sum of those upper bounds, tokens; not included in `prompt` and `output`.
    pub possibly_tokens: u64,
}

/// The latest charge entry of each response. Entries may be inserted repeatedly and in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entries {
    latest: BTreeMap<String, Entry>,
}

/// Result of [`Entries::insert`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The entry is now the latest of its response.
    Inserted,
    /// The entry or a later correction is already present.
    Duplicate,
    /// An entry with the same number but different content is present; the present one stays in effect.
    Conflict,
}

impl Entries {
    /// Inserts an entry. The resulting state does not depend on the order of entries or on repeated ones.
    pub fn insert(&mut self, entry: Entry) -> InsertOutcome {
        match self.latest.get(&entry.response) {
            Some(known) if known.number == entry.number && *known != entry => {
                InsertOutcome::Conflict
            }
            Some(known) if known.number >= entry.number => InsertOutcome::Duplicate,
            _ => {
                self.latest.insert(entry.response.clone(), entry);
                InsertOutcome::Inserted
            }
        }
    }

    /// The latest entry of each response.
    pub fn latest(&self) -> impl Iterator<Item = &Entry> {
        self.latest.values()
    }

    /// Totals by tenant and class over the requests accepted from `from_us` up to but excluding `to_us`, Unix
    /// microseconds.
    pub fn bill(&self, from_us: u64, to_us: u64) -> BTreeMap<(String, String), BillLine> {
        let mut bill: BTreeMap<(String, String), BillLine> = BTreeMap::new();
        for entry in self
            .latest()
            .filter(|e| (from_us..to_us).contains(&e.accepted_us))
        {
            let line = bill
                .entry((entry.tenant.clone(), entry.class.clone()))
                .or_default();
            match entry.used {
                Usage::Known(a) => {
                    line.requests += 1;
                    line.prompt += u64::from(a.prompt);
                    line.output += u64::from(a.output);
                }
                Usage::AtMost(a) => {
                    line.possibly += 1;
                    line.possibly_tokens += a.total();
                }
            }
        }
        bill
    }
}
