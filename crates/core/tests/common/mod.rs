//! A dispatcher machine whose clients and model servers are simulated by the test, without sockets and with a clock that
//! the test advances.
#![allow(dead_code)]

use bitternlatch_core::{Input, LinkId, Machine, Micros, Output, SessionId, Settings};
use bitternlatch_inventory::{parse, server_id, ModelServer};
use bitternlatch_protocol::client::ServerEvent;
use bitternlatch_protocol::engine::{
    decode, encode, Choice, Chunk, CompletionRequest, EngineError, EngineState, EngineUsage,
    FromEngine, KvTransferParams, ToEngine,
};

/// Settings with two request classes, one safe and one unsafe to repeat, and one kind each of prefill and decode servers.
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

/// Clock time at which each test starts, microseconds.
pub const START_US: u64 = 1_000_000_000;

/// A completion request as a model server received it: one prefill or decode attempt.
#[derive(Clone, Debug)]
pub struct SentCompletion {
    pub link: LinkId,
    pub id: String,
    pub body: CompletionRequest,
}

impl SentCompletion {
    /// Whether the attempt only prefills the prompt, for a decode server to fetch the KV cache.
    pub fn is_prefill(&self) -> bool {
        self.body
            .kv_transfer_params
            .as_ref()
            .is_some_and(|k| k.do_remote_decode)
    }
}

/// The machine under test with everything that it has sent, sorted by kind.
pub struct Harness {
    pub machine: Machine,
    pub now: Micros,
    /// All outputs since the test last took them, in order.
    pub outputs: Vec<Output>,
    /// All inputs of the machine with their clock times, in order.
    pub inputs: Vec<(Micros, Input)>,
    /// Completion requests that the test has not yet taken for an answer.
    pub completions: Vec<SentCompletion>,
    /// Attempts that the machine cancelled, by link and attempt id.
    pub cancels: Vec<(LinkId, String)>,
    /// Attempts whose held KV cache the machine released, by link and attempt id.
    pub releases: Vec<(LinkId, String)>,
    /// Load probes that the machine sent, by link and probe id.
    pub probes: Vec<(LinkId, u64)>,
    /// Links that the machine asked to connect; emptied by [`Harness::connect_all`].
    pub connecting_links: Vec<LinkId>,
    pub logs: Vec<String>,
    /// Protocol faults that the machine reported to model servers.
    pub fault_messages: Vec<String>,
    /// Events sent to clients that the test has not yet taken.
    client_events: Vec<(SessionId, ServerEvent)>,
    pub stopped: bool,
}

/// Parses rows of a server list (`name,address,port,kind,state`).
pub fn server_list(rows: &str) -> Vec<ModelServer> {
    let text = format!("name,address,port,kind,state\n{rows}");
    parse("hosts.csv", &text)
        .expect("a valid server list")
        .into_values()
        .collect()
}

/// Prefill servers r1 and r2, decode servers w1 and w2.
pub fn four_servers() -> Vec<ModelServer> {
    server_list("r1,127.0.0.1,1,reader,\nr2,127.0.0.1,2,reader,\nw1,127.0.0.1,3,writer,\nw2,127.0.0.1,4,writer,\n")
}

pub fn settings() -> Settings {
    Settings::parse("test", SETTINGS).expect("valid settings")
}

impl Harness {
    pub fn new(seed: u64) -> Harness {
        Harness::with(settings(), seed)
    }

    pub fn with(settings: Settings, seed: u64) -> Harness {
        Harness {
            machine: Machine::new(settings, seed),
            now: Micros(START_US),
            outputs: Vec::new(),
            inputs: Vec::new(),
            completions: Vec::new(),
            cancels: Vec::new(),
            releases: Vec::new(),
            probes: Vec::new(),
            connecting_links: Vec::new(),
            logs: Vec::new(),
            fault_messages: Vec::new(),
            client_events: Vec::new(),
            stopped: false,
        }
    }

    /// A machine with [`four_servers`], all connected and past slow start.
    pub fn ready(seed: u64) -> Harness {
        let mut harness = Harness::new(seed);
        harness.step(Input::ServerList(four_servers()));
        harness.connect_all(1000.0);
        harness
    }

    /// Completes each pending connection and lets its server send its hello.
    pub fn connect_all(&mut self, uptime_s: f64) {
        for link in std::mem::take(&mut self.connecting_links) {
            self.step(Input::LinkUp { link });
            self.send_hello(link, uptime_s);
        }
    }

    /// Sends the hello of a ready server that started `uptime_s` seconds ago.
    pub fn send_hello(&mut self, link: LinkId, uptime_s: f64) {
        let engine_id = String::new();
        self.server_sends(
            link,
            &FromEngine::Hello {
                engine_id,
                uptime_s,
                state: EngineState::Ready,
            },
        );
    }

