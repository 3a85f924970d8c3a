//! Tokens relayed a second, beside a bare relay: one thread that reads frames and one that writes them, with the same
//! library, no parsing and no decisions, in a process of its own like the dispatcher.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternlatch_chaos::process::free_address;
use bitternlatch_identity::Caller;
use bitternlatch_net::accept::{Acceptor, Handler, ListenerOptions};
use bitternlatch_net::dial::dial;
use bitternlatch_net::socket::{Limits, Outbox, ReadOutcome};
use bitternlatch_protocol::engine::{
    decode, encode, Choice, Chunk, EngineState, FromEngine, KvTransferParams, ToEngine,
};
use tungstenite::Message;

use crate::rig::{dispatcher, quantile};
use crate::AS_RELAY;

/// A host that answers at once and writes as fast as its socket takes.
struct Hose {
    tokens: usize,
    conns: std::sync::Mutex<std::collections::HashMap<u64, Outbox>>,
}

fn limits(queue: usize) -> Limits {
    Limits {
        max_message_bytes: 8 << 20,
        max_queued_messages: queue,
        ping_interval: Duration::from_secs(30),
        idle_timeout: None,
    }
}

impl Hose {
    fn pour(&self, conn: u64, id: &str) {
        let Some(to) = self.conns.lock().ok().and_then(|c| c.get(&conn).cloned()) else {
            return;
        };
        let tokens = self.tokens;
        let id = id.to_string();
        let chunk = |text: &str, finish: Option<&str>| {
            let choice = Choice {
                index: 0,
                text: text.into(),
                finish_reason: finish.map(str::to_string),
            };
            let body = Chunk {
                choices: vec![choice],
                usage: None,
                kv_transfer_params: None,
            };
            encode(&FromEngine::Chunk {
                id: id.clone(),
                body,
            })
        };
        let piece = chunk("word ", None);
        let put = |text: String| {
            while to.text(text.clone()).is_err() {
                std::thread::sleep(Duration::from_micros(50));
            }
        };
        (0..tokens).for_each(|_| put(piece.clone()));
        put(chunk("", Some("stop")));
        put(encode(&FromEngine::Done {
            id: id.clone(),
            load: None,
        }));
    }

    fn read(&self, conn: u64, id: String) {
        let params = KvTransferParams {
            do_remote_prefill: true,
            remote_request_id: Some(id.clone()),
            ..KvTransferParams::default()
        };
        let body = Chunk {
            kv_transfer_params: Some(params),
            ..Chunk::default()
        };
        if let Some(to) = self.conns.lock().ok().and_then(|c| c.get(&conn).cloned()) {
            let _ = to.text(encode(&FromEngine::Chunk {
                id: id.clone(),
                body,
            }));
            let _ = to.text(encode(&FromEngine::Done { id, load: None }));
        }
    }
}

struct HoseDoor(Arc<Hose>);

impl Handler for HoseDoor {
    fn opened(&self, connection: u64, outbox: Outbox, _caller: Option<Caller>) {
        let hello = FromEngine::Hello {
            engine_id: "hose".into(),
            uptime_s: 1e6,
            state: EngineState::Ready,
        };
        let _ = outbox.text(encode(&hello));
        if let Ok(mut conns) = self.0.conns.lock() {
            conns.insert(connection, outbox);
        }
    }
    fn text(&self, connection: u64, text: String) {
        let Ok(ToEngine::Completion { id, body }) = decode(&text) else {
            return;
        };
        if body.kv_transfer_params.is_some_and(|k| k.do_remote_decode) {
            return self.0.read(connection, id);
        }
        let hose = Arc::clone(&self.0);
        std::thread::spawn(move || hose.pour(connection, &id));
    }
    fn closed(&self, connection: u64, _why: String) {
        if let Ok(mut conns) = self.0.conns.lock() {
            conns.remove(&connection);
        }
    }
    fn get(&self, _path: &str) -> (u16, String) {
        (404, String::new())
    }
}

/// The bare relay, on the words `LISTEN HOST`: each connection is carried to the host and back.
pub fn bare(words: &str) -> Result<(), String> {
    let (listen, host) = words.split_once(' ').ok_or("LISTEN HOST are expected")?;
    let listener = TcpListener::bind(listen).map_err(|e| e.to_string())?;
    for stream in listener.incoming() {
        let (stream, host) = (stream.map_err(|e| e.to_string())?, host.to_string());
        std::thread::spawn(move || carry(stream, &host));
    }
    Ok(())
}

