//! Client events: what a session may say and what it is answered.

use std::collections::BTreeMap;

use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};

/// Pairs in `metadata`, and the longest key and value in characters, as published.
pub const METADATA_PAIRS: usize = 16;
pub const METADATA_KEY_CHARS: usize = 64;
pub const METADATA_VALUE_CHARS: usize = 512;
/// Longest `prompt_cache_key` and `model`, in characters.
pub const NAME_CHARS: usize = 256;

/// Keys of `metadata` that the dispatcher reads; all are echoed.
pub const META_CLASS: &str = "class";
pub const META_TENANT: &str = "tenant";
pub const META_KEY: &str = "idempotency_key";
pub const META_DEADLINE_MS: &str = "deadline_ms";

/// What a client said, checked.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    Create(Box<Create>),
    Cancel { response_id: String },
}

/// `response.create`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Create {
    pub model: String,
    pub instructions: String,
    /// The new input as one text, a line a message: `role: text`.
    pub input: String,
    pub previous_response_id: Option<String>,
    pub max_output_tokens: Option<u32>,
    pub prompt_cache_key: Option<String>,
    pub metadata: BTreeMap<String, String>,
    pub temperature: Option<f64>,
    pub top_p: Option<f64>,
}

/// Why a client's message was not taken: goes back as an `error` event and costs the session nothing else.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct BadRequest {
    pub status: u16,
    pub code: &'static str,
    pub message: String,
    /// The field at fault.
    pub param: Option<String>,
}

impl BadRequest {
    /// A fault of the caller (HTTP 400) in one field.
    pub fn field(param: &str, message: impl Into<String>) -> Self {
        let (message, param) = (message.into(), Some(param.to_string()));
        BadRequest {
            status: 400,
            code: "invalid_value",
            message,
            param,
        }
    }

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

/// Reads one text message of a client.
///
/// # Errors
/// One [`BadRequest`] that names the first field at fault, or the line and column where the JSON breaks.
pub fn parse(text: &str) -> Result<ClientEvent, BadRequest> {
    // A sequence would be taken for the fields in their order.
    if !text.trim_start().starts_with('{') {
        return Err(BadRequest::json(
            "the message is not an event: a JSON object is expected".to_string(),
        ));
    }
    let event: RawEvent = read(text)?;
    match event.kind.as_str() {
        "response.create" => read(text).and_then(create),
        "response.cancel" => {
            let raw: RawCancel = read(text)?;
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

/// What is left of a bound on tokens, in the published form of the Realtime API's event.
pub fn rate_limits(limit: u64, remaining: u64, reset_s: f64) -> String {
    let reset = if reset_s.is_finite() {
        serde_json::json!(reset_s)
    } else {
        serde_json::Value::Null
    };
    let one = serde_json::json!({ "name": "tokens", "limit": limit, "remaining": remaining, "reset_seconds": reset });
    serde_json::json!({ "type": "rate_limits.updated", "rate_limits": [one] }).to_string()
}

/// Reads an event, or says what is wrong with it and where: the JSON itself, or the value of one field.
fn read<T: DeserializeOwned>(text: &str) -> Result<T, BadRequest> {
    serde_json::from_str(text).map_err(|_| explain::<T>(text))
}

fn explain<T: DeserializeOwned>(text: &str) -> BadRequest {
    if let Err(e) = serde_json::from_str::<IgnoredAny>(text) {
        return BadRequest::json(format!("the message is not JSON: {e}"));
    }
    match serde_path_to_error::deserialize::<_, T>(&mut serde_json::Deserializer::from_str(text)) {
        Ok(_) => BadRequest::json("the message is not one event".to_string()),
        Err(e) => {
            let path = e.path().to_string();
            let whole = e.into_inner().to_string();
            // The place is that of a byte in what the client has long forgotten; the field says more.
            let why = whole.split(" at line ").next().unwrap_or_default();
            // `serde` names a missing field in its text alone.
            let missing = why
                .strip_prefix("missing field `")
                .and_then(|w| w.strip_suffix('`'));
            match missing {
                Some(field) => BadRequest::field(field, "is missing"),
                None => BadRequest::field(if path == "." { "input" } else { &path }, why),
            }
        }
    }
}

fn create(raw: RawCreate) -> Result<ClientEvent, BadRequest> {
    let model = raw
        .model
        .filter(|m| !m.is_empty())
        .ok_or_else(|| BadRequest::field("model", "is missing"))?;
    short("model", &model)?;
    if let Some(key) = &raw.prompt_cache_key {
        short("prompt_cache_key", key)?;
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
        metadata: metadata(raw.metadata.unwrap_or_default())?,
        temperature: raw.temperature,
        top_p: raw.top_p,
    })))
}

fn short(param: &str, value: &str) -> Result<(), BadRequest> {
    if value.chars().count() > NAME_CHARS {
        return Err(BadRequest::field(
            param,
            format!("is longer than {NAME_CHARS} characters"),
        ));
    }
    Ok(())
}

fn metadata(pairs: BTreeMap<String, String>) -> Result<BTreeMap<String, String>, BadRequest> {
    if pairs.len() > METADATA_PAIRS {
        return Err(BadRequest::field(
            "metadata",
            format!("has more than {METADATA_PAIRS} pairs"),
        ));
    }
    for (key, value) in &pairs {
        if key.chars().count() > METADATA_KEY_CHARS || value.chars().count() > METADATA_VALUE_CHARS
        {
            let most = format!("{METADATA_KEY_CHARS} or {METADATA_VALUE_CHARS} characters");
            return Err(BadRequest::field(
                "metadata",
                format!("has a key or value longer than {most}"),
            ));
        }
    }
    Ok(pairs)
}

fn input_text(input: RawInput) -> Result<String, BadRequest> {
    let items = match input {
        RawInput::Text(text) => return Ok(text),
        RawInput::Items(items) => items,
    };
    let mut lines = Vec::with_capacity(items.len());
    for (i, item) in items.into_iter().enumerate() {
        let at = |part: &str| format!("input[{i}].{part}");
        if item.kind.as_deref().is_some_and(|k| k != "message") {
            return Err(BadRequest::field(
                &at("type"),
                "only items of type message are served here",
            ));
        }
        let text = match item.content {
            Some(RawContent::Text(text)) => text,
            Some(RawContent::Parts(parts)) => parts_text(&at("content"), parts)?,
            None => return Err(BadRequest::field(&at("content"), "is missing")),
        };
        lines.push(format!(
            "{}: {text}",
            item.role.as_deref().unwrap_or("user")
        ));
    }
    Ok(lines.join("\n"))
}

fn parts_text(at: &str, parts: Vec<RawPart>) -> Result<String, BadRequest> {
    let mut text = String::new();
    for part in parts {
        match (part.kind.as_str(), part.text) {
            ("input_text" | "output_text" | "text", Some(t)) => text.push_str(&t),
            _ => return Err(BadRequest::field(at, "only text parts are served here")),
        }
    }
    Ok(text)
}

/// How a response stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    InProgress,
    Completed,
    Incomplete,
    Failed,
}

