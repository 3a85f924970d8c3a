//! Randomized tests: clients, model servers and the workflow coordinator act, fail and disconnect in random order, and
//! the machine's guarantees for requests and records have to hold for every seed.
mod common;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bitternlatch_core::record::{read, replay, Entry, RecordError, Writer};
use bitternlatch_core::{Input, LinkId, Machine, Micros, Output, SessionId, Settings};
use bitternlatch_membership::QuorumState;
use bitternlatch_protocol::client::ServerEvent;
use bitternlatch_protocol::engine::{
    decode, encode, Choice, Chunk, EngineError, EngineState, FromEngine, KvTransferParams,
    ToEngine, CODE_FULL, CODE_STATE_GONE,
};
use bitternlatch_workflow::{AttemptOutcome, Command, Event, RejectReason};
use common::{four_servers, SETTINGS, START_US};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A machine together with simulated clients, model servers and a workflow coordinator, which act in an order that a
/// seed determines.
struct Simulation {
    machine: Machine,
    rng: Xoshiro256PlusPlus,
    now: Micros,
    entries: Vec<Entry>,
    /// Established connections to servers.
    open: Vec<LinkId>,
    /// Connections that the machine has requested and that are not established.
    connecting: Vec<LinkId>,
    /// Completion requests at servers that have not ended: link, wire id, whether it is a prefill, prompt.
    completions: Vec<(LinkId, String, bool, String)>,
    /// For each prompt of the unsafe class, wire ids of the attempts that were sent to a decode server and not
    /// rejected.
    possible_runs: BTreeMap<String, BTreeSet<String>>,
    /// KV cache states held at prefill servers, by the wire id of the attempt that created them.
    held_kv_states: BTreeMap<String, LinkId>,
    sessions: BTreeSet<SessionId>,
    /// Number of requests sent, by session and the value of their `try` metadata.
    sent_requests: BTreeMap<(SessionId, String), u32>,
    /// Number of final events received, by session and `try` metadata.
    final_events: BTreeMap<(SessionId, String), u32>,
    /// The `try` metadata of each response, by session and response id.
    try_by_response: BTreeMap<(SessionId, String), String>,
    /// Number of events received for a request after its final event.
    events_after_final: u32,
    /// Number of the last request.
    last_number: u64,
    /// Whether each request is the only step of a workflow. The simulated coordinator then answers commands in order
    /// and loses some.
    workflow_steps: bool,
    /// Commands that the coordinator has not answered, oldest first.
    pending_commands: VecDeque<Command>,
    /// Outcome of each step at the coordinator, by workflow; `None` while its attempt may be running.
    step_outcomes: BTreeMap<String, Option<AttemptOutcome>>,
    /// Until when each step may be sent, microseconds, by workflow.
    permitted_until_us: BTreeMap<String, u64>,
}

impl Simulation {
    fn new(seed: u64, workflow_steps: bool) -> Simulation {
        let text = if workflow_steps {
            workflow_settings()
        } else {
            SETTINGS.to_string()
        };
        let settings = Settings::parse("test", &text).expect("settings");
        let start = Entry::Start {
            settings: text,
            seed,
        };
        let mut simulation = Simulation {
            machine: Machine::new(settings, seed),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: Micros(START_US),
            entries: vec![start],
            open: vec![],
            connecting: vec![],
            completions: vec![],
            possible_runs: BTreeMap::new(),
            held_kv_states: BTreeMap::new(),
            sessions: BTreeSet::new(),
            sent_requests: BTreeMap::new(),
            final_events: BTreeMap::new(),
            try_by_response: BTreeMap::new(),
            events_after_final: 0,
            last_number: 1,
            workflow_steps,
            pending_commands: VecDeque::new(),
            step_outcomes: BTreeMap::new(),
            permitted_until_us: BTreeMap::new(),
        };
        simulation.step(Input::ServerList(four_servers()));
        if workflow_steps {
            let (state, until) = (QuorumState::Whole, Micros(u64::MAX));
            simulation.step(Input::QuorumState {
                state,
                present: vec!["d2".into()],
                until,
            });
        }
        simulation
    }

    fn random_below(&mut self, n: usize) -> usize {
        (self.rng.next_u64() % n.max(1) as u64) as usize
    }

