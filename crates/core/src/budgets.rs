//! Token budgets of tenants. The most that a request can use is held at its admission, the request is charged before
//! its final answer, and the hold is settled when the request has no attempt in flight any more.
//!
//! The budget is checked before the decision module, which applies quotas of its own: a request that the budget rejects
//! is never passed to the decision module.

use bitternlatch_budget::bucket::InsufficientBudget;
use bitternlatch_budget::charge::{Entry, Usage};
use bitternlatch_budget::Amount;
use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::client::{self, BadRequest, Create, Response, Status};
use bitternlatch_workflow::RejectReason;

use crate::machine::Machine;
use crate::requests::Request;
use crate::types::{Micros, Output, SessionId};
use crate::workflows::to_bad_request;

/// Delay after which a client may retry a request that was rejected by one of this dispatcher's own limits, seconds.
pub(crate) const RETRY_AFTER_S: f64 = 1.0;

/// Why a request is rejected before it is admitted, and when and where the client may retry.
pub(crate) struct Rejection {
    pub error: BadRequest,
    /// Delay before a retry, seconds; `None` stands for [`RETRY_AFTER_S`] for status 429 and for no delay otherwise.
    pub retry_after_s: Option<f64>,
    /// Client addresses of other dispatchers that the client may try instead.
    pub alternatives: Vec<String>,
}

impl From<BadRequest> for Rejection {
    fn from(error: BadRequest) -> Rejection {
        Rejection {
            error,
            retry_after_s: None,
            alternatives: vec![],
        }
    }
}

impl Rejection {
    /// The error event for the client.
    pub(crate) fn to_text(&self, create: &Create) -> String {
        let default_s = (self.error.status == 429).then_some(RETRY_AFTER_S);
        let retry_after_ms = self
            .retry_after_s
            .or(default_s)
            .map(|s| (s * 1000.0).ceil() as u64);
        client::error_elsewhere(
            &self.error,
            retry_after_ms,
            Some(&create.metadata),
            &self.alternatives,
        )
    }

    pub(crate) fn by_workflow(reason: RejectReason) -> Rejection {
        let error = to_bad_request(reason);
        let retry_after_s = (error.status == 503).then_some(RETRY_AFTER_S);
        Rejection {
            error,
            retry_after_s,
            alternatives: vec![],
        }
    }

    /// The rejection of a request by the cluster's load shedding. It never ran, so a retry is safe.
    pub(crate) fn by_shedding(retry_after_s: f64) -> Rejection {
        let message = "no place now for what it asks; asking again is harmless".to_string();
        let error = BadRequest {
            status: 429,
            code: "rate_limit_exceeded",
            message,
            param: None,
        };
        Rejection {
            error,
            retry_after_s: Some(retry_after_s),
            alternatives: vec![],
        }
    }

    pub(crate) fn by_budget(short: InsufficientBudget) -> Rejection {
        let bad_request = |status, code, message: &str| BadRequest {
            status,
            code,
            message: message.to_string(),
            param: None,
        };
        match short {
            InsufficientBudget::RetryAfter(seconds) => Rejection {
                error: bad_request(
                    429,
                    "budget_spent",
                    "the tenant's budget has not enough tokens left for this request",
                ),
                retry_after_s: Some(seconds),
                alternatives: vec![],
            },
            InsufficientBudget::Never => bad_request(
                403,
                "budget_too_small",
                "the request asks for more tokens than the tenant's budget ever has",
            )
            .into(),
        }
    }
}

/// The charges that this dispatcher has issued for one request, each stating the tokens to be charged to the tenant. A
/// later charge replaces the earlier ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestCharges {
    /// Number of entries issued; the last entry's number.
    entries: u32,
    last: Option<Usage>,
}

impl Request {
    /// The token usage that the model server reported; `None` if it reported none or zero. Output tokens above the
    /// request's limit are the server's fault and are not charged to the tenant.
    fn reported_usage(&self) -> Option<Amount> {
        let usage = (self.usage.total_tokens > 0).then_some(self.usage)?;
        Some(Amount {
            prompt: usage.input_tokens,
            output: usage.output_tokens.min(self.max_tokens),
        })
    }

