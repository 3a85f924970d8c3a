//! Client events: parses the messages that clients send and serializes the events that they receive.

use std::collections::BTreeMap;

use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};

/// Maximum number of pairs in `metadata`, as in the published API.
pub const MAX_METADATA_PAIRS: usize = 16;
/// Longest key in `metadata`, in characters, as in the published API.
pub const MAX_METADATA_KEY_CHARS: usize = 64;
/// Longest value in `metadata`, in characters, as in the published API.
pub const MAX_METADATA_VALUE_CHARS: usize = 512;
/// Longest `prompt_cache_key` and `model`, in characters.
pub const MAX_NAME_CHARS: usize = 256;

// Keys of `metadata` that the dispatcher reads. All pairs of `metadata` are echoed in the response.

/// `metadata` key of the request class.
pub const META_CLASS: &str = "class";
/// `metadata` key of the tenant.
pub const META_TENANT: &str = "tenant";
/// `metadata` key of the idempotency key.
pub const META_IDEMPOTENCY_KEY: &str = "idempotency_key";
/// `metadata` key of the request's deadline, milliseconds.
pub const META_DEADLINE_MS: &str = "deadline_ms";

/// A parsed and validated message of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    Create(Box<Create>),
    Cancel { response_id: String },
}

/// The fields of a `response.create` event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Create {
    pub model: String,
    pub instructions: String,
    /// The new input as one text. A list of messages becomes one line per message, `role: text`.
    pub input: String,
    pub previous_response_id: Option<String>,
    pub max_output_tokens: Option<u32>,
    pub prompt_cache_key: Option<String>,
    pub metadata: BTreeMap<String, String>,
    pub temperature: Option<f64>,
    pub top_p: Option<f64>,
}

/// Why a client's message was rejected. It is sent to the client as an `error` event; the session stays open.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct BadRequest {
    pub status: u16,
    pub code: &'static str,
    pub message: String,
    /// The invalid field, if the error concerns one field.
    pub param: Option<String>,
}

impl BadRequest {
    /// An error for an invalid value in one field (status 400).
    pub fn field(param: &str, message: impl Into<String>) -> Self {
        let (message, param) = (message.into(), Some(param.to_string()));
        BadRequest {
            status: 400,
            code: "invalid_value",
            message,
            param,
        }
    }

    /// An error for text that is not a JSON object of the expected form (status 400).
    fn json(message: String) -> Self {
        BadRequest {
            status: 400,
            code: "invalid_json",
            message,
            param: None,
        }
    }
}

#[derive(Deserialize)]
struct RawEvent {
    #[serde(rename = "type")]
    kind: String,
}

#[derive(Deserialize)]
struct RawCreate {
    model: Option<String>,
    instructions: Option<String>,
    input: Option<RawInput>,
    previous_response_id: Option<String>,
    max_output_tokens: Option<u64>,
    prompt_cache_key: Option<String>,
    #[serde(default)]
    metadata: Option<BTreeMap<String, String>>,
    temperature: Option<f64>,
    top_p: Option<f64>,
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "a text or a list of messages is expected")]
enum RawInput {
    Text(String),
    Items(Vec<RawItem>),
}