    fn step(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.machine.step(self.now, input.clone(), &mut outputs);
        for output in outputs.clone() {
            match output {
                Output::SendToClient { session, text } => self.on_client_event(session, &text),
                Output::Connect { link, .. } => self.connecting.push(link),
                Output::CloseLink { link } => self.end_link(link),
                Output::SendToServer { link, text, .. } => self.on_server_message(link, &text),
                Output::Workflow(command) => self.pending_commands.push_back(command),
                _ => {}
            }
        }
        self.entries.push(Entry::Step {
            at: self.now,
            input,
            outputs,
        });
    }

    fn on_client_event(&mut self, session: SessionId, text: &str) {
        assert!(
            self.sessions.contains(&session),
            "message to a closed session"
        );
        let event: ServerEvent = serde_json::from_str(text).expect("an event");
        let id = event
            .response
            .as_ref()
            .map(|r| r.id.clone())
            .or(event.response_id.clone())
            .unwrap_or_default();
        let key = (session, id);
        if let Some(response) = &event.response {
            let label = response.metadata.get("try").cloned().unwrap_or_default();
            // A recorded answer is sent again with the same response id but the metadata of the new try.
            self.try_by_response.insert(key.clone(), label);
        }
        let label = self.try_by_response.get(&key).cloned().unwrap_or_default();
        let count = self.final_events.entry((session, label)).or_default();
        if event.is_final() {
            *count += 1;
        } else if *count > 0 {
            self.events_after_final += 1;
        }
    }

    fn on_server_message(&mut self, link: LinkId, text: &str) {
        if !self.open.contains(&link) {
            return;
        }
        match decode::<ToEngine>(text).expect("a message") {
            ToEngine::Completion { id, body } => {
                let is_prefill = body
                    .kv_transfer_params
                    .as_ref()
                    .is_some_and(|k| k.do_remote_decode);
                if !is_prefill && body.prompt.starts_with("booking") {
                    let permitted_until_us = self
                        .permitted_until_us
                        .get(&body.prompt)
                        .copied()
                        .unwrap_or(0);
                    assert!(
                        !self.workflow_steps || self.now.0 < permitted_until_us,
                        "'{}' was sent without permission",
                        body.prompt
                    );
                    self.possible_runs
                        .entry(body.prompt.clone())
                        .or_default()
                        .insert(id.clone());
                }
                let fetched_state = body
                    .kv_transfer_params
                    .as_ref()
                    .and_then(|k| k.remote_request_id.clone());
                if let Some(state) = fetched_state {
                    self.held_kv_states.remove(&state);
                }
                self.completions.push((link, id, is_prefill, body.prompt));
            }
            ToEngine::Release { id } => drop(self.held_kv_states.remove(&id)),
            _ => {}
        }
    }

    /// Removes a connection and all that depended on it at its server.
    fn end_link(&mut self, link: LinkId) {
        self.open.retain(|l| *l != link);
        self.completions.retain(|o| o.0 != link);
        self.held_kv_states.retain(|_, l| *l != link);
    }

    /// Performs one randomly chosen action and advances the clock by a random time of at most 60 ms.
    fn random_action(&mut self) {
        if self.workflow_steps && self.random_below(2) == 0 {
            self.answer_oldest_command();
        }
        match self.random_below(12) {
            0 => self.open_links(),
            1 | 2 => self.send_request(),
            3 => self.close_random_session(),
            4 if self.random_below(4) == 0 => self.close_random_link(),
            4 => {}
            _ => self.send_random_server_message(),
        }
        let at = self.now.0 + self.rng.next_u64() % 60_000;
        while let Some(due) = self.machine.next_wake().filter(|d| d.0 <= at) {
            self.now = Micros(due.0.max(self.now.0 + 1));
            self.step(Input::Tick);
        }
        self.now = Micros(at.max(self.now.0));
    }

    /// Each requested connection fails, stays pending or is established with a hello message.
    fn open_links(&mut self) {
        for link in std::mem::take(&mut self.connecting) {
            match self.random_below(5) {
                0 => self.step(Input::LinkFailed {
                    link,
                    reason: "refused".into(),
                }),
                1 => self.connecting.push(link),
                _ => {
                    self.open.push(link);
                    self.step(Input::LinkUp { link });
                    let uptime_s = if self.random_below(3) == 0 { 1.0 } else { 1e5 };
                    let hello = FromEngine::Hello {
                        engine_id: String::new(),
                        uptime_s,
                        state: EngineState::Ready,
                    };
                    self.step(Input::LinkText {
                        link,
                        text: encode(&hello),
                    });
                }
            }
        }
    }

