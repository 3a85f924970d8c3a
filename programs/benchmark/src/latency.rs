//! What the dispatcher adds to the time to first token and between tokens.

use std::time::{Duration, Instant};

use bitternlatch_chaos::client::{Came, Client};
use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_net::dial::dial;
use bitternlatch_net::socket::{Limits, Outbox, ReadOutcome, Reader};
use bitternlatch_protocol::engine::{
    decode, encode, CompletionRequest, FromEngine, KvTransferParams, ToEngine,
};
use hdrhistogram::Histogram;

use crate::rig::{dispatcher, stand_ins};

const TOKENS: u32 = 40;

/// Microseconds of one way of asking.
pub struct Times {
    pub first: Histogram<u64>,
    pub between: Histogram<u64>,
}

impl Times {
    pub fn new() -> Result<Times, String> {
        let one = || Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string());
        Ok(Times {
            first: one()?,
            between: one()?,
        })
    }

    /// Takes the times at which an answer's tokens came, since it was asked for.
    pub fn take(&mut self, tokens: &[Duration]) {
        let us = |d: Duration| d.as_micros() as u64;
        if let Some(first) = tokens.first() {
            self.first.saturating_record(us(*first));
        }
        tokens
            .windows(2)
            .for_each(|w| self.between.saturating_record(us(w[1] - w[0])));
    }
}

/// Asks by turns through the dispatcher and of the hosts directly, so that both meet the same machine.
pub fn measure(requests: usize) -> Result<(), String> {
    let (hosts, list) = stand_ins(None)?;
    let address = |name: &str| {
        hosts
            .addresses()
            .get(name)
            .map(ToString::to_string)
            .unwrap_or_default()
    };
    let dispatcher = dispatcher(&list, |_| {})?;
    let client = Client::connect(&dispatcher.address, "m", "d", Capture::none())
        .map_err(|e| e.to_string())?;
    let mut direct = Direct::connect(&address("reader-1"), &address("writer-1"))?;
    let (mut through, mut straight) = (Times::new()?, Times::new()?);
    for i in 0..requests {
        // Texts of their own, so that neither finds what the other's read has left.
        let text = |way: &str| {
            format!(
                "{way} {i} {} [len={TOKENS}]",
                "words of a prompt ".repeat(60)
            )
        };
        through.take(&ask(&client, &text("through"))?);
        straight.take(&direct.ask(i, &text("straight"))?);
    }
    println!("{requests} requests each by turns, {TOKENS} tokens, one every 5 ms; microseconds");
    println!(
        "{:<24} {:>9} {:>9} {:>9} {:>9}",
        "", "p50", "p99", "p50", "p99"
    );
    println!("{:<24} {:>19} {:>19}", "", "first token", "between tokens");
    for (name, t) in [
        ("through the dispatcher", &through),
        ("hosts directly", &straight),
    ] {
        let at = |h: &Histogram<u64>, q| h.value_at_quantile(q);
        println!(
            "{name:<24} {:>9} {:>9} {:>9} {:>9}",
            at(&t.first, 0.5),
            at(&t.first, 0.99),
            at(&t.between, 0.5),
            at(&t.between, 0.99)
        );
    }
    let added = |f: fn(&Times) -> &Histogram<u64>, q| {
        f(&through).value_at_quantile(q) as i64 - f(&straight).value_at_quantile(q) as i64
    };
    let ratio = |f: fn(&Times) -> &Histogram<u64>, q| {
        f(&through).value_at_quantile(q) as f64 / f(&straight).value_at_quantile(q).max(1) as f64
    };
    for q in [0.5, 0.99] {
        println!(
            "added at p{:.0}: first token {} us ({:.3} times), between tokens {} us ({:.3} times)",
            q * 100.0,
            added(|t| &t.first, q),
            ratio(|t| &t.first, q),
            added(|t| &t.between, q),
            ratio(|t| &t.between, q)
        );
    }
    Ok(())
}

pub fn ask(client: &Client, text: &str) -> Result<Vec<Duration>, String> {
    let create = serde_json::json!({ "type": "response.create", "model": "m", "input": text,
        "metadata": { "class": "slot-query" } });
    let start = Instant::now();
    client.say(&create.to_string());
    let mut tokens = Vec::new();
    loop {
        match client.next(Duration::from_secs(20)) {
            Came::Event(e) if e.delta.is_some() => tokens.push(start.elapsed()),
            Came::Event(e) if e.kind == "response.completed" => return Ok(tokens),
            Came::Event(e) if e.is_final() => return Err(format!("not served: {e:?}")),
            Came::Event(_) => {}
            other => return Err(format!("{other:?}")),
        }
    }
}

/// A client that does both steps itself.
struct Direct {
    reader: (Reader, Outbox),
    writer: (Reader, Outbox),
}

impl Direct {
    fn connect(reader: &str, writer: &str) -> Result<Direct, String> {
        let limits = || Limits {
            max_message_bytes: 1 << 20,
            max_queued_messages: 64,
            ping_interval: Duration::from_secs(10),
            idle_timeout: None,
        };
        let to = |at: &str| {
            dial(at, "/", Duration::from_secs(2), limits(), None).map_err(|e| e.to_string())
        };
        Ok(Direct {
            reader: to(reader)?,
            writer: to(writer)?,
        })
    }

    fn ask(&mut self, i: usize, text: &str) -> Result<Vec<Duration>, String> {
        let read = KvTransferParams {
            do_remote_decode: true,
            ..KvTransferParams::default()
        };
        let start = Instant::now();
        say(&self.reader.1, format!("r{i}"), text, 1, Some(read))?;
        let mut state = None;
        loop {
            match hear(&mut self.reader.0)? {
                FromEngine::Chunk { body, .. } => state = body.kv_transfer_params,
                FromEngine::Done { .. } => break,
                _ => {}
            }
        }
        say(&self.writer.1, format!("w{i}"), text, 1024, state)?;
        let mut tokens = Vec::new();
        loop {
            match hear(&mut self.writer.0)? {
                FromEngine::Chunk { body, .. }
                    if body.choices.iter().any(|c| !c.text.is_empty()) =>
                {
                    tokens.push(start.elapsed());
                }
                FromEngine::Done { .. } => return Ok(tokens),
                FromEngine::Error { error, .. } => return Err(error.message),
                _ => {}
            }
        }
    }
}

fn say(
    to: &Outbox,
    id: String,
    text: &str,
    most: u32,
    kv: Option<KvTransferParams>,
) -> Result<(), String> {
    let body = CompletionRequest {
        request_id: id.clone(),
        model: "m".into(),
        prompt: text.to_string(),
        max_tokens: most,
        stream: true,
        kv_transfer_params: kv,
        ..CompletionRequest::default()
    };
    let message = ToEngine::Completion {
        id,
        body: Box::new(body),
    };
    to.text(encode(&message))
        .map_err(|_| "a host does not read".to_string())
}

fn hear(from: &mut Reader) -> Result<FromEngine, String> {
    match from.read() {
        ReadOutcome::Text(text) => decode(&text).map_err(|e| e.to_string()),
        ReadOutcome::Ended(why) => Err(why),
    }
}
