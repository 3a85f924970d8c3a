//! Parsing of client requests, and the state kept for each request while it is open.

use std::collections::BTreeMap;
use std::rc::Rc;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface as policy;
use bitternlatch_policy::interface::{RequestId, ServerId};
use bitternlatch_routing_settings::Names;

use crate::http1::RequestHead;
use crate::types::ConnId;

/// The only path that clients may request.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Longest request id, characters.
const MAX_ID_CHARS: usize = 64;
/// Longest accepted deadline, milliseconds (one hour).
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Characters per token, the ratio that the platform uses.
const CHARS_PER_TOKEN: f64 = 4.0;
/// Largest token count that a request may state.
const MAX_TOKENS: f64 = 1e7;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status of the response.
    pub status: u16,
    /// Text of the response body.
    pub reason: &'static str,
}

/// Rejection of a malformed request, with status 400.
fn bad_request(reason: &'static str) -> Rejection {
    Rejection {
        status: 400,
        reason,
    }
}

/// The information in a request's head.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// Client's id of the request, from `Req-Id`.
    pub id: String,
    /// Request for the decision module; its numeric id is assigned later.
    pub request: policy::Request,
}

/// Parses a request's head using the class and tenant names of the deployment.
///
/// # Errors
/// The rejection to send to the client: unknown path or method, or a header field that is missing or invalid.
pub fn parse_request(
    head: &RequestHead,
    body_bytes: usize,
    names: &Names,
) -> Result<ParsedRequest, Rejection> {
    if head.target.split('?').next() != Some(COMPLETIONS_PATH) {
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
    let id = parse_request_id(head)?;
    let kind = single_field(head, "req-kind")?.ok_or(bad_request("Req-Kind is missing"))?;
    let class = names
        .classes
        .iter()
        .position(|n| n == kind)
        .ok_or(bad_request("Req-Kind is not known"))?;
    let time_left_ms = parse_deadline_ms(head)?;
    let mut request = policy::Request {
        class: class as u16,
        tenant: parse_tenant(head, names)?,
        session: single_field(head, "req-key")?.map_or(0, parse_key),
        prompt_tokens: body_bytes as f64 / CHARS_PER_TOKEN,
        time_left_s: time_left_ms as f64 / 1e3,
        ..policy::Request::default()
    };
    parse_extra_fields(
        single_field(head, "req-extra")?.unwrap_or_default(),
        &mut request,
    )?;
    Ok(ParsedRequest {
        id: id.to_string(),
        request,
    })
}

fn parse_request_id(head: &RequestHead) -> Result<&str, Rejection> {
    let id = single_field(head, "req-id")?.ok_or(bad_request("Req-Id is missing"))?;
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    if id.is_empty() || id.len() > MAX_ID_CHARS || !id.bytes().all(is_plain) {
        return Err(bad_request("Req-Id cannot be used as an id"));
    }
    Ok(id)
}

fn parse_deadline_ms(head: &RequestHead) -> Result<u64, Rejection> {
    let text = single_field(head, "req-deadline-ms")?;
    let text = text.ok_or(bad_request("Req-Deadline-Ms is missing"))?;
    let deadline_ms = parse_digits(text).filter(|ms| *ms <= MAX_DEADLINE_MS);
    deadline_ms.ok_or(bad_request(
        "Req-Deadline-Ms is no number of milliseconds up to an hour",
    ))
}

/// Returns a header field that may occur only once. If it occurred twice, one side could use the first value and the
/// other the last.
fn single_field<'a>(
    head: &'a RequestHead,
    name: &'static str,
) -> Result<Option<&'a str>, Rejection> {
    let mut all = head.fields.all(name);
    let first = all.next();
    match all.next() {
        None => Ok(first),
        Some(_) => Err(bad_request("a field of the request stands twice")),
    }
}

fn parse_digits(text: &str) -> Option<u64> {
    Some(text)
        .filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()))
        .and_then(|t| t.parse().ok())
}

/// Parses a key: hexadecimal as the platform writes it, or a hash of any other text. An empty text gives 0.
fn parse_key(text: &str) -> u64 {
    match u64::from_str_radix(text, 16) {
        Ok(key) => key,
        Err(_) if text.is_empty() => 0,
        Err(_) => xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
    }
}

fn parse_tenant(head: &RequestHead, names: &Names) -> Result<u32, Rejection> {
    if names.tenants.is_empty() {
        return Ok(0);
    }
    let owner = single_field(head, "req-owner")?.ok_or(bad_request("Req-Owner is missing"))?;
    let index = names.tenants.iter().position(|n| n == owner);
    index
        .map(|i| i as u32)
        .ok_or(bad_request("Req-Owner is not known"))
}

fn parse_extra_fields(text: &str, request: &mut policy::Request) -> Result<(), Rejection> {
    let unreadable = bad_request("Req-Extra cannot be read");
    for pair in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or(unreadable)?;
        let tokens = || match value.trim().parse::<f64>() {
            Ok(n) if (0.0..=MAX_TOKENS).contains(&n) => Ok(n),
            _ => Err(unreadable),
        };
        match name.trim() {
            "prefix" => request.prefix = parse_key(value.trim()),
            "prompt_len" => request.prompt_tokens = tokens()?,
            "prefix_len" => request.prefix_tokens = tokens()?,
            "max_out" => request.max_output_tokens = tokens()?,
            _ => {}
        }
    }
    Ok(())
}

/// Header fields that are not forwarded: hop-by-hop fields and fields that the dispatcher writes itself.
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

/// A request as it is forwarded to model servers, except for the remaining time, which differs for each attempt.
#[derive(Debug)]
pub struct ForwardedRequest {
    head: String,
    body: Vec<u8>,
}

