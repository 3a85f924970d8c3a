//! The request table: one entry for each request of this dispatcher, from its start until it is answered, its last
//! attempt has ended and no server holds a KV cache for it.

use std::borrow::Cow;
use std::collections::BTreeMap;

use bitternlatch_budget::book::Reservation;
use bitternlatch_output_length::LengthEstimate;
use bitternlatch_policy::interface::{RequestId, ServerId};
use bitternlatch_protocol::client::{Response, Usage};
use bitternlatch_protocol::engine::{EngineUsage, KvTransferParams};

use crate::budgets::RequestCharges;
use crate::idempotency::Key;
use crate::load_shedding::AdmittedWork;
use crate::types::{LinkId, Micros, SessionId};

/// Maximum number of sessions that may receive the events of one request; a further session gets a `too_many_requests`
/// error.
pub(crate) const MAX_LISTENERS: usize = 8;

/// The work that an attempt requests from its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Compute the prompt's KV cache and hold it for a decode server.
    Prefill,
    /// Fetch the KV cache from the prefill server and generate the output.
    Decode,
    /// Prefill and decode on one server, without a KV transfer.
    Full,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The attempt's message waits in the link's queue: the server cannot have run it.
    Queued,
    /// The attempt was sent to its server, which may be running it; no output token has arrived.
    InFlight,
    /// The attempt's first output token has arrived.
    Streaming,
}

/// The current attempt of a request; a request never has more than one.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub number: u16,
    pub server: ServerId,
    pub link: LinkId,
    pub purpose: Purpose,
    pub stage: Stage,
    /// When the attempt's message was given to the link, which may have queued it before sending.
    pub started_at: Micros,
    /// When the last message about this attempt was received from its server; before the first one, when the attempt
    /// was sent.
    pub last_received_at: Micros,
    /// The engine's finish reason, once a chunk has contained one, for example `stop` or `length`.
    pub finish_reason: Option<String>,
    /// The engine's token counts, once a chunk has contained them.
    pub usage: Option<EngineUsage>,
    /// Where a decode server can fetch the KV cache, as reported by the prefill server.
    pub kv_transfer_params: Option<KvTransferParams>,
}

/// A KV cache that a prefill server holds for a request until a decode server fetches it or it is released.
#[derive(Clone, Debug)]
pub(crate) struct HeldKvCache {
    pub server: ServerId,
    /// Wire id of the prefill attempt that computed the KV cache.
    pub created_by: String,
    pub params: KvTransferParams,
    /// Whether the decision module asked to release this KV cache while an attempt was in flight. If so, the KV cache
    /// is released when that attempt ends, unless the attempt has fetched it.
    pub release_after_attempt: bool,
}

/// A session that receives a request's events.
#[derive(Clone, Debug)]
pub(crate) struct Listener {
    pub session: SessionId,
    /// Sequence number of the next event sent to this session, from 0.
    pub sequence: u64,
    /// Metadata of this session's own message, echoed to it; `None` for the session that started the request, whose
    /// metadata the response object already has.
    pub metadata: Option<BTreeMap<String, String>>,
}

impl Listener {
    /// A listener for the session that started the request.
    pub(crate) fn new(session: SessionId) -> Listener {
        Listener {
            session,
            sequence: 0,
            metadata: None,
        }
    }

    /// The response with the metadata of this listener's own message.
    pub(crate) fn view<'a>(&self, response: &'a Response) -> Cow<'a, Response> {
        match &self.metadata {
            None => Cow::Borrowed(response),
            Some(metadata) => Cow::Owned(Response {
                metadata: metadata.clone(),
                ..response.clone()
            }),
        }
    }
}

/// A request in the request table, with its listeners, its output so far and its current attempt.
#[derive(Debug)]
pub(crate) struct Request {
    /// The response object with status `in_progress` and without text.
    pub response: Response,
    /// Id of the response's output item in events.
    pub item_id: String,
    pub class: u16,
    pub tenant: u32,
    /// Who may use the request's idempotency key and conversation, as for [`Key`].
    pub owner: String,
    pub key: Option<Key>,
    /// Whether the request is a step of a workflow. A step's key and answer are stored with the workflow and not in the
    /// table of idempotency keys.
    pub is_workflow_step: bool,
    /// Key of the request's conversation, the same for all turns.
    pub conversation: u64,
    pub prompt: String,
    /// Limit on the output tokens of the request.
    pub max_tokens: u32,
    /// Expected output length as estimated when the request started; `None` without an estimate.
    pub expected_output: Option<LengthEstimate>,
    pub temperature: Option<f64>,
    pub top_p: Option<f64>,
    /// When the final answer is due, unless output is streaming by then.
    pub deadline: Micros,
    pub listeners: Vec<Listener>,
    /// The output text received so far.
    pub text: String,
    pub usage: Usage,
    /// Number of attempts so far, including those that were not sent; also the number of the next attempt.
    pub attempt_count: u16,
    pub attempt: Option<Attempt>,
    pub held_kv_cache: Option<HeldKvCache>,
    /// The request's work as counted by the cluster's load shedding.
    pub admitted_work: AdmittedWork,
    /// Whether an ended attempt may have run and had the request's effect: it was sent to a server, was no prefill and
    /// was not rejected.
    pub earlier_attempt_may_have_run: bool,
    /// When the request started; billing records it.
    pub created_at: Micros,
    /// Tokens reserved from the tenant's budget until the final charge is known.
    pub budget_hold: Option<Reservation>,
    /// What the tenant has been charged for the request so far.
    pub charged: RequestCharges,
    /// Whether the request's final answer was a rejection that is safe to repeat, for which nothing is charged.
    pub rejected: bool,
    /// Whether the request's final answer is settled. The entry stays until the current attempt has ended and the KV
    /// cache is released.
    pub answered: bool,
}

impl Request {
    /// Whether the request's current attempt has delivered output.
    pub(crate) fn is_streaming(&self) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|a| a.stage == Stage::Streaming)
    }
}

/// The id of an attempt in messages to and from engines: the number of this run of the dispatcher, the request's id and
/// the attempt's number.
pub(crate) fn wire_id(instance: u64, request: RequestId, attempt: u16) -> String {
    format!("{instance:016x}{request:08x}-{attempt}")
}

/// Parses an id that [`wire_id`] made in this run of the dispatcher; `None` for any other text.
pub(crate) fn parse_wire_id(instance: u64, id: &str) -> Option<(RequestId, u16)> {
    let (prefix, attempt) = id.split_once('-')?;
    let (instance_hex, request_hex) = (prefix.get(..16)?, prefix.get(16..)?);
    if u64::from_str_radix(instance_hex, 16).ok()? != instance || request_hex.len() != 8 {
        return None;
    }
    Some((
        u32::from_str_radix(request_hex, 16).ok()?,
        attempt.parse().ok()?,
    ))
}

/// The request table: requests by id, which is their order of arrival.
pub(crate) type Requests = BTreeMap<RequestId, Request>;

#[cfg(test)]
mod tests;
