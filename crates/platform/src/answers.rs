//! What a model host answers, read as it comes.

use bitternlatch_routing_settings::Names;

use crate::events::Events;
use crate::http1::{answer_head, AnswerHead, Bad, Body, Framing, MOST_BODY};

/// Most interim answers before the one that counts.
const MOST_INTERIM: u32 = 16;

/// An answer under way.
#[derive(Debug, Default)]
pub struct Answer {
    /// A 200 brings a stream of events; otherwise a plain body.
    streams: bool,
    unread: Vec<u8>,
    head: Option<AnswerHead>,
    body: Option<Body>,
    interim: u32,
    events: Events,
    content: Vec<u8>,
}

/// What bytes have brought.
#[derive(Debug, PartialEq)]
pub enum Came {
    /// Events to be passed on, perhaps none; the answer goes on.
    Events(Vec<u8>),
    /// The last events, perhaps none, and the end of the answer.
    End { events: Vec<u8>, whole: Whole },
}

/// A whole answer.
#[derive(Debug, Default, PartialEq)]
pub struct Whole {
    pub status: u16,
    /// The host says that it never ran.
    pub declined: bool,
    pub cached_tokens: f64,
    /// As it came, unread.
    pub load: Option<String>,
    /// The connection can serve once more.
    pub reusable: bool,
}

impl Answer {
    /// The answer to an attempt, whose 200 brings a stream of events.
    pub fn to_attempt() -> Answer {
        Answer {
            streams: true,
            ..Answer::default()
        }
    }

    /// Takes bytes as they come.
    ///
    /// # Errors
    /// What cannot be read or breaks a bound: the connection can be used no further.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Came, Bad> {
        self.unread.extend_from_slice(bytes);
        while self.head.is_none() {
            let Some((head, taken)) = answer_head(&self.unread)? else {
                return Ok(Came::Events(Vec::new()));
            };
            self.unread.drain(..taken);
            if (100..200).contains(&head.status) {
                self.interim += 1;
                if head.status == 101 || self.interim > MOST_INTERIM {
                    return Err(Bad::Head);
                }
                continue;
            }
            self.body = Some(Body::new(head.framing));
            self.head = Some(head);
        }
        let (Some(head), Some(body)) = (&self.head, &mut self.body) else {
            return Err(Bad::Head);
        };
        let taken = body.take(&self.unread, &mut self.content)?;
        self.unread.drain(..taken);
        let (status, done) = (head.status, body.done());
        if !self.streams || status != 200 {
            return self.plain(done);
        }
        // The end of a stream that ends with its connection cannot be told from its break.
        if head.framing == Framing::Close {
            return Err(Bad::Length);
        }
        let mut events = Vec::new();
        let fits = self.events.take(&self.content, &mut events);
        self.content.clear();
        if !fits {
            return Err(Bad::Chunk);
        }
        if !done {
            return Ok(Came::Events(events));
        }
        let rest = self.events.rest();
        if !rest.trim_ascii().is_empty() && !rest.starts_with(b":") {
            events.extend_from_slice(rest);
        }
        Ok(Came::End {
            events,
            whole: self.whole(true),
        })
    }

    /// A plain answer has its meaning from its head; a body too long or without an end is not waited for.
    fn plain(&mut self, done: bool) -> Result<Came, Bad> {
        let endless = self.head.as_ref().is_some_and(|h| match h.framing {
            Framing::Close => true,
            Framing::Length(n) => n > MOST_BODY as u64,
            Framing::Chunked => self.content.len() > MOST_BODY,
        });
        if !done && !endless {
            return Ok(Came::Events(Vec::new()));
        }
        Ok(Came::End {
            events: Vec::new(),
            whole: self.whole(done),
        })
    }

    fn whole(&mut self, done: bool) -> Whole {
        let Some(head) = &self.head else {
            return Whole::default();
        };
        let told = serde_json::from_slice::<serde_json::Value>(&self.content).ok();
        let told = told.and_then(|v| v.get("cached_tokens").and_then(serde_json::Value::as_f64));
        Whole {
            status: head.status,
            declined: head.fields.get("srv-declined") == Some("1"),
            cached_tokens: self.events.cached_tokens.or(told).unwrap_or(0.0),
            load: self
                .events
                .load
                .take()
                .or_else(|| head.fields.get("srv-load").map(str::to_string)),
            reusable: done && head.keep_alive && self.unread.is_empty(),
        }
    }

    /// The content of a plain answer.
    pub fn content(&self) -> &[u8] {
        &self.content
    }
}

/// The simulator's words for report values, and those that hosts write on sockets.
const WORDS: [(&str, &str); 6] = [
    ("concurrent", "inflight"),
    ("depth", "queue"),
    ("load_share", "util"),
    ("mean_ms", "latency_ms"),
    ("tps", "qps"),
    ("err_ps", "eps"),
];

/// Reads a load report such as `inflight=7,queue=2,util=0.61` in the order of the settings' fields; empty where it
/// cannot be read or lacks a field.
pub fn read_load(text: &str, names: &Names) -> Vec<f64> {
    let pairs: Option<Vec<(&str, f64)>> = text.split(',').map(pair).collect();
    let Some(pairs) = pairs else {
        return Vec::new();
    };
    let value = |field: &String| {
        let other = WORDS.iter().find(|w| w.0 == field).map(|w| w.1);
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