    /// Sends a request from one of seven sessions. A third of them repeat the idempotency key of an earlier request.
    fn send_request(&mut self) {
        self.last_number += 1;
        let session = SessionId(self.last_number % 7);
        if self.sessions.insert(session) {
            self.step(Input::SessionOpened {
                session,
                caller: None,
            });
        }
        let class = ["query", "booking"][self.random_below(2)];
        let number = if self.random_below(3) == 0 {
            self.last_number.saturating_sub(20)
        } else {
            self.last_number
        };
        let text = format!("{class} {number}");
        let mut create = serde_json::json!({ "type": "response.create", "model": "m", "input": text,
            "metadata": { "class": class, "idempotency_key": text, "try": format!("{text}/{}", self.last_number) } });
        if self.workflow_steps {
            let meta = &mut create["metadata"];
            (
                meta["workflow"],
                meta["workflow_epoch"],
                meta["workflow_step"],
            ) = (text.as_str().into(), "1".into(), "1".into());
        }
        *self
            .sent_requests
            .entry((session, format!("{text}/{}", self.last_number)))
            .or_default() += 1;
        self.step(Input::SessionText {
            session,
            text: create.to_string(),
        });
    }

    fn close_random_session(&mut self) {
        let all: Vec<SessionId> = self.sessions.iter().copied().collect();
        if let Some(session) = all.get(self.random_below(all.len())).copied() {
            self.sessions.remove(&session);
            self.step(Input::SessionClosed { session });
            self.sent_requests.retain(|k, _| k.0 != session);
            self.final_events.retain(|k, _| k.0 != session);
            self.try_by_response.retain(|k, _| k.0 != session);
        }
    }

    /// The coordinator takes its oldest pending command. Some commands are rejected without effect, and some answers
    /// are lost after the command took effect.
    fn answer_oldest_command(&mut self) {
        let Some(command) = self.pending_commands.pop_front() else {
            return;
        };
        let call = command.call();
        let event = match command {
            _ if self.random_below(12) == 0 => {
                let reason = [
                    RejectReason::NoMajority,
                    RejectReason::Busy,
                    RejectReason::NotStored,
                ][self.random_below(3)];
                Event::Rejected { call, reason }
            }
            Command::Intend { workflow, .. } => {
                let name = workflow.trim_start_matches('/').to_string();
                let rejected = |reason| Event::Rejected { call, reason };
                match self.step_outcomes.get(&name) {
                    Some(None) => rejected(RejectReason::Busy),
                    Some(Some(AttemptOutcome::MayHaveRun)) => rejected(RejectReason::Unsettled),
                    Some(Some(AttemptOutcome::Done { result, .. })) => Event::AlreadyDone {
                        call,
                        result: result.clone(),
                    },
                    None | Some(Some(AttemptOutcome::NeverRan)) => {
                        let until_us = self.now.0 + self.rng.next_u64() % 2_000_000;
                        self.step_outcomes.insert(name.clone(), None);
                        self.permitted_until_us.insert(name, until_us);
                        Event::SendPermitted { call, until_us }
                    }
                }
            }
            Command::ReportOutcome {
                workflow, outcome, ..
            } => {
                let name = workflow.trim_start_matches('/').to_string();
                let done = matches!(
                    self.step_outcomes.get(&name),
                    Some(Some(AttemptOutcome::Done { .. }))
                );
                if !done {
                    self.step_outcomes.insert(name, Some(outcome));
                }
                Event::Committed { call }
            }
            other => panic!("{other:?}"),
        };
        if self.random_below(12) > 0 {
            self.step(Input::Workflow(event));
        }
    }

    fn close_random_link(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let at = self.random_below(self.open.len());
        let link = self.open[at];
        self.end_link(link);
        self.step(Input::LinkClosed {
            link,
            reason: "reset".into(),
        });
    }