#[derive(Deserialize)]
struct RawItem {
    #[serde(rename = "type", default)]
    kind: Option<String>,
    role: Option<String>,
    content: Option<RawContent>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawContent {
    Text(String),
    Parts(Vec<RawPart>),
}

#[derive(Deserialize)]
struct RawPart {
    #[serde(rename = "type")]
    kind: String,
    text: Option<String>,
}

#[derive(Deserialize)]
struct RawCancel {
    response_id: Option<String>,
}

/// Parses one text message of a client.
///
/// # Errors
/// A [`BadRequest`] that names the first invalid field, or the line and column of a JSON syntax error.
pub fn parse(text: &str) -> Result<ClientEvent, BadRequest> {
    // Rejects arrays: serde would accept one as the values of the struct's fields in order.
    if !text.trim_start().starts_with('{') {
        return Err(BadRequest::json(
            "the message is not an event: a JSON object is expected".to_string(),
        ));
    }
    let event: RawEvent = deserialize(text)?;
    match event.kind.as_str() {
        "response.create" => deserialize(text).and_then(validate_create),
        "response.cancel" => {
            let raw: RawCancel = deserialize(text)?;
            let missing = || BadRequest::field("response_id", "response.cancel needs response_id");
            raw.response_id
                .map(|response_id| ClientEvent::Cancel { response_id })
                .ok_or_else(missing)
        }
        other => {
            let shown: String = other.chars().take(40).collect();
            Err(BadRequest::field(
                "type",
                format!("unknown event type '{shown}'; response.create is expected"),
            ))
        }
    }
}

/// Serializes a `rate_limits.updated` event for a token limit, in the format of the published Realtime API. `reset_s` is the
/// time until the limit is fully available again, seconds; an infinite value is sent as null.
pub fn rate_limits(limit: u64, remaining: u64, reset_s: f64) -> String {
    let reset = if reset_s.is_finite() {
        serde_json::json!(reset_s)
    } else {
        serde_json::Value::Null
    };
    let one = serde_json::json!({ "name": "tokens", "limit": limit, "remaining": remaining, "reset_seconds": reset });
    serde_json::json!({ "type": "rate_limits.updated", "rate_limits": [one] }).to_string()
}

/// Deserializes an event. The error names the position of a JSON syntax error or the invalid field.
fn deserialize<T: DeserializeOwned>(text: &str) -> Result<T, BadRequest> {
    serde_json::from_str(text).map_err(|_| deserialize_error::<T>(text))
}

/// Finds the error in a text that does not deserialize as `T`.
fn deserialize_error<T: DeserializeOwned>(text: &str) -> BadRequest {
    if let Err(e) = serde_json::from_str::<IgnoredAny>(text) {
        return BadRequest::json(format!("the message is not JSON: {e}"));
    }
    match serde_path_to_error::deserialize::<_, T>(&mut serde_json::Deserializer::from_str(text)) {
        Ok(_) => BadRequest::json("the message is not one event".to_string()),
        Err(e) => {
            let path = e.path().to_string();
            let full_message = e.into_inner().to_string();
            // Removes the position in the text: the client no longer has the text, and the field name is more useful.
            let message = full_message.split(" at line ").next().unwrap_or_default();
            // `serde` names a missing field only in the text of the error, not in its path.
            let missing = message
                .strip_prefix("missing field `")
                .and_then(|w| w.strip_suffix('`'));
            match missing {
                Some(field) => BadRequest::field(field, "is missing"),
                None => BadRequest::field(if path == "." { "input" } else { &path }, message),
            }
        }
    }
}

/// Validates the fields of a `response.create` event.
fn validate_create(raw: RawCreate) -> Result<ClientEvent, BadRequest> {
    let model = raw
        .model
        .filter(|m| !m.is_empty())
        .ok_or_else(|| BadRequest::field("model", "is missing"))?;
    check_name_length("model", &model)?;
    if let Some(key) = &raw.prompt_cache_key {
        check_name_length("prompt_cache_key", key)?;
    }
    let input = input_text(
        raw.input
            .ok_or_else(|| BadRequest::field("input", "is missing"))?,
    )?;
    if input.is_empty() {
        return Err(BadRequest::field("input", "is empty"));
    }
    let max_output_tokens = match raw.max_output_tokens {
        None => None,
        Some(n) => match u32::try_from(n) {
            Ok(n) if n > 0 => Some(n),
            _ => {
                return Err(BadRequest::field(
                    "max_output_tokens",
                    "must lie between 1 and 4294967295",
                ))
            }
        },
    };
    Ok(ClientEvent::Create(Box::new(Create {
        model,
        instructions: raw.instructions.unwrap_or_default(),
        input,
        previous_response_id: raw.previous_response_id,
        max_output_tokens,
        prompt_cache_key: raw.prompt_cache_key,
        metadata: validate_metadata(raw.metadata.unwrap_or_default())?,
        temperature: raw.temperature,
        top_p: raw.top_p,
    })))
}

/// Rejects a value that is longer than [`MAX_NAME_CHARS`].
fn check_name_length(param: &str, value: &str) -> Result<(), BadRequest> {
    if value.chars().count() > MAX_NAME_CHARS {
        return Err(BadRequest::field(
            param,
            format!("is longer than {MAX_NAME_CHARS} characters"),
        ));
    }
    Ok(())
}

/// Checks the number of `metadata` pairs and the lengths of their keys and values.
fn validate_metadata(
    pairs: BTreeMap<String, String>,
) -> Result<BTreeMap<String, String>, BadRequest> {
    if pairs.len() > MAX_METADATA_PAIRS {
        return Err(BadRequest::field(
            "metadata",
            format!("has more than {MAX_METADATA_PAIRS} pairs"),
        ));
    }
    for (key, value) in &pairs {
        if key.chars().count() > MAX_METADATA_KEY_CHARS
            || value.chars().count() > MAX_METADATA_VALUE_CHARS
        {
            let limits =
                format!("{MAX_METADATA_KEY_CHARS} or {MAX_METADATA_VALUE_CHARS} characters");
            return Err(BadRequest::field(
                "metadata",
                format!("has a key or value longer than {limits}"),
            ));
        }
    }
    Ok(pairs)
}

/// Joins the text of all input items, one line per message.
fn input_text(input: RawInput) -> Result<String, BadRequest> {
    let items = match input {
        RawInput::Text(text) => return Ok(text),
        RawInput::Items(items) => items,
    };
    let mut lines = Vec::with_capacity(items.len());
    for (i, item) in items.into_iter().enumerate() {
        let field = |name: &str| format!("input[{i}].{name}");
        if item.kind.as_deref().is_some_and(|k| k != "message") {
            return Err(BadRequest::field(
                &field("type"),
                "only items of type message are served here",
            ));
        }
        let text = match item.content {
            Some(RawContent::Text(text)) => text,
            Some(RawContent::Parts(parts)) => parts_text(&field("content"), parts)?,
            None => return Err(BadRequest::field(&field("content"), "is missing")),
        };
        lines.push(format!(
            "{}: {text}",
            item.role.as_deref().unwrap_or("user")
        ));
    }
    Ok(lines.join("\n"))
}

/// Joins the text parts of one message. `field` names the message's content in an error.
fn parts_text(field: &str, parts: Vec<RawPart>) -> Result<String, BadRequest> {
    let mut text = String::new();
    for part in parts {
        match (part.kind.as_str(), part.text) {
            ("input_text" | "output_text" | "text", Some(t)) => text.push_str(&t),
            _ => return Err(BadRequest::field(field, "only text parts are served here")),
        }
    }
    Ok(text)
}

/// The state of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    InProgress,
    Completed,
    Incomplete,
    Failed,
}

