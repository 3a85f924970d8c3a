//! Leases of tenants' rates: when parts are asked for, and what may be spent with and without one.

use std::collections::BTreeMap;

use bitternlatch_budget::lease::{Borrower, LeaseRules};
use bitternlatch_budget::ledger::{Part, Want, TENANTS_MOST};

use crate::machine::{log, Machine};
use crate::timers::Timer;
use crate::types::{Level, Micros, Output};

/// Seconds between two looks at what to ask for.
const CHECK_INTERVAL_S: f64 = 0.5;
/// Seconds without a request after which a part goes back.
const IDLE_S: f64 = 5.0;
/// Questions whose answer may still come; an older one's changes nothing.
const MAX_PENDING_REQUESTS: usize = 16;

/// The borrowing side of all tenants with a rate.
#[derive(Default)]
pub(crate) struct BudgetLeases {
    tenants: BTreeMap<u32, TenantLease>,
    asked: BTreeMap<u64, Micros>,
    next: u64,
    /// Where the last look began, so that all tenants get their turn in questions of bounded size.
    turn: u32,
}

struct TenantLease {
    borrower: Borrower,
    /// Number of the part that it holds, 0 for none.
    holds: u64,
    /// The rate that the account has now.
    rate: f64,
    /// When a request last asked for tokens.
    used: Option<Micros>,
}

impl TenantLease {
    fn busy(&self, now: Micros) -> bool {
        self.used.is_some_and(|at| now.since(at) < IDLE_S)
    }
}

impl BudgetLeases {
    /// A request asked for tokens, taken or not.
    pub(crate) fn record_demand(&mut self, now: Micros, tenant: u32, tokens: u64) {
        if let Some(b) = self.tenants.get_mut(&tenant) {
            b.borrower.wanted(tokens as f64);
            b.used = Some(now);
        }
    }
}

impl Machine {
    /// Begins to borrow, where there is a quota server: at the careful rate until a part comes.
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
            let borrower =
                Borrower::new(rules.clone(), rate.tokens_per_s, dispatchers, now.seconds());
            let leased_rate = borrower.rate(now.seconds());
            let whole = (rate.tokens_per_s, rate.burst_tokens);
            self.book
                .lend(now.seconds(), i as u32, leased_rate / whole.0, whole);
            self.leases.tenants.insert(
                i as u32,
                TenantLease {
                    borrower,
                    holds: 0,
                    rate: leased_rate,
                    used: None,
                },
            );
        }
        self.timers
            .set(now.after(CHECK_INTERVAL_S), Timer::BudgetLeases);
    }

    /// Follows parts that have ended, and asks for new ones where they were used or are wanted.
    pub(crate) fn request_budget_leases(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.timers
            .set(now.after(CHECK_INTERVAL_S), Timer::BudgetLeases);
        self.apply_budget_leases(now);
        let due = |b: &TenantLease| (b.busy(now) || b.holds != 0) && b.borrower.asks(now.seconds());
        let after = self.leases.tenants.range(self.leases.turn..);
        let before = self.leases.tenants.range(..self.leases.turn);
        let due: Vec<u32> = after
            .chain(before)
            .filter(|(_, b)| due(b))
            .map(|(t, _)| *t)
            .take(TENANTS_MOST)
            .collect();
        let Some(last) = due.last() else { return };
        let last = *last;
        self.leases.turn = last + 1;
        let mut tenants = Vec::new();
        for tenant in due {
            let Some(b) = self.leases.tenants.get_mut(&tenant) else {
                continue;
            };
            let wants = if b.busy(now) {
                b.borrower.wants(now.seconds()).max(1.0)
            } else {
                0.0
            };
            let name = self.settings.tenants[tenant as usize].name.clone();
            tenants.push(Want {
                tenant: name,
                tokens_per_s: wants,
                holds: b.holds,
            });
            if wants == 0.0 {
                b.holds = 0;
                b.borrower.drop_part();
            }
        }
        self.leases.next += 1;
        let number = self.leases.next;
        self.leases.asked.insert(number, now);
        while self.leases.asked.len() > MAX_PENDING_REQUESTS {
            self.leases.asked.pop_first();
        }
        self.apply_budget_leases(now);
        out.push(Output::RequestBudgetLeases {
            holder: self.instance,
            number,
            tenants,
        });
    }

    /// Parts came for a question.
    pub(crate) fn on_budget_leases(
        &mut self,
        now: Micros,
        number: u64,
        parts: &[Part],
        out: &mut Vec<Output>,
    ) {
        let Some(asked) = self.leases.asked.remove(&number) else {
            return;
        };
        for part in parts {
            let tenant = self
                .settings
                .tenants
                .iter()
                .position(|t| t.name == part.tenant);
            let known = tenant.and_then(|t| self.leases.tenants.get_mut(&(t as u32)));
            let (Some(b), Some(lease)) = (known, part.lease()) else {
                log(
                    out,
                    Level::Warn,
                    format!("a part for '{}' cannot be used", part.tenant),
                );
                continue;
            };
            b.borrower.lent(asked.seconds(), lease);
            b.holds = b.holds.max(lease.number);
        }
        self.apply_budget_leases(now);
    }

    /// Gives each account the rate that its part has now.
    pub(crate) fn apply_budget_leases(&mut self, now: Micros) {
        for (tenant, b) in &mut self.leases.tenants {
            let rate = b.borrower.rate(now.seconds());
            let whole = self.settings.tenants[*tenant as usize]
                .budget
                .as_ref()
                .and_then(|p| p.rate);
            if let Some(whole) = whole.filter(|_| rate != b.rate) {
                b.rate = rate;
                let whole = (whole.tokens_per_s, whole.burst_tokens);
                self.book
                    .lend(now.seconds(), *tenant, rate / whole.0, whole);
            }
        }
    }
}