fn carry(client: TcpStream, host: &str) -> Option<()> {
    client.set_nodelay(true).ok()?;
    let mut near = tungstenite::accept(client).ok()?;
    let far = TcpStream::connect(host).ok()?;
    far.set_nodelay(true).ok()?;
    let (mut far, _) = tungstenite::client(format!("ws://{host}/"), far).ok()?;
    let ask = near.read().ok()?;
    far.send(ask).ok()?;
    let (to, frames) = crossbeam_channel::bounded::<Message>(1024);
    std::thread::spawn(move || {
        while let Ok(message) = far.read() {
            if to.send(message).is_err() {
                return;
            }
        }
    });
    for message in frames {
        near.send(message).ok()?;
    }
    Some(())
}

struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Seconds from asking until all streams have ended.
fn drain(at: &str, ask: &str, last: &str, streams: usize) -> Result<f64, String> {
    let open = |_| {
        dial(
            at,
            "/v1/responses",
            Duration::from_secs(5),
            limits(64),
            None,
        )
        .map_err(|e| e.to_string())
    };
    let all = (0..streams).map(open).collect::<Result<Vec<_>, _>>()?;
    let start = Instant::now();
    let threads: Vec<_> = all
        .into_iter()
        .map(|(mut reader, outbox)| {
            let (ask, last) = (ask.to_string(), last.to_string());
            std::thread::spawn(move || {
                let _ = outbox.text(ask);
                loop {
                    match reader.read() {
                        ReadOutcome::Text(text) if text.contains(&last) => return Ok(()),
                        ReadOutcome::Text(text) if text.contains("response.failed") => {
                            return Err(text)
                        }
                        ReadOutcome::Text(_) => {}
                        ReadOutcome::Ended(why) => return Err(why),
                    }
                }
            })
        })
        .collect();
    for thread in threads {
        thread
            .join()
            .map_err(|_| "a client panicked".to_string())??;
    }
    Ok(start.elapsed().as_secs_f64())
}

/// Measures both by turns.
pub fn measure(tokens: usize, streams: usize, rounds: usize) -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let hose = Arc::new(Hose {
        tokens: tokens / streams.max(1),
        conns: Default::default(),
    });
    let door = ListenerOptions::plaintext(1000, Duration::from_secs(5), limits(1024));
    let acceptor =
        Acceptor::start(listener, door, Arc::new(HoseDoor(hose))).map_err(|e| e.to_string())?;
    let host = acceptor.address().to_string();
    let list = vec![
        ("reader-1".into(), host.clone(), "reader"),
        ("writer-1".into(), host.clone(), "writer"),
    ];
    let dispatcher = dispatcher(&list, |settings| {
        // The client is as slow as it is: what is measured must not be closed for it.
        if let Some(listen) = settings["listen"].as_table_mut() {
            listen.insert("queue_messages".into(), 1_000_000.into());
        }
        // Streams that share one host's one link come late to their first token here; that is not what is measured.
        for class in settings["classes"]
            .as_array_mut()
            .into_iter()
            .flatten()
            .filter_map(|c| c.as_table_mut())
        {
            class.insert("ttft_aim_s".into(), 100.0.into());
            class.insert("deadline_s".into(), 200.0.into());
        }
    })?;
    let bare_at = free_address();
    let image = std::env::current_exe().map_err(|e| e.to_string())?;
    let bare = Command::new(image)
        .arg(AS_RELAY)
        .arg(format!("{bare_at} {host}"))
        .stdin(Stdio::null())
        .spawn();
    let _bare = Ended(bare.map_err(|e| e.to_string())?);
    std::thread::sleep(Duration::from_millis(300));
    let create = serde_json::json!({ "type": "response.create", "model": "m", "input": "x",
        "max_output_tokens": tokens, "metadata": { "class": "slot-query" } })
    .to_string();
    let go = encode(&ToEngine::Completion {
        id: "go".into(),
        body: Box::default(),
    });
    let (mut ours, mut plain) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        ours.push(drain(
            &dispatcher.address,
            &create,
            "response.completed",
            streams,
        )?);
        plain.push(drain(&bare_at, &go, "\"op\":\"done\"", streams)?);
    }
    let total = (tokens / streams.max(1) * streams) as f64;
    let rate = |times: &mut Vec<f64>| {
        times.sort_by(f64::total_cmp);
        total / quantile(times, 0.5)
    };
    let (ours, plain) = (rate(&mut ours), rate(&mut plain));
    println!(
        "{total} tokens in {streams} streams, median of {rounds} rounds by turns; tokens a second"
    );
    println!(
        "dispatcher {ours:.0}, bare two-thread relay {plain:.0}, ratio {:.2}",
        ours / plain
    );
    std::io::stdout().flush().map_err(|e| e.to_string())
}
