//! A client's request as the platform writes it, and what is held for it while it is open.

use std::collections::BTreeMap;
use std::rc::Rc;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface as policy;
use bitternlatch_policy::interface::{RequestId, ServerId};
use bitternlatch_routing_settings::Names;

use crate::http1::RequestHead;
use crate::types::ConnId;

/// The one path on which clients ask.
const PATH: &str = "/v1/chat/completions";
/// Longest id of a request, characters.
const MAX_ID: usize = 64;
/// Longest deadline that is believed, milliseconds: an hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Characters of a token, as the platform counts.
const TOKEN_CHARS: f64 = 4.0;
/// Most tokens that a length may name.
const MAX_TOKENS: f64 = 1e7;

/// Why a request cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status of the response.
    pub status: u16,
    /// Text of the response.
    pub reason: &'static str,
}

/// A rejection of a request that is not well formed.
fn bad_request(reason: &'static str) -> Rejection {
    Rejection {
        status: 400,
        reason,
    }
}

/// What a request's head says of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// `Req-Id`.
    pub id: String,
    /// For the module; its id is given later.
    pub request: policy::Request,
}

/// Reads a request's head against the deployment's names.
///
/// # Errors
/// What a client is told: the path or method is not served, or a field is missing or cannot be read.
pub fn parse_request(
    head: &RequestHead,
    body_bytes: usize,
    names: &Names,
) -> Result<ParsedRequest, Rejection> {
    if head.target.split('?').next() != Some(PATH) {
        return Err(Rejection {
            status: 404,
            reason: "no such path",
        });
    }
    if head.method != "POST" {
        return Err(Rejection {
            status: 405,
            reason: "ask with POST",
        });
    }
    let id = request_id(head)?;
    let kind = one(head, "req-kind")?.ok_or(bad_request("Req-Kind is missing"))?;
    let class = names
        .classes
        .iter()
        .position(|n| n == kind)
        .ok_or(bad_request("Req-Kind is not known"))?;
    let left_ms = deadline_ms(head)?;
    let mut request = policy::Request {
        class: class as u16,
        tenant: tenant(head, names)?,
        session: one(head, "req-key")?.map_or(0, key),
        prompt_tokens: body_bytes as f64 / TOKEN_CHARS,
        time_left_s: left_ms as f64 / 1e3,
        ..policy::Request::default()
    };
    read_extras(one(head, "req-extra")?.unwrap_or_default(), &mut request)?;
    Ok(ParsedRequest {
        id: id.to_string(),
        request,
    })
}

fn request_id(head: &RequestHead) -> Result<&str, Rejection> {
    let id = one(head, "req-id")?.ok_or(bad_request("Req-Id is missing"))?;
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    if id.is_empty() || id.len() > MAX_ID || !id.bytes().all(is_plain) {
        return Err(bad_request("Req-Id cannot be used as an id"));
    }
    Ok(id)
}

fn deadline_ms(head: &RequestHead) -> Result<u64, Rejection> {
    let text = one(head, "req-deadline-ms")?;
    let text = text.ok_or(bad_request("Req-Deadline-Ms is missing"))?;
    let deadline_ms = whole_number(text).filter(|ms| *ms <= MAX_DEADLINE_MS);
    deadline_ms.ok_or(bad_request(
        "Req-Deadline-Ms is no number of milliseconds up to an hour",
    ))
}

/// A field that may stand once: of two, one side may believe the first and another the last.
fn one<'a>(head: &'a RequestHead, name: &'static str) -> Result<Option<&'a str>, Rejection> {
    let mut all = head.fields.all(name);
    let first = all.next();
    match all.next() {
        None => Ok(first),
        Some(_) => Err(bad_request("a field of the request stands twice")),
    }
}

fn whole_number(text: &str) -> Option<u64> {
    Some(text)
        .filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()))
        .and_then(|t| t.parse().ok())
}

/// A key: hexadecimal as the platform writes it; any other word stands for itself too.
fn key(text: &str) -> u64 {
    match u64::from_str_radix(text, 16) {
        Ok(key) => key,
        Err(_) if text.is_empty() => 0,
        Err(_) => xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
    }
}

fn tenant(head: &RequestHead, names: &Names) -> Result<u32, Rejection> {
    if names.tenants.is_empty() {
        return Ok(0);
    }
    let owner = one(head, "req-owner")?.ok_or(bad_request("Req-Owner is missing"))?;
    let at = names.tenants.iter().position(|n| n == owner);
    at.map(|i| i as u32)
        .ok_or(bad_request("Req-Owner is not known"))
}

fn read_extras(text: &str, request: &mut policy::Request) -> Result<(), Rejection> {
    let unread = bad_request("Req-Extra cannot be read");
    for pair in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or(unread)?;
        let tokens = || match value.trim().parse::<f64>() {
            Ok(n) if (0.0..=MAX_TOKENS).contains(&n) => Ok(n),
            _ => Err(unread),
        };
        match name.trim() {
            "prefix" => request.prefix = key(value.trim()),
            "prompt_len" => request.prompt_tokens = tokens()?,
            "prefix_len" => request.prefix_tokens = tokens()?,
            "max_out" => request.max_output_tokens = tokens()?,
            _ => {}
        }
    }
    Ok(())
}

