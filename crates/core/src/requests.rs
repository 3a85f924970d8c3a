//! The request table: one entry a request that this dispatcher has taken, until nothing of it is out.

use std::borrow::Cow;
use std::collections::BTreeMap;

use bitternlatch_budget::book::Hold;
use bitternlatch_output_length::Expected;
use bitternlatch_policy::interface::{RequestId, ServerId};
use bitternlatch_protocol::client::{Response, Usage};
use bitternlatch_protocol::engine::{EngineUsage, KvTransferParams};

use crate::budgets::RequestCharges;
use crate::idempotency::Key;
use crate::load_shedding::AdmittedWork;
use crate::types::{LinkId, Micros, SessionId};

/// Sessions that may listen to one request; a further one is told to come back.
pub(crate) const MAX_LISTENERS: usize = 8;

/// What an attempt asks of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Read the prompt and keep the state.
    Prefill,
    /// Fetch the state and write.
    Decode,
    /// Do both.
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// In the link's queue: it has not left.
    Queued,
    /// Told to the server: it may run.
    InFlight,
    /// Its first token has come.
    Streaming,
}

/// The attempt that is out; there is never more than one.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub number: u16,
    pub server: ServerId,
    pub link: LinkId,
    pub purpose: Purpose,
    pub stage: Stage,
    pub sent: Micros,
    pub heard: Micros,
    /// What the chunks so far say of the end.
    pub finish_reason: Option<String>,
    pub usage: Option<EngineUsage>,
    /// Where the state waits, as a reader said.
    pub state: Option<KvTransferParams>,
}

/// A KV cache that waits at a reader for this request.
#[derive(Clone, Debug)]
pub(crate) struct HeldKvCache {
    pub server: ServerId,
    /// Wire id of the attempt that made it.
    pub created_by: String,
    pub params: KvTransferParams,
    /// It is released once the attempt that waits for it ends without it.
    pub release: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Listener {
    pub session: SessionId,
    /// Sequence number of its next event.
    pub sequence: u64,
    /// What its own request carried, where that was a repeat of the first; echoed to it.
    pub metadata: Option<BTreeMap<String, String>>,
}

impl Listener {
    /// The session that sent the request.
    pub(crate) fn new(session: SessionId) -> Listener {
        Listener {
            session,
            sequence: 0,
            metadata: None,
        }
    }

    /// The response as this listener is to see it.
    pub(crate) fn view<'a>(&self, response: &'a Response) -> Cow<'a, Response> {
        match &self.metadata {
            None => Cow::Borrowed(response),
            Some(own) => Cow::Owned(Response {
                metadata: own.clone(),
                ..response.clone()
            }),
        }
    }
}

#[derive(Debug)]
pub(crate) struct Request {
    /// The response object without text, as it is in progress.
    pub response: Response,
    pub item_id: String,
    pub class: u16,
    pub tenant: u32,
    /// Whose it is, as for [`Key`].
    pub owner: String,
    pub key: Option<Key>,
    /// A step of a workflow: its key holds for the step, whose workflow remembers its answer.
    pub step: bool,
    pub conversation: u64,
    pub prompt: String,
    pub max_tokens: u32,
    /// Of its answer's length, as known when it came.
    pub expected: Option<Expected>,
    pub temperature: Option<f64>,
    pub top_p: Option<f64>,
    pub deadline: Micros,
    pub listeners: Vec<Listener>,
    pub text: String,
    pub usage: Usage,
    pub attempts: u16,
    pub attempt: Option<Attempt>,
    pub state: Option<HeldKvCache>,
    /// What the fleet's shedding counts of it.
    pub admitted: AdmittedWork,
    /// An attempt that could have had the effect was told to a server and not rejected.
    pub may_have_run: bool,
    /// When it was taken.
    pub taken: Micros,
    /// What it holds of its tenant's budget, until it is settled.
    pub hold: Option<Hold>,
    pub charged: RequestCharges,
    /// Its final answer was a refusal.
    pub refused: bool,
    /// The final answer is given; what is left is to hear the attempt's end.
    pub answered: bool,
}

impl Request {
    pub(crate) fn streaming(&self) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|a| a.stage == Stage::Streaming)
    }
}

/// Ids that engines see: the instance, the request and the attempt's number.
pub(crate) fn wire_id(instance: u64, request: RequestId, attempt: u16) -> String {
    format!("{instance:016x}{request:08x}-{attempt}")
}

/// Reads an id made by [`wire_id`] of the same instance.
pub(crate) fn read_wire_id(instance: u64, id: &str) -> Option<(RequestId, u16)> {
    let (whole, attempt) = id.split_once('-')?;
    let (head, tail) = (whole.get(..16)?, whole.get(16..)?);
    if u64::from_str_radix(head, 16).ok()? != instance || tail.len() != 8 {
        return None;
    }
    Some((u32::from_str_radix(tail, 16).ok()?, attempt.parse().ok()?))
}

/// Requests by id, in order of arrival.
pub(crate) type Requests = BTreeMap<RequestId, Request>;

#[cfg(test)]
mod tests;
