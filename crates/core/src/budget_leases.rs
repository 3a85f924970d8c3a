//! Leases on tenants' token rates from the quota server: when they are requested, and which rate applies with and
//! without a lease.

use std::collections::BTreeMap;

use bitternlatch_budget::lease::{LeaseHolder, LeaseRules};
use bitternlatch_budget::ledger::{LeaseGrant, LeaseRequest, MAX_TENANTS};

use crate::machine::{log, Machine};
use crate::timers::Timer;
use crate::types::{Level, Micros, Output};

/// Interval at which due lease requests are collected, seconds.
const CHECK_INTERVAL_S: f64 = 0.5;
/// Time without a request from a tenant after which its lease is returned, seconds.
const IDLE_S: f64 = 5.0;
/// Number of lease requests that may be pending; the response to an older one is ignored.
const MAX_PENDING_REQUESTS: usize = 16;

/// The leases of all tenants whose budget has a token rate.
#[derive(Default)]
pub(crate) struct BudgetLeases {
    tenants: BTreeMap<u32, TenantLease>,
    /// Time at which each pending lease request was sent, by its number.
    pending: BTreeMap<u64, Micros>,
    /// Number of the last lease request.
    last_number: u64,
    /// The tenant at which the next lease request starts. Requests are bounded in size, so they go through the tenants
    /// in turn.
    next_tenant: u32,
}

struct TenantLease {
    lease_holder: LeaseHolder,
    /// Number of the lease that is held, 0 for none.
    lease_number: u64,
    /// The rate now set in the tenant's account, tokens per second.
    rate: f64,
    /// When a request last asked for tokens.
    last_demand: Option<Micros>,
}

impl TenantLease {
    fn is_active(&self, now: Micros) -> bool {
        self.last_demand.is_some_and(|at| now.since(at) < IDLE_S)
    }
}

impl BudgetLeases {
    /// Records that a request asked for tokens, whether or not it is admitted.
    pub(crate) fn record_demand(&mut self, now: Micros, tenant: u32, tokens: u64) {
        if let Some(lease) = self.tenants.get_mut(&tenant) {
            lease.lease_holder.record_demand(tokens as f64);
            lease.last_demand = Some(now);
        }
    }
}

impl Machine {
    /// Starts leasing if a quota server is configured. Until the first lease is received, each tenant's rate is the
    /// reduced rate that a dispatcher may spend without a lease.
    pub(crate) fn open_budget_leases(&mut self, now: Micros) {
        if self.settings.quota_server.is_none() {
            return;
        }
        let rules = LeaseRules::default();
        for (i, tenant) in self.settings.tenants.iter().enumerate() {
            let Some(rate) = tenant.budget.as_ref().and_then(|b| b.rate) else {
                continue;
            };
            let dispatchers = self.settings.dispatchers;
            let lease_holder =
                LeaseHolder::new(rules.clone(), rate.tokens_per_s, dispatchers, now.seconds());
            let rate_without_lease = lease_holder.rate(now.seconds());
            let whole = (rate.tokens_per_s, rate.burst_tokens);
            self.accounts
                .set_lease(now.seconds(), i as u32, rate_without_lease / whole.0, whole);
            self.leases.tenants.insert(
                i as u32,
                TenantLease {
                    lease_holder,
                    lease_number: 0,
                    rate: rate_without_lease,
                    last_demand: None,
                },
            );
        }
        self.timers
            .set(now.after(CHECK_INTERVAL_S), Timer::BudgetLeases);
    }

    /// Applies expired leases to the tenants' accounts, then requests new leases for active tenants. The lease of an
    /// inactive tenant is returned by asking for a rate of 0.
    pub(crate) fn request_budget_leases(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.timers
            .set(now.after(CHECK_INTERVAL_S), Timer::BudgetLeases);
        self.apply_budget_leases(now);
        let is_due = |lease: &TenantLease| {
            (lease.is_active(now) || lease.lease_number != 0)
                && lease.lease_holder.needs_renewal(now.seconds())
        };
        let after = self.leases.tenants.range(self.leases.next_tenant..);
        let before = self.leases.tenants.range(..self.leases.next_tenant);
        let due: Vec<u32> = after
            .chain(before)
            .filter(|(_, lease)| is_due(lease))
            .map(|(tenant, _)| *tenant)
            .take(MAX_TENANTS)
            .collect();
        let Some(last) = due.last() else { return };
        let last = *last;
        self.leases.next_tenant = last + 1;
        let mut tenants = Vec::new();
        for tenant in due {
            let Some(lease) = self.leases.tenants.get_mut(&tenant) else {
                continue;
            };
            let wanted_rate = if lease.is_active(now) {
                lease.lease_holder.demand(now.seconds()).max(1.0)
            } else {
                0.0
            };
            let name = self.settings.tenants[tenant as usize].name.clone();
            tenants.push(LeaseRequest {
                tenant: name,
                tokens_per_s: wanted_rate,
                held_lease: lease.lease_number,
            });
            if wanted_rate == 0.0 {
                lease.lease_number = 0;
                lease.lease_holder.drop_lease();
            }
        }
        self.leases.last_number += 1;
        let number = self.leases.last_number;
        self.leases.pending.insert(number, now);
        while self.leases.pending.len() > MAX_PENDING_REQUESTS {
            self.leases.pending.pop_first();
        }
        self.apply_budget_leases(now);
        out.push(Output::RequestBudgetLeases {
            holder: self.instance,
            number,
            tenants,
        });
    }

    /// Applies the quota server's response to a lease request. A response to a request that is not pending is ignored;
    /// a lease's time runs from the request.
    pub(crate) fn on_budget_leases(
        &mut self,
        now: Micros,
        number: u64,
        leases: &[LeaseGrant],
        out: &mut Vec<Output>,
    ) {
        let Some(requested_at) = self.leases.pending.remove(&number) else {
            return;
        };
        for grant in leases {
            let tenant = self
                .settings
                .tenants
                .iter()
                .position(|t| t.name == grant.tenant);
            let tenant_lease = tenant.and_then(|t| self.leases.tenants.get_mut(&(t as u32)));
            let (Some(tenant_lease), Some(lease)) = (tenant_lease, grant.lease()) else {
                log(
                    out,
                    Level::Warn,
                    format!("a part for '{}' cannot be used", grant.tenant),
                );
                continue;
            };
            tenant_lease
                .lease_holder
                .receive(requested_at.seconds(), lease);
            tenant_lease.lease_number = tenant_lease.lease_number.max(lease.number);
        }
        self.apply_budget_leases(now);
    }

    /// Sets the rate of each tenant's account to the rate that its lease allows now.
    pub(crate) fn apply_budget_leases(&mut self, now: Micros) {
        for (tenant, lease) in &mut self.leases.tenants {
            let rate = lease.lease_holder.rate(now.seconds());
            let whole = self.settings.tenants[*tenant as usize]
                .budget
                .as_ref()
                .and_then(|p| p.rate);
            if let Some(whole) = whole.filter(|_| rate != lease.rate) {
                lease.rate = rate;
                let whole = (whole.tokens_per_s, whole.burst_tokens);
                self.accounts
                    .set_lease(now.seconds(), *tenant, rate / whole.0, whole);
            }
        }
    }
}