impl ForwardedRequest {
    /// Builds the forwarded request from a client's request, without the fields in `HOP_BY_HOP_FIELDS`.
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

    /// Length of the body, bytes.
    pub fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Complete request bytes; `time_left_ms` tells the server how long the dispatcher will wait.
    pub fn bytes(&self, time_left_ms: u64) -> Vec<u8> {
        let length = self.body.len();
        let mut out = Vec::with_capacity(self.head.len() + length + 80);
        out.extend_from_slice(self.head.as_bytes());
        let own_fields =
            format!("Req-Deadline-Ms: {time_left_ms}\r\nContent-Length: {length}\r\n\r\n");
        out.extend_from_slice(own_fields.as_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}

/// The attempt that is in flight for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightAttempt {
    /// Number of the attempt within the request.
    pub number: u16,
    /// Model server that the attempt was sent to.
    pub server: ServerId,
    /// Whether the server has the prefill role.
    pub is_prefill: bool,
    /// Connection that carries the attempt.
    pub conn: ConnId,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// When bytes of its response last arrived.
    pub last_byte_at: Option<Micros>,
}

/// What has come of a stream that is forwarded to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamProgress {
    /// When the last complete event was received from the server.
    pub last_event_at: Micros,
    /// When reading from the server was last resumed, after its client had read too slowly.
    pub resumed_at: Option<Micros>,
    /// Whether a timer is set that checks when the last event came.
    pub is_check_set: bool,
}

impl StreamProgress {
    /// Progress of a stream whose first event has just been received.
    pub fn new(now: Micros) -> StreamProgress {
        StreamProgress {
            last_event_at: now,
            resumed_at: None,
            is_check_set: false,
        }
    }

    /// Since when the next event is waited for. While reading from the server is paused, none can come.
    pub fn waiting_since(&self) -> Micros {
        self.resumed_at
            .map_or(self.last_event_at, |at| at.max(self.last_event_at))
    }
}

/// A request from its last received byte until it has been answered and no attempt is in flight.
#[derive(Debug)]
pub struct OpenRequest {
    /// Client's id of the request, from `Req-Id`.
    pub id: String,
    /// The client's connection; `None` once the request is answered or the client has disconnected.
    pub client: Option<ConnId>,
    /// Time by which the first token must be forwarded.
    pub deadline: Micros,
    /// The forwarded request; `None` once an attempt has begun streaming to the client, as nothing more is sent then.
    pub forwarded: Option<Rc<ForwardedRequest>>,
    /// Number of attempts made.
    pub attempts: u16,
    /// The attempt in flight, if any.
    pub in_flight: Option<InFlightAttempt>,
    /// When an attempt was last aborted by the dispatcher or a broken connection. The server may notice this a little
    /// later.
    pub aborted_at: Option<Micros>,
    /// Progress of the stream to the client; `None` before the first event.
    pub stream: Option<StreamProgress>,
    /// Whether the final response was sent, or the client has disconnected.
    pub answered: bool,
}

impl OpenRequest {
    /// Length of the prompt while it is kept for another attempt, bytes.
    fn prompt_bytes(&self) -> usize {
        let forwarded = self.forwarded.as_ref();
        forwarded.map_or(0, |request| request.body_bytes())
    }

    /// Whether an attempt has begun streaming to the client.
    pub fn is_streaming(&self) -> bool {
        self.stream.is_some()
    }

    /// Whether the request is answered and no attempt is in flight.
    fn is_complete(&self) -> bool {
        self.answered && self.in_flight.is_none()
    }
}

/// All open requests, by their numeric ids and by the clients' ids.
#[derive(Debug, Default)]
pub struct Requests {
    open: BTreeMap<RequestId, OpenRequest>,
    ids: BTreeMap<String, RequestId>,
    last_id: RequestId,
    /// Total length of the prompts that are kept, bytes.
    prompt_bytes: usize,
    /// Requests to check for completion.
    maybe_complete: Vec<RequestId>,
}

impl Requests {
    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Total length of the prompts that are kept for open requests, bytes.
    pub fn prompt_bytes(&self) -> usize {
        self.prompt_bytes
    }

    /// Whether a request with this client's id is open.
    pub fn contains_id(&self, id: &str) -> bool {
        self.ids.contains_key(id)
    }

    /// Adds a request under a new numeric id and returns that id.
    pub fn insert(&mut self, open: OpenRequest) -> RequestId {
        self.last_id = self.last_id.wrapping_add(1);
        while self.open.contains_key(&self.last_id) {
            self.last_id = self.last_id.wrapping_add(1);
        }
        self.prompt_bytes += open.prompt_bytes();
        self.ids.insert(open.id.clone(), self.last_id);
        self.open.insert(self.last_id, open);
        self.last_id
    }

    /// Looks up a request by its numeric id.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// Looks up a request by its numeric id for modification.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// Looks up the attempt in flight of a request for modification.
    pub(crate) fn in_flight_mut(&mut self, id: RequestId) -> Option<&mut InFlightAttempt> {
        self.open.get_mut(&id)?.in_flight.as_mut()
    }

    /// Frees the prompt of a request that needs no further attempt.
    pub fn drop_prompt(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let bytes = open.prompt_bytes();
        open.forwarded = None;
        self.prompt_bytes = self.prompt_bytes.saturating_sub(bytes);
    }

    /// Queues a request to be removed by [`Requests::remove_complete`] if it is answered and has no attempt in flight.
    pub fn mark_maybe_complete(&mut self, id: RequestId) {
        self.maybe_complete.push(id);
    }

    /// Removes the queued requests that are answered and have no attempt in flight.
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

    /// Iterates over all open requests in the order of their numeric ids.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &OpenRequest)> {
        self.open.iter().map(|(id, open)| (*id, open))
    }
}