/// Token counts reported by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    pub input_tokens: u32,
    pub input_tokens_details: InputDetails,
    pub output_tokens: u32,
    pub total_tokens: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InputDetails {
    pub cached_tokens: u32,
}

/// The `error` field of a response. `safe_to_repeat` and `retry_after_ms` are extensions of the published format: a rejected
/// request has `safe_to_repeat: true` and the time after which it may be repeated; a failed one has `safe_to_repeat: false`,
/// which says nothing about whether it ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResponseError {
    pub code: String,
    pub message: String,
    pub safe_to_repeat: bool,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IncompleteDetails {
    pub reason: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutputText {
    #[serde(rename = "type")]
    pub kind: String,
    pub text: String,
    pub annotations: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutputItem {
    pub id: String,
    #[serde(rename = "type")]
    pub kind: String,
    pub role: String,
    pub status: Status,
    pub content: Vec<OutputText>,
}

/// The response object, with the fields of the published format that the dispatcher supports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    pub id: String,
    pub object: String,
    /// Unix time, seconds.
    pub created_at: u64,
    pub status: Status,
    pub model: String,
    pub previous_response_id: Option<String>,
    pub max_output_tokens: Option<u32>,
    pub metadata: BTreeMap<String, String>,
    pub output: Vec<OutputItem>,
    pub usage: Option<Usage>,
    pub error: Option<ResponseError>,
    pub incomplete_details: Option<IncompleteDetails>,
}

impl Response {
    /// Sets the output to one message with this text.
    pub fn with_text(mut self, text: &str) -> Self {
        let part = OutputText {
            kind: "output_text".into(),
            text: text.to_string(),
            annotations: vec![],
        };
        self.output = vec![OutputItem {
            id: item_id(&self.id),
            kind: "message".into(),
            role: "assistant".into(),
            status: self.status,
            content: vec![part],
        }];
        self
    }
}

/// Returns the id of a response's only output item.
pub fn item_id(response_id: &str) -> String {
    format!(
        "msg_{}",
        response_id.strip_prefix("resp_").unwrap_or(response_id)
    )
}

#[derive(Serialize)]
struct ResponseEvent<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    sequence_number: u64,
    response: &'a Response,
}

#[derive(Serialize)]
struct DeltaEvent<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    sequence_number: u64,
    response_id: &'a str,
    item_id: &'a str,
    output_index: u32,
    content_index: u32,
    delta: &'a str,
}

