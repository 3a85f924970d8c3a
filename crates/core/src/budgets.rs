//! Budgets of tenants: held at admission, charged before the final answer, put right when nothing of the request is out.
//!
//! The order is budget first, then the decision module with its own shares: what the budget refuses the module never hears of.

use bitternlatch_budget::bucket::Short;
use bitternlatch_budget::charge::{Entry, Used};
use bitternlatch_budget::Amount;
use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::client::{self, BadRequest, Create, Response, Status};
use bitternlatch_workflow::RejectReason;

use crate::machine::Machine;
use crate::requests::Request;
use crate::types::{Micros, Output, SessionId};
use crate::workflows::to_bad_request;

/// Seconds after which a client that met one of this machine's own bounds may come back.
pub(crate) const RETRY_AFTER_S: f64 = 1.0;

/// Why a request is not taken, and when to come back.
pub(crate) struct Rejection {
    pub bad: BadRequest,
    /// `None` is the machine's own time, for what has one at all.
    pub retry_after_s: Option<f64>,
    /// Where else to try.
    pub elsewhere: Vec<String>,
}

impl From<BadRequest> for Rejection {
    fn from(bad: BadRequest) -> Rejection {
        Rejection {
            bad,
            retry_after_s: None,
            elsewhere: vec![],
        }
    }
}

impl Rejection {
    /// The event that says so.
    pub(crate) fn to_text(&self, create: &Create) -> String {
        let own = (self.bad.status == 429).then_some(RETRY_AFTER_S);
        let again = self
            .retry_after_s
            .or(own)
            .map(|s| (s * 1000.0).ceil() as u64);
        client::error_elsewhere(&self.bad, again, Some(&create.metadata), &self.elsewhere)
    }

    pub(crate) fn by_workflow(why: RejectReason) -> Rejection {
        let bad = to_bad_request(why);
        let retry_after_s = (bad.status == 503).then_some(RETRY_AFTER_S);
        Rejection {
            bad,
            retry_after_s,
            elsewhere: vec![],
        }
    }

    /// Refused at once by what all shed together; asking again is harmless.
    pub(crate) fn by_shedding(retry_after_s: f64) -> Rejection {
        let message = "no place now for what it asks; asking again is harmless".to_string();
        let bad = BadRequest {
            status: 429,
            code: "rate_limit_exceeded",
            message,
            param: None,
        };
        Rejection {
            bad,
            retry_after_s: Some(retry_after_s),
            elsewhere: vec![],
        }
    }

    pub(crate) fn by_budget(short: Short) -> Rejection {
        let bad = |status, code, message: &str| BadRequest {
            status,
            code,
            message: message.to_string(),
            param: None,
        };
        match short {
            Short::For(seconds) => Rejection {
                bad: bad(
                    429,
                    "budget_spent",
                    "the tenant's budget has not enough tokens left for this request",
                ),
                retry_after_s: Some(seconds),
                elsewhere: vec![],
            },
            Short::Ever => bad(
                403,
                "budget_too_small",
                "the request asks for more tokens than the tenant's budget ever has",
            )
            .into(),
        }
    }
}

/// What a request has been charged so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Charged {
    entries: u32,
    last: Option<Used>,
}

impl Request {
    /// What its host counted; `None` where none has, or what it says is no count. An output above the ceiling is the host's
    /// fault and not the tenant's.
    fn admitted(&self) -> Option<Amount> {
        let usage = (self.usage.total_tokens > 0).then_some(self.usage)?;
        Some(Amount {
            prompt: usage.input_tokens,
            output: usage.output_tokens.min(self.max_tokens),
        })
    }

    /// What it is to be charged as things stand; nothing for what is known not to have run or is refused.
    fn used(&self, served: bool, refused: bool) -> Option<Used> {
        match self.admitted() {
            _ if refused => None,
            Some(amount) => Some(Used::Known(amount)),
            None if served || self.may_have_run() => {
                Some(Used::Possibly(self.budget_hold.as_ref()?.bound()))
            }
            None => None,
        }
    }
}

impl Machine {
    /// Tells a session what is left, where its tenant is near a bound.
    pub(crate) fn send_rate_limits(
        &mut self,
        now: Micros,
        tenant: u32,
        session: SessionId,
        out: &mut Vec<Output>,
    ) {
        if let Some(near) = self.book.near(now.seconds(), tenant) {
            let text = client::rate_limits(near.limit as u64, near.remaining as u64, near.reset_s);
            out.push(Output::SendToClient { session, text });
        }
    }

    /// The entry for a final answer, before the answer itself.
    pub(crate) fn charge_answer(
        &mut self,
        id: RequestId,
        answer: &Response,
        out: &mut Vec<Output>,
    ) {
        let served = matches!(answer.status, Status::Completed | Status::Incomplete);
        let refused = answer.error.as_ref().is_some_and(|e| e.safe_to_repeat);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.rejected = refused;
        let used = request.used(served, refused);
        self.charge(id, used, out);
    }

    fn charge(&mut self, id: RequestId, used: Option<Used>, out: &mut Vec<Output>) {
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
            taken_us: request.created_at.0,
            used,
        }));
    }

    /// Nothing of the request is out any more: what is known by now is charged, and the rest of its hold is given back. What may have been
    /// used stays taken: the engine has worked for it.
    pub(crate) fn settle(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let used = request.used(false, request.rejected);
        self.charge(id, used, out);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let used = match request.charged.last {
            Some(Used::Known(amount) | Used::Possibly(amount)) => amount,
            None => Amount::default(),
        };
        if let Some(hold) = request.budget_hold.take() {
            self.book.settle(hold, used);
        }
    }

    /// Opens the accounts of the settings. Without a quota server each dispatcher spends an even part; of rates, among
    /// peers that know each other, what it is lent. Amounts a period stay even parts: what one that failed has used of its own is
    /// not known to the others.
    pub(crate) fn open_accounts(&mut self, now: Micros) {
        let share = 1.0 / self.quota_members() as f64;
        let classes = &self.settings.classes;
        let number = |name: &str| {
            classes
                .iter()
                .position(|c| c.name == name)
                .map(|i| i as u16)
        };
        for (i, tenant) in self.settings.tenants.iter().enumerate() {
            if let Some(budget) = &tenant.budget {
                self.book
                    .open(now.seconds(), i as u32, budget, share, number);
            }
        }
    }
}