    /// Sends a random message for one of the completions at the servers, or drops the completion without an answer.
    fn send_random_server_message(&mut self) {
        if self.completions.is_empty() {
            return;
        }
        let at = self.random_below(self.completions.len());
        let (link, id, is_prefill, prompt) = self.completions[at].clone();
        let send = |simulation: &mut Simulation, message: &FromEngine| {
            simulation.step(Input::LinkText {
                link,
                text: encode(message),
            })
        };
        let error = |code: Option<&str>| FromEngine::Error {
            id: id.clone(),
            status: 500,
            error: EngineError {
                message: String::new(),
                code: code.map(str::to_string),
            },
            load: None,
        };
        let chunk =
            |text: &str, finish: Option<&str>, kv: Option<KvTransferParams>| FromEngine::Chunk {
                id: id.clone(),
                body: Chunk {
                    choices: vec![Choice {
                        index: 0,
                        text: text.into(),
                        finish_reason: finish.map(str::to_string),
                    }],
                    usage: None,
                    kv_transfer_params: kv,
                },
            };
        let done = FromEngine::Done {
            id: id.clone(),
            load: None,
        };
        let choice = self.random_below(10);
        if choice > 1 || !is_prefill {
            self.completions.retain(|o| o.1 != id || choice == 1);
        }
        match choice {
            0 | 1 if is_prefill => {}
            0 | 1 => send(self, &chunk("word", None, None)),
            2 => send(self, &error(None)),
            3 => {
                self.record_rejection(&prompt, &id);
                send(self, &error(Some(CODE_FULL)));
            }
            4 if !is_prefill => {
                self.record_rejection(&prompt, &id);
                send(self, &error(Some(CODE_STATE_GONE)));
            }
            5 => {} // The completion is dropped without an answer.
            _ if is_prefill => {
                let kv = KvTransferParams {
                    do_remote_prefill: true,
                    remote_request_id: Some(id.clone()),
                    ..KvTransferParams::default()
                };
                self.held_kv_states.insert(id.clone(), link);
                send(self, &chunk("", None, Some(kv)));
                send(self, &done);
            }
            _ => {
                send(self, &chunk("word", Some("stop"), None));
                send(self, &done);
            }
        }
    }

    /// A server rejects an attempt, so it does not count as run. A server that has started a response no longer
    /// rejects.
    fn record_rejection(&mut self, prompt: &str, id: &str) {
        if let Some(runs) = self.possible_runs.get_mut(prompt) {
            runs.remove(id);
        }
    }

    /// Checks the guarantees that hold once all requests have ended.
    fn check(&self, seed: u64) {
        assert_eq!(
            self.events_after_final, 0,
            "seed {seed}: events after a final answer"
        );
        for (key, sent) in &self.sent_requests {
            // Final events without a response id are errors for requests that were not admitted; they are not counted
            // here.
            let finals = self.final_events.get(key).copied().unwrap_or(0);
            assert!(
                finals <= *sent,
                "seed {seed}: {key:?} has {finals} final events"
            );
        }
        for (prompt, ids) in &self.possible_runs {
            assert!(
                ids.len() <= 1,
                "seed {seed}: '{prompt}' may have run as {ids:?}"
            );
        }
        assert!(
            self.held_kv_states.is_empty(),
            "seed {seed}: KV states left: {:?}",
            self.held_kv_states
        );
        assert_eq!(
            self.machine.counts().requests,
            0,
            "seed {seed}: requests left"
        );
    }

    /// Admitted requests that did not get exactly one final event.
    fn unanswered_requests(&self) -> Vec<&(SessionId, String)> {
        let admitted = self
            .try_by_response
            .iter()
            .map(|((s, _), label)| (*s, label.clone()));
        let lacks_final =
            |k: &(SessionId, String)| self.final_events.get(k).copied().unwrap_or(0) != 1;
        let admitted: BTreeSet<(SessionId, String)> = admitted.filter(lacks_final).collect();
        self.sent_requests
            .keys()
            .filter(|k| admitted.contains(*k))
            .collect()
    }
}

fn workflow_settings() -> String {
    let peer = |i: u32| {
        format!(
            "[[cluster.roster]]\nname = \"d{i}\"\naddress = \"127.0.0.1:{}\"\n",
            7000 + i
        )
    };
    let cluster = "[cluster]\nname = \"hall\"\nsecret = \"secret\"\n";
    format!(
        "{SETTINGS}{cluster}{}{}[cluster.workflows]\n",
        peer(1),
        peer(2)
    )
}

fn run(seed: u64) -> Simulation {
    run_with(seed, false)
}

fn run_with(seed: u64, workflow_steps: bool) -> Simulation {
    let mut simulation = Simulation::new(seed, workflow_steps);
    (0..400).for_each(|_| simulation.random_action());
    // No more requests are sent. Within 40 s all deadlines pass; a stalled stream ends within two deadlines.
    let end = Micros(simulation.now.0 + 40_000_000);
    while let Some(due) = simulation.machine.next_wake().filter(|d| *d < end) {
        simulation.now = Micros(due.0.max(simulation.now.0 + 1));
        simulation.step(Input::Tick);
    }
    simulation
}