#[derive(Serialize)]
struct ErrorEvent<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    status: u16,
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
    message: &'a str,
    param: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    metadata: Option<&'a BTreeMap<String, String>>,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    elsewhere: &'a [String],
}

fn to_json(value: &impl Serialize) -> String {
    // Serialization cannot fail: the event types contain only strings, numbers and maps with string keys.
    serde_json::to_string(value).unwrap_or_default()
}

/// Serializes a `response.created` event.
pub fn created(sequence: u64, response: &Response) -> String {
    to_json(&ResponseEvent {
        kind: "response.created",
        sequence_number: sequence,
        response,
    })
}

/// Serializes the final event of a response; the event type depends on the response's status.
pub fn finished(sequence: u64, response: &Response) -> String {
    let kind = match response.status {
        Status::Completed => "response.completed",
        Status::Incomplete => "response.incomplete",
        Status::Failed | Status::InProgress => "response.failed",
    };
    to_json(&ResponseEvent {
        kind,
        sequence_number: sequence,
        response,
    })
}

/// Serializes a `response.output_text.delta` event. Its `response_id` is an extension of the published format, which allows
/// concurrent responses in one session.
pub fn delta(sequence: u64, response_id: &str, item_id: &str, delta: &str) -> String {
    to_json(&DeltaEvent {
        kind: "response.output_text.delta",
        sequence_number: sequence,
        response_id,
        item_id,
        output_index: 0,
        content_index: 0,
        delta,
    })
}

/// Serializes an `error` event. Its `metadata`, an extension of the published format, echoes that of the rejected request if it
/// was parsed, so that a client with several requests in progress can tell which one the error belongs to.
pub fn error(
    bad: &BadRequest,
    retry_after_ms: Option<u64>,
    meta: Option<&BTreeMap<String, String>>,
) -> String {
    error_elsewhere(bad, retry_after_ms, meta, &[])
}

/// Serializes an `error` event like [`error`], with the addresses of other dispatchers that the client may try. Their field
/// `elsewhere` is an extension of the published format.
pub fn error_elsewhere(
    bad: &BadRequest,
    retry_after_ms: Option<u64>,
    meta: Option<&BTreeMap<String, String>>,
    elsewhere: &[String],
) -> String {
    let kind = if bad.status == 429 || bad.status == 503 {
        "rate_limit_error"
    } else {
        "invalid_request_error"
    };
    let error = ErrorBody {
        kind,
        code: bad.code,
        message: &bad.message,
        param: bad.param.as_deref(),
        retry_after_ms,
        metadata: meta,
        elsewhere,
    };
    to_json(&ErrorEvent {
        kind: "error",
        status: bad.status,
        error,
    })
}

#[derive(Serialize)]
struct RenewedEvent<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    ends_at: u64,
}

/// Serializes a `session.renewed` event, an extension of the published API: the session's credential now expires at this Unix
/// time, seconds.
pub fn renewed(ends_at: u64) -> String {
    to_json(&RenewedEvent {
        kind: "session.renewed",
        ends_at,
    })
}

#[derive(Deserialize)]
struct RawRenewal {
    #[serde(rename = "type")]
    kind: String,
    token: String,
}

/// Whether a message is a `session.renew` event, an extension of the published API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The message is another event.
    None,
    /// The message is a renewal with this token.
    Token(String),
    /// The message may be a renewal but cannot be parsed. It may still contain a token, so it must not be recorded.
    Malformed,
}

/// Checks whether a message is a renewal. Must be called before a message is passed on to code that records it, so that no
/// token is recorded.
pub fn parse_renewal(message: &str) -> Renewal {
    if !message.contains("session.renew") {
        return Renewal::None;
    }
    match (
        serde_json::from_str::<RawRenewal>(message),
        serde_json::from_str::<RawEvent>(message),
    ) {
        (Ok(raw), _) if raw.kind == "session.renew" => Renewal::Token(raw.token),
        (_, Ok(event)) if event.kind != "session.renew" => Renewal::None,
        _ => Renewal::Malformed,
    }
}

/// An event as a client receives it, for test clients.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerEvent {
    #[serde(rename = "type")]
    pub kind: String,
    pub response: Option<Response>,
    pub response_id: Option<String>,
    pub delta: Option<String>,
    pub error: Option<serde_json::Value>,
}

impl ServerEvent {
    /// Whether the event ends its request.
    pub fn is_final(&self) -> bool {
        matches!(
            self.kind.as_str(),
            "response.completed" | "response.incomplete" | "response.failed" | "error"
        )
    }
}
