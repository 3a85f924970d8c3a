//! The events of an answer's stream: split so that only whole ones are passed on, and read for what the model
//! server counts. Comment lines are the platform's own and go no further.

use serde_json::Value;

use crate::http1::MAX_BODY_BYTES;

/// What has come of a stream and is not passed on yet.
#[derive(Debug, Default)]
pub struct EventStream {
    rest: Vec<u8>,
    /// Prompt tokens that the server had kept, once told.
    pub cached_tokens: Option<f64>,
    /// The last load report in a comment, unread.
    pub load_report: Option<String>,
}

impl EventStream {
    /// Takes bytes as they come and appends whole events, unchanged, to `out`.
    ///
    /// Gives false where an event does not end within the bound of a body.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> bool {
        self.rest.extend_from_slice(bytes);
        let mut from = 0;
        while let Some(len) = event_length(&self.rest[from..]) {
            let event = from..from + len;
            from += len;
            if !self.note(event.clone()) {
                out.extend_from_slice(&self.rest[event]);
            }
        }
        self.rest.drain(..from);
        self.rest.len() <= MAX_BODY_BYTES
    }

    /// What came behind the last whole event.
    pub fn remainder(&self) -> &[u8] {
        &self.rest
    }

    /// Reads an event; true where it holds nothing but comments or is empty.
    fn note(&mut self, event: std::ops::Range<usize>) -> bool {
        let text = String::from_utf8_lossy(&self.rest[event]).into_owned();
        let mut own = true;
        for line in text.lines().filter(|l| !l.is_empty()) {
            if let Some(comment) = line.strip_prefix(':') {
                let reported = comment.trim_start().split_once(':');
                if let Some((_, load)) = reported.filter(|t| t.0.eq_ignore_ascii_case("srv-load")) {
                    self.load_report = Some(load.trim().to_string());
                }
                continue;
            }
            own = false;
            // Few events tell of usage; the others are not worth reading.
            if line.contains("cached_tokens") {
                let data = line
                    .strip_prefix("data:")
                    .and_then(|d| serde_json::from_str::<Value>(d).ok());
                self.cached_tokens = data.as_ref().and_then(cached_tokens).or(self.cached_tokens);
            }
        }
        own
    }
}

fn cached_tokens(data: &Value) -> Option<f64> {
    data.pointer("/usage/prompt_tokens_details/cached_tokens")
        .and_then(Value::as_f64)
}

/// Bytes of the first event with the empty line that ends it.
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
        // A comment that stands alone may come without an empty line behind it.
        if line_start == 0 && line.starts_with(b":") {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}
