//! What dispatchers and the ledger say to each other, and the ledger's decisions.
//!
//! One JSON object a message. A dispatcher asks for parts of its tenants' rates and ships its charges; both may be lost or
//! come twice, and the end is the same.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::charge::Entry;
use crate::lease::{Holder, Lease, LeaseRules, Lender};

/// Most tenants in one question, and most entries in one shipment.
pub const TENANTS_MOST: usize = 256;
pub const ENTRIES_MOST: usize = 512;

/// From a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum ToLedger {
    /// Parts are wanted.
    Ask {
        holder: u64,
        number: u64,
        tenants: Vec<Want>,
    },
    /// Charges; answered once they are on the ledger's disk.
    Ship { number: u64, entries: Vec<Entry> },
}

/// What one tenant's requests want at a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Want {
    pub tenant: String,
    /// Tokens a second; 0 gives the part back.
    pub tokens_per_s: f64,
    /// Number of the part that it holds, 0 for none.
    pub holds: u64,
}

/// To a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum FromLedger {
    /// Parts, for the question of this number. Tenants without one are not lent to now.
    Lent { number: u64, parts: Vec<Part> },
    /// The shipment of this number is on disk.
    Shipped { number: u64 },
    /// A message that cannot be used; why.
    Fault { message: String },
}

/// A part as it goes over the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    pub tenant: String,
    pub lease: u64,
    pub tokens_per_s: f64,
    pub lasts_s: f64,
}

/// The ledger's lending, for all tenants.
pub struct Ledger {
    lenders: BTreeMap<String, Lender>,
}

impl Ledger {
    /// For tenants with a rate (tokens a second). `first` where nothing can be out from an earlier run.
    pub fn new(
        rates: &BTreeMap<String, f64>,
        rules: &LeaseRules,
        now_s: f64,
        first: bool,
    ) -> Ledger {
        let lender = |(name, rate): (&String, &f64)| {
            (
                name.clone(),
                Lender::new(rules.clone(), *rate, now_s, first),
            )
        };
        Ledger {
            lenders: rates.iter().map(lender).collect(),
        }
    }

    /// Answers a question. Tenants that are not known are passed over; more than [`TENANTS_MOST`] are not answered.
    pub fn ask(&mut self, now_s: f64, holder: u64, tenants: &[Want]) -> Vec<Part> {
        let mut parts = Vec::new();
        for want in tenants.iter().take(TENANTS_MOST) {
            let Some(lender) = self.lenders.get_mut(&want.tenant) else {
                continue;
            };
            if want.tokens_per_s == 0.0 && want.holds != 0 {
                lender.give_back(Holder(holder), want.holds);
                continue;
            }
            if let Some(lease) = lender.lend(now_s, Holder(holder), want.tokens_per_s) {
                let tenant = want.tenant.clone();
                parts.push(Part {
                    tenant,
                    lease: lease.number,
                    tokens_per_s: lease.rate,
                    lasts_s: lease.lasts_s,
                });
            }
        }
        parts
    }

    /// Tokens a second that are lent out now, by tenant.
    pub fn out(&self, now_s: f64) -> BTreeMap<String, f64> {
        self.lenders
            .iter()
            .map(|(name, l)| (name.clone(), l.out(now_s)))
            .collect()
    }
}

impl Part {
    /// As the borrower takes it; `None` for one that is no part.
    pub fn lease(&self) -> Option<Lease> {
        let good = |v: f64, most: f64| v.is_finite() && (0.0..=most).contains(&v);
        (good(self.tokens_per_s, 1e12) && good(self.lasts_s, 3600.0)).then_some(Lease {
            number: self.lease,
            rate: self.tokens_per_s,
            lasts_s: self.lasts_s,
        })
    }
}