    /// Steps the machine once at the present time and sorts its outputs.
    pub fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        self.inputs.push((self.now, input.clone()));
        self.machine.step(self.now, input, &mut out);
        for output in out {
            match &output {
                Output::SendToClient { session, text } => {
                    let event = serde_json::from_str(text).expect("an event of the protocol");
                    self.client_events.push((*session, event));
                }
                Output::SendToServer { link, text, .. } => self.on_message_to_server(*link, text),
                Output::Connect { link, .. } => self.connecting_links.push(*link),
                Output::Log { text, .. } => self.logs.push(text.clone()),
                Output::Stopped => self.stopped = true,
                _ => {}
            }
            self.outputs.push(output);
        }
    }

    fn on_message_to_server(&mut self, link: LinkId, text: &str) {
        match decode::<ToEngine>(text).expect("a message to a server") {
            ToEngine::Completion { id, body } => self.completions.push(SentCompletion {
                link,
                id,
                body: *body,
            }),
            ToEngine::Cancel { id } => self.cancels.push((link, id)),
            ToEngine::Release { id } => self.releases.push((link, id)),
            ToEngine::Probe { id } => self.probes.push((link, id)),
            ToEngine::Fault { message } => self.fault_messages.push(message),
        }
    }

    /// Advances the clock, with a tick at each time at which the machine wants to be woken.
    pub fn advance(&mut self, seconds: f64) {
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

    /// Opens a client session without an authenticated caller.
    pub fn open_session(&mut self, session: u64) -> SessionId {
        let session = SessionId(session);
        self.step(Input::SessionOpened {
            session,
            caller: None,
        });
        session
    }

    /// Sends a client request; the start of the input is repeated in its metadata.
    pub fn send_request(&mut self, session: SessionId, class: &str, key: &str, input: &str) {
        let text = serde_json::json!({
            "type": "response.create", "model": "m", "input": input,
            "metadata": { "class": class, "idempotency_key": key, "try": &input[..input.len().min(100)] },
        });
        self.step(Input::SessionText {
            session,
            text: text.to_string(),
        });
    }

    /// Delivers a message of a model server to the machine.
    pub fn server_sends(&mut self, link: LinkId, message: &FromEngine) {
        self.step(Input::LinkText {
            link,
            text: encode(message),
        });
    }

    /// Takes the oldest completion request. Where there is none yet, 20 ms pass first, as the choice of a server may wait
    /// for load probes.
    pub fn next_completion(&mut self) -> SentCompletion {
        if self.completions.is_empty() {
            self.advance(0.02);
        }
        assert!(
            !self.completions.is_empty(),
            "no completion was sent; log: {:?}",
            self.logs
        );
        self.completions.remove(0)
    }

    /// The server reports that a prefill attempt is complete and that it holds the KV cache.
    pub fn finish_prefill(&mut self, completion: &SentCompletion) {
        let params = KvTransferParams {
            do_remote_prefill: true,
            remote_engine_id: Some("r".into()),
            remote_request_id: Some(completion.id.clone()),
            ..KvTransferParams::default()
        };
        let body = Chunk {
            kv_transfer_params: Some(params),
            ..Chunk::default()
        };
        self.server_sends(
            completion.link,
            &FromEngine::Chunk {
                id: completion.id.clone(),
                body,
            },
        );
        self.server_sends(
            completion.link,
            &FromEngine::Done {
                id: completion.id.clone(),
                load: None,
            },
        );
    }

    /// The server sends a chunk of the answer; with a finish reason it includes usage of 9 prompt and 2 output tokens.
    pub fn send_chunk(&mut self, completion: &SentCompletion, text: &str, finish: Option<&str>) {
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
        self.server_sends(
            completion.link,
            &FromEngine::Chunk {
                id: completion.id.clone(),
                body,
            },
        );
    }

    /// The server ends an attempt, without a load report.
    pub fn send_done(&mut self, completion: &SentCompletion) {
        self.server_sends(
            completion.link,
            &FromEngine::Done {
                id: completion.id.clone(),
                load: None,
            },
        );
    }

    /// The server sends the last chunk of a decode attempt and ends it. The chunk includes the usage in tokens, except where
    /// `prompt` is 0.
    pub fn finish_decode(&mut self, completion: &SentCompletion, prompt: u32, output: u32) {
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
        self.server_sends(
            completion.link,
            &FromEngine::Chunk {
                id: completion.id.clone(),
                body,
            },
        );
        self.send_done(completion);
    }

    /// The server answers an attempt with an error.
    pub fn send_error(&mut self, completion: &SentCompletion, status: u16, code: Option<&str>) {
        let error = EngineError {
            message: "no".into(),
            code: code.map(str::to_string),
        };
        self.server_sends(
            completion.link,
            &FromEngine::Error {
                id: completion.id.clone(),
                status,
                error,
                load: None,
            },
        );
    }

    /// Sends a request, completes its prefill, and returns the decode attempt that follows.
    pub fn start_decode(
        &mut self,
        session: SessionId,
        class: &str,
        key: &str,
        input: &str,
    ) -> SentCompletion {
        self.send_request(session, class, key, input);
        let prefill = self.next_completion();
        assert!(prefill.is_prefill(), "the first attempt is a prefill");
        self.advance(0.01);
        self.finish_prefill(&prefill);
        self.next_completion()
    }

    /// Takes the events sent to a session since the last call.
    pub fn take_events(&mut self, session: SessionId) -> Vec<ServerEvent> {
        let (of_session, others) = std::mem::take(&mut self.client_events)
            .into_iter()
            .partition(|(s, _)| *s == session);
        self.client_events = others;
        let of_session: Vec<(SessionId, ServerEvent)> = of_session;
        of_session.into_iter().map(|(_, e)| e).collect()
    }

    /// Takes the events sent to a session since the last call and returns their types.
    pub fn take_event_types(&mut self, session: SessionId) -> Vec<String> {
        self.take_events(session)
            .into_iter()
            .map(|e| e.kind)
            .collect()
    }

    /// Name of the server in [`four_servers`] that a link connects to; `?` for any other.
    pub fn server_name(link: LinkId) -> &'static str {
        ["r1", "r2", "w1", "w2"]
            .into_iter()
            .find(|n| server_id(n) == link.server)
            .unwrap_or("?")
    }
}
