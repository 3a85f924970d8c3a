//! What a model server answers, read as it comes.

use bitternlatch_routing_settings::Names;

use crate::event_stream::EventStream;
use crate::http1::{response_head, Body, Framing, HttpError, ResponseHead, MAX_BODY_BYTES};

/// Most interim answers before the one that counts.
const MAX_INTERIM: u32 = 16;

/// An answer under way.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// A 200 brings a stream of events; otherwise a plain body.
    streams: bool,
    unread: Vec<u8>,
    head: Option<ResponseHead>,
    body: Option<Body>,
    interim: u32,
    events: EventStream,
    content: Vec<u8>,
}

/// What bytes have brought.
#[derive(Debug, PartialEq)]
pub enum BodyProgress {
    /// Events to be passed on, perhaps none; the answer goes on.
    Events(Vec<u8>),
    /// The last events, perhaps none, and the end of the answer.
    End {
        /// Events that are complete.
        events: Vec<u8>,
        /// The response.
        complete: CompleteResponse,
    },
}

/// A complete response.
#[derive(Debug, Default, PartialEq)]
pub struct CompleteResponse {
    /// Status code.
    pub status: u16,
    /// The server says that it never ran.
    pub declined: bool,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: f64,
    /// As it came, unread.
    pub load_report: Option<String>,
    /// The connection can serve once more.
    pub reusable: bool,
}

impl ResponseReader {
    /// The answer to an attempt, whose 200 brings a stream of events.
    pub fn for_attempt() -> ResponseReader {
        ResponseReader {
            streams: true,
            ..ResponseReader::default()
        }
    }

    /// Takes bytes as they come.
    ///
    /// # Errors
    /// What cannot be read or breaks a bound: the connection can be used no further.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<BodyProgress, HttpError> {
        self.unread.extend_from_slice(bytes);
        if !self.read_head()? {
            return Ok(BodyProgress::Events(Vec::new()));
        }
        let (Some(head), Some(body)) = (&self.head, &mut self.body) else {
            return Err(HttpError::MalformedHead);
        };
        let taken = body.decode(&self.unread, &mut self.content)?;
        self.unread.drain(..taken);
        let (status, framing, done) = (head.status, head.framing, body.is_complete());
        if !self.streams || status != 200 {
            return self.plain(done);
        }
        // The end of a stream that ends with its connection cannot be told from its break.
        if framing == Framing::Close {
            return Err(HttpError::InvalidLength);
        }
        self.take_events(done)
    }

    /// Reads the head, and interim responses before it; false while it is not complete.
    fn read_head(&mut self) -> Result<bool, HttpError> {
        while self.head.is_none() {
            let Some((head, taken)) = response_head(&self.unread)? else {
                return Ok(false);
            };
            self.unread.drain(..taken);
            if (100..200).contains(&head.status) {
                self.interim += 1;
                if head.status == 101 || self.interim > MAX_INTERIM {
                    return Err(HttpError::MalformedHead);
                }
                continue;
            }
            self.body = Some(Body::new(head.framing));
            self.head = Some(head);
        }
        Ok(true)
    }

    /// Takes the complete events of the content; `done` at the end of the body.
    fn take_events(&mut self, done: bool) -> Result<BodyProgress, HttpError> {
        let mut events = Vec::new();
        let fits = self.events.push(&self.content, &mut events);
        self.content.clear();
        if !fits {
            return Err(HttpError::InvalidChunk);
        }
        if !done {
            return Ok(BodyProgress::Events(events));
        }
        let rest = self.events.remainder();
        if !rest.trim_ascii().is_empty() && !rest.starts_with(b":") {
            events.extend_from_slice(rest);
        }
        Ok(BodyProgress::End {
            events,
            complete: self.complete(true),
        })
    }

    /// A plain answer has its meaning from its head; a body too long or without an end is not waited for.
    fn plain(&mut self, done: bool) -> Result<BodyProgress, HttpError> {
        let endless = self.head.as_ref().is_some_and(|h| match h.framing {
            Framing::Close => true,
            Framing::Length(n) => n > MAX_BODY_BYTES as u64,
            Framing::Chunked => self.content.len() > MAX_BODY_BYTES,
        });
        if !done && !endless {
            return Ok(BodyProgress::Events(Vec::new()));
        }
        Ok(BodyProgress::End {
            events: Vec::new(),
            complete: self.complete(done),
        })
    }

    fn complete(&mut self, done: bool) -> CompleteResponse {
        let Some(head) = &self.head else {
            return CompleteResponse::default();
        };
        let reported = serde_json::from_slice::<serde_json::Value>(&self.content).ok();
        let reported =
            reported.and_then(|v| v.get("cached_tokens").and_then(serde_json::Value::as_f64));
        CompleteResponse {
            status: head.status,
            declined: head.fields.get("srv-declined") == Some("1"),
            cached_tokens: self.events.cached_tokens.or(reported).unwrap_or(0.0),
            load_report: self
                .events
                .load_report
                .take()
                .or_else(|| head.fields.get("srv-load").map(str::to_string)),
            reusable: done && head.keep_alive && self.unread.is_empty(),
        }
    }

    /// The content of a plain answer.
    pub fn body(&self) -> &[u8] {
        &self.content
    }
}

/// The simulator's words for report values, and those that servers write on sockets.
const REPORT_FIELD_ALIASES: [(&str, &str); 6] = [
    ("concurrent", "inflight"),
    ("depth", "queue"),
    ("load_share", "util"),
    ("mean_ms", "latency_ms"),
    ("tps", "qps"),
    ("err_ps", "eps"),
];

/// Reads a load report such as `inflight=7,queue=2,util=0.61` in the order of the settings' fields; empty where it
/// cannot be read or lacks a field.
pub fn parse_load_report(text: &str, names: &Names) -> Vec<f64> {
    let pairs: Option<Vec<(&str, f64)>> = text.split(',').map(pair).collect();
    let Some(pairs) = pairs else {
        return Vec::new();
    };
    let value = |field: &String| {
        let other = REPORT_FIELD_ALIASES
            .iter()
            .find(|w| w.0 == field)
            .map(|w| w.1);
        pairs
            .iter()
            .find(|p| p.0 == field || Some(p.0) == other)
            .map(|p| p.1)
    };
    names
        .report_fields
        .iter()
        .map(value)
        .collect::<Option<Vec<f64>>>()
        .unwrap_or_default()
}

fn pair(text: &str) -> Option<(&str, f64)> {
    let (name, value) = text.split_once('=')?;
    let value: f64 = value.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some((name.trim(), value))
}