    /// What the request is to be charged by what is known now: its reported usage or, if it was served or may have run
    /// without one, the upper bound that was held. `None` if it was rejected or is known not to have run.
    fn amount_due(&self, served: bool, rejected: bool) -> Option<Usage> {
        match self.reported_usage() {
            _ if rejected => None,
            Some(amount) => Some(Usage::Known(amount)),
            None if served || self.may_have_run() => {
                Some(Usage::AtMost(self.budget_hold.as_ref()?.amount()))
            }
            None => None,
        }
    }
}

impl Machine {
    /// Sends a session the remaining tokens of its tenant's budget if that is close to exhausted.
    pub(crate) fn send_rate_limits(
        &mut self,
        now: Micros,
        tenant: u32,
        session: SessionId,
        out: &mut Vec<Output>,
    ) {
        if let Some(near) = self.accounts.nearest_limit(now.seconds(), tenant) {
            let text = client::rate_limits(near.limit as u64, near.remaining as u64, near.reset_s);
            out.push(Output::SendToClient { session, text });
        }
    }

    /// Charges a request for its final answer. Called before the answer itself is sent.
    pub(crate) fn charge_answer(
        &mut self,
        id: RequestId,
        answer: &Response,
        out: &mut Vec<Output>,
    ) {
        let served = matches!(answer.status, Status::Completed | Status::Incomplete);
        let rejected = answer.error.as_ref().is_some_and(|e| e.safe_to_repeat);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.rejected = rejected;
        let used = request.amount_due(served, rejected);
        self.charge(id, used, out);
    }

    /// Emits a charge for a request unless it equals the request's previous charge.
    fn charge(&mut self, id: RequestId, used: Option<Usage>, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(used) = used.filter(|u| request.charged.last != Some(*u)) else {
            return;
        };
        request.charged.last = Some(used);
        request.charged.entries += 1;
        let tenant = self
            .settings
            .tenants
            .get(request.tenant as usize)
            .map(|t| t.name.clone());
        out.push(Output::Charge(Entry {
            response: request.response.id.clone(),
            number: request.charged.entries,
            tenant: tenant.unwrap_or_default(),
            class: self.settings.classes[usize::from(request.class)]
                .name
                .clone(),
            owner: request.owner.clone(),
            key: request
                .key
                .as_ref()
                .map(|k| k.text.clone())
                .unwrap_or_default(),
            accepted_us: request.created_at.0,
            used,
        }));
    }

    /// Settles a request that has no attempt in flight any more: charges what is known now and returns the rest of its
    /// hold to the tenant's budget. Tokens that may have been used are not returned, because the server may have done
    /// the work.
    pub(crate) fn settle(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let used = request.amount_due(false, request.rejected);
        self.charge(id, used, out);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let used = match request.charged.last {
            Some(Usage::Known(amount) | Usage::AtMost(amount)) => amount,
            None => Amount::default(),
        };
        if let Some(hold) = request.budget_hold.take() {
            self.accounts.settle(hold, used);
        }
    }

    /// Opens the budget accounts of all tenants. Each starts with an even fraction of the tenant's budget; with a quota
    /// server or a cluster, the rate then follows this dispatcher's leases. Token amounts per period always stay evenly
    /// divided, because the other dispatchers don't know what a failed one has used of its fraction.
    pub(crate) fn open_accounts(&mut self, now: Micros) {
        let share = 1.0 / self.quota_members() as f64;
        let classes = &self.settings.classes;
        let class_number = |name: &str| {
            classes
                .iter()
                .position(|c| c.name == name)
                .map(|i| i as u16)
        };
        for (i, tenant) in self.settings.tenants.iter().enumerate() {
            if let Some(budget) = &tenant.budget {
                self.accounts
                    .set_budget(now.seconds(), i as u32, budget, share, class_number);
            }
        }
    }
}
