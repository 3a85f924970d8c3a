//! A machine with servers played by hand: no socket, no clock.
#![allow(dead_code)]

use bitternlatch_core::{Input, LinkId, Machine, Micros, Output, SessionId, Settings};
use bitternlatch_inventory::{parse, server_id, ModelServer};
use bitternlatch_protocol::client::ServerEvent;
use bitternlatch_protocol::engine::{
    decode, encode, Choice, Chunk, CompletionRequest, EngineError, EngineState, EngineUsage,
    FromEngine, KvTransferParams, ToEngine,
};

pub const SETTINGS: &str = r#"name = "d1"
zone = "z"
dispatchers = 1
[listen]
address = "127.0.0.1:0"
sessions = 100
session_requests = 4
[inventory]
file = "hosts.csv"
[rules]
pin_limit_s = 1.0
drain_grace_s = 0.25
cold = { start_capacity = 0.25, overload_factor = 2.5, window_s = 3.0, warm_after_s = 14.0 }
[attempts]
most = 4
max_retry_after_s = 5.0
[reports]
mode = "with-answers"
fields = [{ name = "kv_cache_usage_perc", means = "memory_share" }]
[[classes]]
name = "query"
effect = "safe"
ttft_aim_s = 1.5
token_gap_aim_s = 0.07
deadline_s = 6.0
worth = 1.0
late_worth = 0.3
[[classes]]
name = "booking"
effect = "unsafe"
ttft_aim_s = 2.5
token_gap_aim_s = 0.08
deadline_s = 12.0
worth = 2.0
late_worth = 0.2
[[kinds]]
name = "reader"
role = "reader"
memory_tokens = 200000
[[kinds]]
name = "writer"
role = "writer"
memory_tokens = 150000
"#;

pub const START_US: u64 = 1_000_000_000;

/// A completion as its server got it.
#[derive(Clone, Debug)]
pub struct Told {
    pub link: LinkId,
    pub id: String,
    pub body: CompletionRequest,
}

impl Told {
    pub fn is_read(&self) -> bool {
        self.body
            .kv_transfer_params
            .as_ref()
            .is_some_and(|k| k.do_remote_decode)
    }
}

pub struct Bench {
    pub machine: Machine,
    pub now: Micros,
    pub out: Vec<Output>,
    /// All that it was told, in order.
    pub inputs: Vec<(Micros, Input)>,
    /// Completions not yet answered by the test.
    pub told: Vec<Told>,
    pub cancels: Vec<(LinkId, String)>,
    pub releases: Vec<(LinkId, String)>,
    pub probes: Vec<(LinkId, u64)>,
    pub dials: Vec<LinkId>,
    pub logs: Vec<String>,
    pub faults: Vec<String>,
    said: Vec<(SessionId, ServerEvent)>,
    pub stopped: bool,
}

pub fn hosts(rows: &str) -> Vec<ModelServer> {
    let text = format!("name,address,port,kind,state\n{rows}");
    parse("hosts.csv", &text)
        .expect("a good list")
        .into_values()
        .collect()
}

/// Readers r1, r2 and writers w1, w2.
pub fn four() -> Vec<ModelServer> {
    hosts("r1,127.0.0.1,1,reader,\nr2,127.0.0.1,2,reader,\nw1,127.0.0.1,3,writer,\nw2,127.0.0.1,4,writer,\n")
}

pub fn settings() -> Settings {
    Settings::parse("test", SETTINGS).expect("good settings")
}

impl Bench {
    pub fn new(seed: u64) -> Bench {
        Bench::with(settings(), seed)
    }

    pub fn with(settings: Settings, seed: u64) -> Bench {
        Bench {
            machine: Machine::new(settings, seed),
            now: Micros(START_US),
            out: Vec::new(),
            inputs: Vec::new(),
            told: Vec::new(),
            cancels: Vec::new(),
            releases: Vec::new(),
            probes: Vec::new(),
            dials: Vec::new(),
            logs: Vec::new(),
            faults: Vec::new(),
            said: Vec::new(),
            stopped: false,
        }
    }

    /// With four servers, all linked and warm.
    pub fn ready(seed: u64) -> Bench {
        let mut bench = Bench::new(seed);
        bench.step(Input::ServerList(four()));
        bench.open_all(1000.0);
        bench
    }

    /// Every connected link comes up and its server greets.
    pub fn open_all(&mut self, uptime_s: f64) {
        for link in std::mem::take(&mut self.dials) {
            self.step(Input::LinkUp { link });
            self.greet(link, uptime_s);
        }
    }

    pub fn greet(&mut self, link: LinkId, uptime_s: f64) {
        let engine_id = String::new();
        self.says(
            link,
            &FromEngine::Hello {
                engine_id,
                uptime_s,
                state: EngineState::Ready,
            },
        );
    }

