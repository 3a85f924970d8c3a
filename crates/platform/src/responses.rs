//! Incremental parser for the responses of model servers.

use bitternlatch_routing_settings::Names;

use crate::event_stream::EventStream;
use crate::http1::{response_head, Body, Framing, HttpError, ResponseHead, MAX_BODY_BYTES};

/// Most interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Parser for one response.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// Whether a 200 carries an event stream; any other response has a plain body.
    expects_stream: bool,
    unparsed: Vec<u8>,
    head: Option<ResponseHead>,
    body: Option<Body>,
    interim: u32,
    events: EventStream,
    body_bytes: Vec<u8>,
}

/// Result of parsing received bytes.
#[derive(Debug, PartialEq)]
pub enum BodyProgress {
    /// Complete events to forward, possibly none; the response continues.
    Events(Vec<u8>),
    /// The end of the response, with the last events.
    End {
        /// Complete events to forward, possibly none.
        events: Vec<u8>,
        /// Summary of the whole response.
        complete: CompleteResponse,
    },
}

/// Summary of a complete response.
#[derive(Debug, Default, PartialEq)]
pub struct CompleteResponse {
    /// Status code of the response.
    pub status: u16,
    /// Whether the server states, in `Srv-Declined`, that it did not run the request.
    pub declined: bool,
    /// Prompt tokens that the server found in its prefix cache.
    pub cached_tokens: f64,
    /// Tokens of the answer, if the server reported them.
    pub output_tokens: Option<f64>,
    /// Text of the server's load report, not yet parsed.
    pub load_report: Option<String>,
    /// Whether the connection can be used for another exchange.
    pub reusable: bool,
}

impl ResponseReader {
    /// Creates a parser for the response to an attempt, whose 200 carries an event stream.
    pub fn for_attempt() -> ResponseReader {
        ResponseReader {
            expects_stream: true,
            ..ResponseReader::default()
        }
    }

    /// Parses received bytes.
    ///
    /// # Errors
    /// A response that is malformed or exceeds a limit; the connection cannot be used any further.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<BodyProgress, HttpError> {
        self.unparsed.extend_from_slice(bytes);
        if !self.read_head()? {
            return Ok(BodyProgress::Events(Vec::new()));
        }
        let (Some(head), Some(body)) = (&self.head, &mut self.body) else {
            return Err(HttpError::MalformedHead);
        };
        let consumed = body.decode(&self.unparsed, &mut self.body_bytes)?;
        self.unparsed.drain(..consumed);
        let (status, framing, done) = (head.status, head.framing, body.is_complete());
        if !self.expects_stream || status != 200 {
            return self.read_plain(done);
        }
        // A stream that ends with its connection is rejected, because its regular end would look the same as a broken
        // connection.
        if framing == Framing::Close {
            return Err(HttpError::InvalidLength);
        }
        self.take_events(done)
    }

    /// Parses the head after skipping interim responses; returns false while it is incomplete.
    fn read_head(&mut self) -> Result<bool, HttpError> {
        while self.head.is_none() {
            let Some((head, consumed)) = response_head(&self.unparsed)? else {
                return Ok(false);
            };
            self.unparsed.drain(..consumed);
            if (100..200).contains(&head.status) {
                self.interim += 1;
                if head.status == 101 || self.interim > MAX_INTERIM_RESPONSES {
                    return Err(HttpError::MalformedHead);
                }
                continue;
            }
            self.body = Some(Body::new(head.framing));
            self.head = Some(head);
        }
        Ok(true)
    }

    /// Extracts the complete events from the body; `done` is set at the end of the body.
    fn take_events(&mut self, done: bool) -> Result<BodyProgress, HttpError> {
        let mut events = Vec::new();
        let fits = self.events.push(&self.body_bytes, &mut events);
        self.body_bytes.clear();
        if !fits {
            return Err(HttpError::InvalidChunk);
        }
        if !done {
            return Ok(BodyProgress::Events(events));
        }
        events.append(&mut self.events.remainder());
        Ok(BodyProgress::End {
            events,
            complete: self.summarize(true),
        })
    }

    /// Handles a body that is not a stream. The status in the head is what matters, so a body that is too long or has
    /// no known end counts as complete.
    fn read_plain(&mut self, done: bool) -> Result<BodyProgress, HttpError> {
        let is_unbounded = self.head.as_ref().is_some_and(|h| match h.framing {
            Framing::Close => true,
            Framing::Length(n) => n > MAX_BODY_BYTES as u64,
            Framing::Chunked => self.body_bytes.len() > MAX_BODY_BYTES,
        });
        if !done && !is_unbounded {
            return Ok(BodyProgress::Events(Vec::new()));
        }
        Ok(BodyProgress::End {
            events: Vec::new(),
            complete: self.summarize(done),
        })
    }

    fn summarize(&mut self, done: bool) -> CompleteResponse {
        let Some(head) = &self.head else {
            return CompleteResponse::default();
        };
        let reported = serde_json::from_slice::<serde_json::Value>(&self.body_bytes).ok();
        let reported =
            reported.and_then(|v| v.get("cached_tokens").and_then(serde_json::Value::as_f64));
        CompleteResponse {
            status: head.status,
            declined: head.fields.get("srv-declined") == Some("1"),
            cached_tokens: self.events.cached_tokens.or(reported).unwrap_or(0.0),
            output_tokens: self.events.output_tokens,
            load_report: self
                .events
                .load_report
                .take()
                .or_else(|| head.fields.get("srv-load").map(str::to_string)),
            reusable: done && head.keep_alive && self.unparsed.is_empty(),
        }
    }

    /// Body of a response that is not a stream.
    pub fn body(&self) -> &[u8] {
        &self.body_bytes
    }
}

/// Names of load-report values in the settings, each with the name that model servers use on the wire.
const REPORT_FIELD_ALIASES: [(&str, &str); 6] = [
    ("concurrent", "inflight"),
    ("depth", "queue"),
    ("load_share", "util"),
    ("mean_ms", "latency_ms"),
    ("tps", "qps"),
    ("err_ps", "eps"),
];

/// Parses a load report such as `inflight=7,queue=2,util=0.61` into values in the order of the settings' fields.
/// Returns an empty list if the report is malformed or lacks a field.
pub fn parse_load_report(text: &str, names: &Names) -> Vec<f64> {
    let pairs: Option<Vec<(&str, f64)>> = text.split(',').map(parse_pair).collect();
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

fn parse_pair(text: &str) -> Option<(&str, f64)> {
    let (name, value) = text.split_once('=')?;
    let value: f64 = value.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some((name.trim(), value))
}