/// Tokens counted by the engine.
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

/// `response.error`. `safe_to_repeat` and `retry_after_ms` are ours: a refusal says that trying again is
/// harmless and when; a failure has `safe_to_repeat: false` and promises nothing.
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

/// The response object, as far as it is served here.
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
    /// Puts the answer's text in as the one output message.
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

/// Id of a response's one output item.
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

fn text(value: &impl Serialize) -> String {
    // These types hold strings and numbers under string keys, which always serialize.
    serde_json::to_string(value).unwrap_or_default()
}

/// `response.created`.
pub fn created(sequence: u64, response: &Response) -> String {
    text(&ResponseEvent {
        kind: "response.created",
        sequence_number: sequence,
        response,
    })
}

/// The final event that fits the response's status.
pub fn finished(sequence: u64, response: &Response) -> String {
    let kind = match response.status {
        Status::Completed => "response.completed",
        Status::Incomplete => "response.incomplete",
        Status::Failed | Status::InProgress => "response.failed",
    };
    text(&ResponseEvent {
        kind,
        sequence_number: sequence,
        response,
    })
}

/// `response.output_text.delta`; `response_id` is ours, so that answers may run side by side in one session.
pub fn delta(sequence: u64, response_id: &str, item_id: &str, delta: &str) -> String {
    text(&DeltaEvent {
        kind: "response.output_text.delta",
        sequence_number: sequence,
        response_id,
        item_id,
        output_index: 0,
        content_index: 0,
        delta,
    })
}

/// An `error` event; `metadata` (ours) is echoed where the message was read that far, so that a client with
/// several requests out knows which one it ends.
pub fn error(
    bad: &BadRequest,
    retry_after_ms: Option<u64>,
    meta: Option<&BTreeMap<String, String>>,
) -> String {
    error_elsewhere(bad, retry_after_ms, meta, &[])
}

/// The same with `elsewhere` (ours): addresses of other dispatchers to try.
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
    text(&ErrorEvent {
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

/// `session.renewed` (ours): the session's proof now ends at this Unix time, seconds.
pub fn renewed(ends_at: u64) -> String {
    text(&RenewedEvent {
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

/// Whether a message is a `session.renew` (ours).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// Another message.
    None,
    Token(String),
    /// It may be one, and cannot be read; it may hold a token all the same.
    Broken,
}

/// Looks for a renewal; called before a message goes anywhere that is recorded.
pub fn renewal(message: &str) -> Renewal {
    if !message.contains("session.renew") {
        return Renewal::None;
    }
    match (
        serde_json::from_str::<RawRenewal>(message),
        serde_json::from_str::<RawEvent>(message),
    ) {
        (Ok(raw), _) if raw.kind == "session.renew" => Renewal::Token(raw.token),
        (_, Ok(event)) if event.kind != "session.renew" => Renewal::None,
        _ => Renewal::Broken,
    }
}

/// What a client reads back, for stand-in clients and tests.
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