    pub fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        self.inputs.push((self.now, input.clone()));
        self.machine.step(self.now, input, &mut out);
        for output in out {
            match &output {
                Output::SendToClient { session, text } => {
                    let event = serde_json::from_str(text).expect("an event");
                    self.said.push((*session, event));
                }
                Output::SendToServer { link, text, .. } => self.on_tell(*link, text),
                Output::Connect { link, .. } => self.dials.push(*link),
                Output::Log { text, .. } => self.logs.push(text.clone()),
                Output::Stopped => self.stopped = true,
                _ => {}
            }
            self.out.push(output);
        }
    }

    fn on_tell(&mut self, link: LinkId, text: &str) {
        match decode::<ToEngine>(text).expect("a message") {
            ToEngine::Completion { id, body } => self.told.push(Told {
                link,
                id,
                body: *body,
            }),
            ToEngine::Cancel { id } => self.cancels.push((link, id)),
            ToEngine::Release { id } => self.releases.push((link, id)),
            ToEngine::Probe { id } => self.probes.push((link, id)),
            ToEngine::Fault { message } => self.faults.push(message),
        }
    }

    /// Lets time go by, waking the machine whenever it asks.
    pub fn pass(&mut self, seconds: f64) {
        let end = self.now.after(seconds);
        while let Some(at) = self.machine.next_wake().filter(|at| *at <= end) {
            self.now = at.max(self.now);
            self.step(Input::Tick);
            if at <= self.now && self.machine.next_wake() == Some(at) {
                self.now = Micros(self.now.0 + 1);
            }
        }
        self.now = end;
        self.step(Input::Tick);
    }

    pub fn open(&mut self, session: u64) -> SessionId {
        let session = SessionId(session);
        self.step(Input::SessionOpened {
            session,
            caller: None,
        });
        session
    }

    pub fn ask(&mut self, session: SessionId, class: &str, key: &str, input: &str) {
        let text = serde_json::json!({
            "type": "response.create", "model": "m", "input": input,
            "metadata": { "class": class, "idempotency_key": key, "try": &input[..input.len().min(100)] },
        });
        self.step(Input::SessionText {
            session,
            text: text.to_string(),
        });
    }

    pub fn says(&mut self, link: LinkId, message: &FromEngine) {
        self.step(Input::LinkText {
            link,
            text: encode(message),
        });
    }

    /// Takes the oldest completion; a choice may wait a moment for its probes.
    pub fn take(&mut self) -> Told {
        if self.told.is_empty() {
            self.pass(0.02);
        }
        assert!(
            !self.told.is_empty(),
            "no completion was told; log: {:?}",
            self.logs
        );
        self.told.remove(0)
    }

    /// The server has read the prompt.
    pub fn read_done(&mut self, told: &Told) {
        let params = KvTransferParams {
            do_remote_prefill: true,
            remote_engine_id: Some("r".into()),
            remote_request_id: Some(told.id.clone()),
            ..KvTransferParams::default()
        };
        let body = Chunk {
            kv_transfer_params: Some(params),
            ..Chunk::default()
        };
        self.says(
            told.link,
            &FromEngine::Chunk {
                id: told.id.clone(),
                body,
            },
        );
        self.says(
            told.link,
            &FromEngine::Done {
                id: told.id.clone(),
                load: None,
            },
        );
    }

    pub fn piece(&mut self, told: &Told, text: &str, finish: Option<&str>) {
        let choice = Choice {
            index: 0,
            text: text.into(),
            finish_reason: finish.map(str::to_string),
        };
        let usage = finish.map(|_| EngineUsage {
            prompt_tokens: 9,
            completion_tokens: 2,
            total_tokens: 11,
            prompt_tokens_details: None,
        });
        let body = Chunk {
            choices: vec![choice],
            usage,
            kv_transfer_params: None,
        };
        self.says(
            told.link,
            &FromEngine::Chunk {
                id: told.id.clone(),
                body,
            },
        );
    }

    pub fn done(&mut self, told: &Told) {
        self.says(
            told.link,
            &FromEngine::Done {
                id: told.id.clone(),
                load: None,
            },
        );
    }

    /// The write's end, with what the server counted; without a prompt it counted nothing.
    pub fn end(&mut self, told: &Told, prompt: u32, output: u32) {
        let choice = Choice {
            index: 0,
            text: "yes".into(),
            finish_reason: Some("stop".into()),
        };
        let usage = EngineUsage {
            prompt_tokens: prompt,
            completion_tokens: output,
            total_tokens: prompt + output,
            prompt_tokens_details: None,
        };
        let usage = (prompt > 0).then_some(usage);
        let body = Chunk {
            choices: vec![choice],
            usage,
            kv_transfer_params: None,
        };
        self.says(
            told.link,
            &FromEngine::Chunk {
                id: told.id.clone(),
                body,
            },
        );
        self.done(told);
    }

    pub fn error(&mut self, told: &Told, status: u16, code: Option<&str>) {
        let error = EngineError {
            message: "no".into(),
            code: code.map(str::to_string),
        };
        self.says(
            told.link,
            &FromEngine::Error {
                id: told.id.clone(),
                status,
                error,
                load: None,
            },
        );
    }

    /// Asks, reads, and gives the write that follows.
    pub fn begin_write(&mut self, session: SessionId, class: &str, key: &str, input: &str) -> Told {
        self.ask(session, class, key, input);
        let read = self.take();
        assert!(read.is_read(), "the first attempt reads");
        self.pass(0.01);
        self.read_done(&read);
        self.take()
    }

    /// Events said to a session since the last call.
    pub fn heard(&mut self, session: SessionId) -> Vec<ServerEvent> {
        let (mine, rest) = std::mem::take(&mut self.said)
            .into_iter()
            .partition(|(s, _)| *s == session);
        self.said = rest;
        let mine: Vec<(SessionId, ServerEvent)> = mine;
        mine.into_iter().map(|(_, e)| e).collect()
    }

    pub fn kinds(&mut self, session: SessionId) -> Vec<String> {
        self.heard(session).into_iter().map(|e| e.kind).collect()
    }

    pub fn name_of(link: LinkId) -> &'static str {
        ["r1", "r2", "w1", "w2"]
            .into_iter()
            .find(|n| server_id(n) == link.server)
            .unwrap_or("?")
    }
}
