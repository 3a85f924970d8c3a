//! Splits the event stream of a model server's response so that only complete events are forwarded, and reads the usage
//! data in them. Comment lines come from the platform itself and are not forwarded.

use serde_json::Value;

use crate::http1::MAX_BODY_BYTES;

/// Kinds of blocks in an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Block {
    /// Empty, or only comments of the platform: not forwarded.
    Own,
    /// Fields without data, which clients receive no event for.
    WithoutData,
    /// An event.
    Event,
}

/// Parser for an event stream, with the bytes that have not been forwarded yet.
#[derive(Debug, Default)]
pub struct EventStream {
    unfinished: Vec<u8>,
    /// Complete blocks without data. They are forwarded with the next event, since they are none themselves.
    withheld: Vec<u8>,
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
            match self.read_block(event.clone()) {
                Block::Own => {}
                Block::WithoutData => self.withheld.extend_from_slice(&self.unfinished[event]),
                Block::Event => {
                    out.append(&mut self.withheld);
                    out.extend_from_slice(&self.unfinished[event]);
                }
            }
        }
        self.unfinished.drain(..from);
        self.unfinished.len() + self.withheld.len() <= MAX_BODY_BYTES
    }

    /// Bytes after the last event that are to be forwarded at the end of the stream.
    pub fn remainder(&mut self) -> Vec<u8> {
        let mut rest = std::mem::take(&mut self.withheld);
        let unfinished = &self.unfinished;
        if !unfinished.trim_ascii().is_empty() && !unfinished.starts_with(b":") {
            rest.extend_from_slice(unfinished);
        }
        rest
    }

    /// Reads one block, which ends with an empty line.
    fn read_block(&mut self, event: std::ops::Range<usize>) -> Block {
        let text = String::from_utf8_lossy(&self.unfinished[event]).into_owned();
        let mut block = Block::Own;
        for line in text.lines().filter(|l| !l.is_empty()) {
            if let Some(comment) = line.strip_prefix(':') {
                let field = comment.trim_start().split_once(':');
                if let Some((_, load)) = field.filter(|t| t.0.eq_ignore_ascii_case("srv-load")) {
                    self.load_report = Some(load.trim().to_string());
                }
                continue;
            }
            if line.starts_with("data:") || line == "data" {
                block = Block::Event;
            } else if block == Block::Own {
                block = Block::WithoutData;
            }
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
        block
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