/// Fields between two neighbours, and those that the dispatcher writes itself.
const HOP_BY_HOP_FIELDS: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "req-id",
    "req-deadline-ms",
];

/// What is passed on to model servers but for the time that is left, which each attempt says anew.
#[derive(Debug)]
pub struct ForwardedRequest {
    head: String,
    body: Vec<u8>,
}

impl ForwardedRequest {
    /// The request of a client as it is forwarded, without the fields that end at the dispatcher.
    pub fn new(head: &RequestHead, id: &str, body: Vec<u8>) -> ForwardedRequest {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nReq-Id: {id}\r\n",
            head.method, head.target
        );
        for (name, value) in head
            .fields
            .iter()
            .filter(|f| !HOP_BY_HOP_FIELDS.contains(&f.0))
        {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        ForwardedRequest { head: text, body }
    }

    /// Bytes of its body.
    pub fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// The complete request, saying how long the dispatcher will wait.
    pub fn bytes(&self, left_ms: u64) -> Vec<u8> {
        let length = self.body.len();
        let mut out = Vec::with_capacity(self.head.len() + length + 80);
        out.extend_from_slice(self.head.as_bytes());
        let own = format!("Req-Deadline-Ms: {left_ms}\r\nContent-Length: {length}\r\n\r\n");
        out.extend_from_slice(own.as_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}

/// The attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightAttempt {
    /// Number of the attempt within the request.
    pub number: u16,
    /// The model server.
    pub server: ServerId,
    /// Whether the server has the prefill role.
    pub is_prefill: bool,
    /// Connection that carries it.
    pub conn: ConnId,
    /// When it was sent.
    pub sent_at: Micros,
}

/// One request, from its last byte until its answer is given and nothing is out for it.
#[derive(Debug)]
pub struct OpenRequest {
    /// `Req-Id`.
    pub id: String,
    /// None once the client has its answer or has gone.
    pub client: Option<ConnId>,
    /// Time by which the first token has to be passed on.
    pub deadline: Micros,
    /// None once an attempt is the client's: nothing more is sent then.
    pub forwarded: Option<Rc<ForwardedRequest>>,
    /// Attempts made.
    pub attempts: u16,
    /// The attempt in flight.
    pub in_flight: Option<InFlightAttempt>,
    /// When an attempt ended without its server's word: the server may see that a little later.
    pub aborted_at: Option<Micros>,
    /// The client's, since this event came last.
    pub last_event_at: Option<Micros>,
    /// The final answer is given.
    pub answered: bool,
}

impl OpenRequest {
    /// Bytes of its prompt, while it may still be sent.
    fn prompt_bytes(&self) -> usize {
        let forwarded = self.forwarded.as_ref();
        forwarded.map_or(0, |request| request.body_bytes())
    }

    /// It has its answer, and nothing is in flight.
    fn is_complete(&self) -> bool {
        self.answered && self.in_flight.is_none()
    }
}

/// The requests that are open, by the module's ids and by their own.
#[derive(Debug, Default)]
pub struct Requests {
    open: BTreeMap<RequestId, OpenRequest>,
    ids: BTreeMap<String, RequestId>,
    last: RequestId,
    /// Bytes of their prompts.
    prompt_bytes: usize,
    /// Requests that may be complete.
    maybe_complete: Vec<RequestId>,
}

impl Requests {
    /// How many are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Bytes of the prompts in hand.
    pub fn prompt_bytes(&self) -> usize {
        self.prompt_bytes
    }

    /// Whether a request of this id of a client's is open.
    pub fn contains_id(&self, id: &str) -> bool {
        self.ids.contains_key(id)
    }

    /// Takes one in under a new id of the module's.
    pub fn insert(&mut self, open: OpenRequest) -> RequestId {
        self.last = self.last.wrapping_add(1);
        while self.open.contains_key(&self.last) {
            self.last = self.last.wrapping_add(1);
        }
        self.prompt_bytes += open.prompt_bytes();
        self.ids.insert(open.id.clone(), self.last);
        self.open.insert(self.last, open);
        self.last
    }

    /// The request of the module's id.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// Drops the prompt of a request that is sent no further.
    pub fn drop_prompt(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let bytes = open.prompt_bytes();
        open.forwarded = None;
        self.prompt_bytes = self.prompt_bytes.saturating_sub(bytes);
    }

    /// A request that has had its answer, or the end of an attempt.
    pub fn mark_maybe_complete(&mut self, id: RequestId) {
        self.maybe_complete.push(id);
    }

    /// Removes requests that have their answer and nothing in flight.
    pub fn remove_complete(&mut self) {
        for id in std::mem::take(&mut self.maybe_complete) {
            if self.get(id).is_some_and(OpenRequest::is_complete) {
                self.remove(id);
            }
        }
    }

    fn remove(&mut self, id: RequestId) {
        if let Some(open) = self.open.remove(&id) {
            self.ids.remove(&open.id);
            self.prompt_bytes = self.prompt_bytes.saturating_sub(open.prompt_bytes());
        }
    }

    /// All that are open, by the module's ids.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &OpenRequest)> {
        self.open.iter().map(|(id, open)| (*id, open))
    }
}
