//! The messages between dispatchers and the quota server, and the quota server's decisions on leases.
//!
//! Each message is one JSON object. A dispatcher requests leases on its tenants' rates and uploads its charges. Both are
//! idempotent, so messages may be lost or delivered repeatedly.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::charge::Entry;
use crate::lease::{HolderId, Lease, LeaseIssuer, LeaseRules};

/// Maximum number of tenants in one lease request.
pub const MAX_TENANTS: usize = 256;
/// Maximum number of charge entries in one upload.
pub const MAX_ENTRIES: usize = 512;

/// A message from a dispatcher to the quota server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum QuotaRequest {
    /// Requests leases for tenants.
    #[serde(rename = "ask")]
    RequestLeases {
        /// The run of the dispatcher, see [`HolderId`].
        holder: u64,
        /// Number of the request, repeated in the response.
        number: u64,
        /// The demand of each tenant.
        tenants: Vec<LeaseRequest>,
    },
    /// Uploads charges; acknowledged once the quota server has stored them durably.
    #[serde(rename = "ship")]
    StoreCharges {
        /// Number of the upload, repeated in the acknowledgement.
        number: u64,
        /// The charge entries.
        entries: Vec<Entry>,
    },
}

/// The demand of one tenant at a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// Demand, tokens per second; 0 returns the current lease.
    pub tokens_per_s: f64,
    /// Number of the current lease, 0 for none.
    #[serde(rename = "holds")]
    pub held_lease: u64,
}

/// A message from the quota server to a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum QuotaResponse {
    /// Response to a lease request. Tenants that are not listed receive no lease now.
    #[serde(rename = "lent")]
    LeasesGranted {
        /// Number of the lease request.
        number: u64,
        /// The granted leases.
        #[serde(rename = "parts")]
        leases: Vec<LeaseGrant>,
    },
    /// Acknowledges an upload: its charges are stored durably.
    #[serde(rename = "shipped")]
    ChargesStored {
        /// Number of the upload.
        number: u64,
    },
    /// The quota server cannot process a message.
    #[serde(rename = "fault")]
    Error {
        /// The cause.
        message: String,
    },
}

/// A granted lease as it is sent to a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of the lease.
    #[serde(rename = "lease")]
    pub lease_number: u64,
    /// Leased rate, tokens per second.
    pub tokens_per_s: f64,
    /// Duration of the lease, seconds.
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
}

/// The quota server's lease issuers, by tenant.
pub struct LeaseIssuers {
    issuers: BTreeMap<String, LeaseIssuer>,
}

impl LeaseIssuers {
    /// Creates an issuer for each tenant in `rates` (tokens per second). `first` states that no lease of a previous run can
    /// be active, so that leases are issued at once.
    pub fn new(
        rates: &BTreeMap<String, f64>,
        rules: &LeaseRules,
        now_s: f64,
        first: bool,
    ) -> LeaseIssuers {
        let issuer = |(name, rate): (&String, &f64)| {
            (
                name.clone(),
                LeaseIssuer::new(rules.clone(), *rate, now_s, first),
            )
        };
        LeaseIssuers {
            issuers: rates.iter().map(issuer).collect(),
        }
    }

    /// Issues the requested leases and ends the returned ones. Unknown tenants and tenants beyond the first
    /// [`MAX_TENANTS`] are ignored.
    pub fn handle_lease_request(
        &mut self,
        now_s: f64,
        holder: u64,
        tenants: &[LeaseRequest],
    ) -> Vec<LeaseGrant> {
        let mut leases = Vec::new();
        for request in tenants.iter().take(MAX_TENANTS) {
            let Some(issuer) = self.issuers.get_mut(&request.tenant) else {
                continue;
            };
            if request.tokens_per_s == 0.0 && request.held_lease != 0 {
                issuer.return_lease(HolderId(holder), request.held_lease);
                continue;
            }
            if let Some(lease) = issuer.issue(now_s, HolderId(holder), request.tokens_per_s) {
                let tenant = request.tenant.clone();
                leases.push(LeaseGrant {
                    tenant,
                    lease_number: lease.number,
                    tokens_per_s: lease.rate,
                    duration_s: lease.duration_s,
                });
            }
        }
        leases
    }

    /// Sum of the rates of all active leases by tenant, tokens per second.
    pub fn issued_rates(&self, now_s: f64) -> BTreeMap<String, f64> {
        self.issuers
            .iter()
            .map(|(name, l)| (name.clone(), l.issued_rate(now_s)))
            .collect()
    }
}

impl LeaseGrant {
    /// The lease for the dispatcher's [`crate::lease::LeaseHolder`]; `None` if its rate or duration is out of range.
    pub fn lease(&self) -> Option<Lease> {
        let is_valid = |v: f64, max: f64| v.is_finite() && (0.0..=max).contains(&v);
        (is_valid(self.tokens_per_s, 1e12) && is_valid(self.duration_s, 3600.0)).then_some(Lease {
            number: self.lease_number,
            rate: self.tokens_per_s,
            duration_s: self.duration_s,
        })
    }
}
