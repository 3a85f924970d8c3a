//! Splits the event stream of a model server's response so that only complete events are forwarded, and reads the usage
//! data in them. Comment lines come from the platform itself and are not forwarded.

use serde_json::Value;

use crate::http1::MAX_BODY_BYTES;

/// Parser for an event stream, with the bytes that have not been forwarded yet.
#[derive(Debug, Default)]
pub struct EventStream {
    unfinished: Vec<u8>,
    /// Prompt tokens that the server found in its prefix cache, once reported.
    pub cached_tokens: Option<f64>,
    /// Tokens of the answer, once reported.
    pub output_tokens: Option<f64>,
    /// Text of the last load report received in a comment.
    pub load_report: Option<String>,
}

impl EventStream {
    /// Adds received bytes and appends complete events, unchanged, to `out`. Returns false if an event is longer than
    /// `MAX_BODY_BYTES`.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> bool {
        self.unfinished.extend_from_slice(bytes);
        let mut from = 0;
        while let Some(len) = event_length(&self.unfinished[from..]) {
            let event = from..from + len;
            from += len;
            if !self.is_own_event(event.clone()) {
                out.extend_from_slice(&self.unfinished[event]);
            }
        }
        self.unfinished.drain(..from);
        self.unfinished.len() <= MAX_BODY_BYTES
    }

    /// Bytes after the last complete event.
    pub fn remainder(&self) -> &[u8] {
        &self.unfinished
    }

    /// Reads one event; returns true if it is empty or holds only comments, so that it is not forwarded.
    fn is_own_event(&mut self, event: std::ops::Range<usize>) -> bool {
        let text = String::from_utf8_lossy(&self.unfinished[event]).into_owned();
        let mut only_comments = true;
        for line in text.lines().filter(|l| !l.is_empty()) {
            if let Some(comment) = line.strip_prefix(':') {
                let field = comment.trim_start().split_once(':');
                if let Some((_, load)) = field.filter(|t| t.0.eq_ignore_ascii_case("srv-load")) {
                    self.load_report = Some(load.trim().to_string());
                }
                continue;
            }
            only_comments = false;
            // Only lines with usage data are parsed as JSON, since few events have any.
            if line.contains("cached_tokens") || line.contains("completion_tokens") {
                let data = line
                    .strip_prefix("data:")
                    .and_then(|d| serde_json::from_str::<Value>(d).ok());
                let data = data.as_ref();
                self.cached_tokens = data.and_then(cached_tokens).or(self.cached_tokens);
                self.output_tokens = data.and_then(output_tokens).or(self.output_tokens);
            }
        }
        only_comments
    }
}

fn cached_tokens(data: &Value) -> Option<f64> {
    data.pointer("/usage/prompt_tokens_details/cached_tokens")
        .and_then(Value::as_f64)
}

fn output_tokens(data: &Value) -> Option<f64> {
    data.pointer("/usage/completion_tokens")
        .and_then(Value::as_f64)
}

/// Length of the first event including the empty line that ends it, or `None` if no event is complete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, b) in bytes.iter().enumerate() {
        if *b != b'\n' {
            continue;
        }
        let line = &bytes[line_start..i];
        if line.is_empty() || line == b"\r" {
            return Some(i + 1);
        }
        // A single comment line may come without an empty line after it.
        if line_start == 0 && line.starts_with(b":") {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}