#[test]
fn random_order_keeps_request_invariants() {
    for seed in 0..300 {
        let simulation = run(seed);
        assert!(
            simulation.unanswered_requests().is_empty(),
            "seed {seed}: unanswered {:?}",
            simulation.unanswered_requests()
        );
        simulation.check(seed);
    }
}

#[test]
fn random_order_keeps_workflow_invariants() {
    let mut done = 0;
    for seed in 0..150 {
        let simulation = run_with(seed, true);
        assert!(
            simulation.unanswered_requests().is_empty(),
            "seed {seed}: unanswered {:?}",
            simulation.unanswered_requests()
        );
        simulation.check(seed);
        done += simulation
            .step_outcomes
            .values()
            .filter(|f| matches!(f, Some(AttemptOutcome::Done { .. })))
            .count();
    }
    assert!(done > 150, "{done} steps done");
    let simulation = run_with(7, true);
    let recorded = read(encode_record(&simulation.entries).as_slice()).expect("a good record");
    assert_eq!(replay(&recorded, false).expect("replays").difference, None);
}

fn encode_record(entries: &[Entry]) -> Vec<u8> {
    let mut data = Vec::new();
    let mut writer = Writer::new(&mut data).expect("memory");
    for entry in entries {
        writer.append(entry).expect("memory");
    }
    writer.flush().expect("memory");
    data
}

#[test]
fn replay_identifies_changed_output() {
    let simulation = run(7);
    let recorded = read(encode_record(&simulation.entries).as_slice()).expect("a good record");
    assert_eq!(
        (recorded.entries.len(), recorded.torn_bytes),
        (simulation.entries.len(), 0)
    );
    let found = replay(&recorded, false).expect("replays");
    assert_eq!(
        (found.steps, found.difference),
        (simulation.entries.len() - 1, None)
    );
    let mut changed = recorded;
    let (at, step) = changed
        .entries
        .iter_mut()
        .enumerate()
        .skip(50)
        .find_map(|(i, e)| match e {
            Entry::Step { outputs, .. } if !outputs.is_empty() => Some((i, outputs)),
            _ => None,
        })
        .expect("a step with outputs");
    step.pop();
    let found = replay(&changed, false).expect("replays");
    assert_eq!(found.difference.map(|d| d.step), Some(at));
}

#[test]
fn torn_record_is_truncated_and_damaged_block_is_reported() {
    let simulation = run(3);
    let many: Vec<Entry> = std::iter::repeat_n(&simulation.entries, 3)
        .flatten()
        .cloned()
        .collect();
    let data = encode_record(&many);
    let whole = read(data.as_slice()).expect("good").entries.len();
    let torn = read(&data[..data.len() - 1]).expect("the rest is good");
    assert!(torn.entries.len() < whole && torn.torn_bytes > 0);
    let mut bad = data.clone();
    bad[40] ^= 1;
    assert!(matches!(
        read(bad.as_slice()),
        Err(RecordError::Block { at: 8, .. })
    ));
    assert!(matches!(
        read(&b"BLREC\0\0\x09"[..]),
        Err(RecordError::Magic(_))
    ));
    assert!(matches!(read(&b""[..]), Err(RecordError::Magic(_))));
    let long = [&data[..8], &u32::MAX.to_le_bytes(), &[0; 8]].concat();
    assert!(matches!(
        read(long.as_slice()),
        Err(RecordError::Block { .. })
    ));
}

/// Hash over the serialized steps of the first 20 seeds, in order.
fn digest(workflow_steps: bool) -> String {
    let mut hash = blake3::Hasher::new();
    for seed in 0..20 {
        for entry in run_with(seed, workflow_steps).entries {
            hash.update(&serde_json::to_vec(&entry).expect("JSON"));
        }
    }
    hash.finalize().to_hex().to_string()
}

#[test]
fn order_of_outputs_keeps_its_digest() {
    assert_eq!(
        digest(false),
        "9814878ad8c1b119f90437024e7f301903e0eb5412d63368046c900703f85f29"
    );
    assert_eq!(
        digest(true),
        "a28828fe205329586550b2a8058075e1edc26e351ef445fd617466ff916102fc"
    );
}
