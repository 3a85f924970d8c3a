//! Servers that answer, fail, fall silent and reset in any order: the rules hold for every seed.
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

/// One message at a time over a world in which anything may happen.
struct Chaos {
    machine: Machine,
    rng: Xoshiro256PlusPlus,
    now: Micros,
    entries: Vec<Entry>,
    open: Vec<LinkId>,
    dialled: Vec<LinkId>,
    /// Completions at servers: link, id, whether it reads, the text asked.
    out: Vec<(LinkId, String, bool, String)>,
    /// Times that a booking was told to a writer and not rejected.
    runs: BTreeMap<String, BTreeSet<String>>,
    states: BTreeMap<String, LinkId>,
    sessions: BTreeSet<SessionId>,
    /// Asked by session and text, and the finals that came.
    asked: BTreeMap<(SessionId, String), u32>,
    finals: BTreeMap<(SessionId, String), u32>,
    by_response: BTreeMap<(SessionId, String), String>,
    after: u32,
    next: u64,
    /// Requests are steps of workflows, one step each; the workflow coordinator is played in order, with losses.
    steps: bool,
    asks: VecDeque<Command>,
    /// What is known of each step, and until when it may leave.
    fates: BTreeMap<String, Option<AttemptOutcome>>,
    permits: BTreeMap<String, u64>,
}

impl Chaos {
    fn new(seed: u64, steps: bool) -> Chaos {
        let text = if steps {
            workflows()
        } else {
            SETTINGS.to_string()
        };
        let settings = Settings::parse("test", &text).expect("settings");
        let start = Entry::Start {
            settings: text,
            seed,
        };
        let mut chaos = Chaos {
            machine: Machine::new(settings, seed),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: Micros(START_US),
            entries: vec![start],
            open: vec![],
            dialled: vec![],
            out: vec![],
            runs: BTreeMap::new(),
            states: BTreeMap::new(),
            sessions: BTreeSet::new(),
            asked: BTreeMap::new(),
            finals: BTreeMap::new(),
            by_response: BTreeMap::new(),
            after: 0,
            next: 1,
            steps,
            asks: VecDeque::new(),
            fates: BTreeMap::new(),
            permits: BTreeMap::new(),
        };
        chaos.step(Input::ServerList(four_servers()));
        if steps {
            let (standing, until) = (QuorumState::Whole, Micros(u64::MAX));
            chaos.step(Input::QuorumState {
                state: standing,
                present: vec!["d2".into()],
                until,
            });
        }
        chaos
    }

    fn below(&mut self, n: usize) -> usize {
        (self.rng.next_u64() % n.max(1) as u64) as usize
    }

    fn step(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.machine.step(self.now, input.clone(), &mut outputs);
        for output in outputs.clone() {
            match output {
                Output::SendToClient { session, text } => self.heard(session, &text),
                Output::Connect { link, .. } => self.dialled.push(link),
                Output::CloseLink { link } => self.end_link(link),
                Output::SendToServer { link, text, .. } => self.told(link, &text),
                Output::Workflow(ask) => self.asks.push_back(ask),
                _ => {}
            }
        }
        self.entries.push(Entry::Step {
            at: self.now,
            input,
            outputs,
        });
    }

    fn heard(&mut self, session: SessionId, text: &str) {
        assert!(
            self.sessions.contains(&session),
            "nothing is said to a closed session"
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
            let asked = response.metadata.get("try").cloned().unwrap_or_default();
            // A recorded answer is given again under its id, for another try.
            self.by_response.insert(key.clone(), asked);
        }
        let asked = self.by_response.get(&key).cloned().unwrap_or_default();
        let count = self.finals.entry((session, asked)).or_default();
        if event.is_final() {
            *count += 1;
        } else if *count > 0 {
            self.after += 1;
        }
    }

    fn told(&mut self, link: LinkId, text: &str) {
        if !self.open.contains(&link) {
            return;
        }
        match decode::<ToEngine>(text).expect("a message") {
            ToEngine::Completion { id, body } => {
                let reads = body
                    .kv_transfer_params
                    .as_ref()
                    .is_some_and(|k| k.do_remote_decode);
                if !reads && body.prompt.starts_with("booking") {
                    let permit = self.permits.get(&body.prompt).copied().unwrap_or(0);
                    assert!(
                        !self.steps || self.now.0 < permit,
                        "'{}' leaves unpermitted",
                        body.prompt
                    );
                    self.runs
                        .entry(body.prompt.clone())
                        .or_default()
                        .insert(id.clone());
                }
                let waiting = body
                    .kv_transfer_params
                    .as_ref()
                    .and_then(|k| k.remote_request_id.clone());
                if let Some(state) = waiting {
                    self.states.remove(&state);
                }
                self.out.push((link, id, reads, body.prompt));
            }
            ToEngine::Release { id } => drop(self.states.remove(&id)),
            _ => {}
        }
    }

    fn end_link(&mut self, link: LinkId) {
        self.open.retain(|l| *l != link);
        self.out.retain(|o| o.0 != link);
        self.states.retain(|_, l| *l != link);
    }

    /// One of the things that may happen next.
    fn act(&mut self) {
        if self.steps && self.below(2) == 0 {
            self.answer_ask();
        }
        match self.below(12) {
            0 => self.link_up(),
            1 | 2 => self.ask(),
            3 => self.session_drops(),
            4 if self.below(4) == 0 => self.link_drops(),
            4 => {}
            _ => self.host_says(),
        }
        let at = self.now.0 + self.rng.next_u64() % 60_000;
        while let Some(due) = self.machine.next_wake().filter(|d| d.0 <= at) {
            self.now = Micros(due.0.max(self.now.0 + 1));
            self.step(Input::Tick);
        }
        self.now = Micros(at.max(self.now.0));
    }

    fn link_up(&mut self) {
        for link in std::mem::take(&mut self.dialled) {
            match self.below(5) {
                0 => self.step(Input::LinkFailed {
                    link,
                    reason: "refused".into(),
                }),
                1 => self.dialled.push(link),
                _ => {
                    self.open.push(link);
                    self.step(Input::LinkUp { link });
                    let uptime_s = if self.below(3) == 0 { 1.0 } else { 1e5 };
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

    fn ask(&mut self) {
        self.next += 1;
        let session = SessionId(self.next % 7);
        if self.sessions.insert(session) {
            self.step(Input::SessionOpened {
                session,
                caller: None,
            });
        }
        let class = ["query", "booking"][self.below(2)];
        let number = if self.below(3) == 0 {
            self.next.saturating_sub(20)
        } else {
            self.next
        };
        let text = format!("{class} {number}");
        let mut create = serde_json::json!({ "type": "response.create", "model": "m", "input": text,
            "metadata": { "class": class, "idempotency_key": text, "try": format!("{text}/{}", self.next) } });
        if self.steps {
            let meta = &mut create["metadata"];
            (
                meta["workflow"],
                meta["workflow_epoch"],
                meta["workflow_step"],
            ) = (text.as_str().into(), "1".into(), "1".into());
        }
        *self
            .asked
            .entry((session, format!("{text}/{}", self.next)))
            .or_default() += 1;
        self.step(Input::SessionText {
            session,
            text: create.to_string(),
        });
    }

    fn session_drops(&mut self) {
        let all: Vec<SessionId> = self.sessions.iter().copied().collect();
        if let Some(session) = all.get(self.below(all.len())).copied() {
            self.sessions.remove(&session);
            self.step(Input::SessionClosed { session });
            self.asked.retain(|k, _| k.0 != session);
            self.finals.retain(|k, _| k.0 != session);
            self.by_response.retain(|k, _| k.0 != session);
        }
    }

    /// The oldest question is answered: truthfully, or not at all, or by a refusal that changes nothing.
    fn answer_ask(&mut self) {
        let Some(ask) = self.asks.pop_front() else {
            return;
        };
        let call = ask.call();
        let told = match ask {
            _ if self.below(12) == 0 => {
                let why = [
                    RejectReason::NoMajority,
                    RejectReason::Busy,
                    RejectReason::NotStored,
                ][self.below(3)];
                Event::Rejected { call, reason: why }
            }
            Command::Intend { workflow, .. } => {
                let name = workflow.trim_start_matches('/').to_string();
                let refused = |why| Event::Rejected { call, reason: why };
                match self.fates.get(&name) {
                    Some(None) => refused(RejectReason::Busy),
                    Some(Some(AttemptOutcome::MayHaveRun)) => refused(RejectReason::Unsettled),
                    Some(Some(AttemptOutcome::Done { result, .. })) => Event::AlreadyDone {
                        call,
                        result: result.clone(),
                    },
                    None | Some(Some(AttemptOutcome::NeverRan)) => {
                        let until_us = self.now.0 + self.rng.next_u64() % 2_000_000;
                        self.fates.insert(name.clone(), None);
                        self.permits.insert(name, until_us);
                        Event::SendPermitted { call, until_us }
                    }
                }
            }
            Command::ReportOutcome {
                workflow,
                outcome: fate,
                ..
            } => {
                let name = workflow.trim_start_matches('/').to_string();
                let done = matches!(
                    self.fates.get(&name),
                    Some(Some(AttemptOutcome::Done { .. }))
                );
                if !done {
                    self.fates.insert(name, Some(fate));
                }
                Event::Committed { call }
            }
            other => panic!("{other:?}"),
        };
        if self.below(12) > 0 {
            self.step(Input::Workflow(told));
        }
    }

    fn link_drops(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let at = self.below(self.open.len());
        let link = self.open[at];
        self.end_link(link);
        self.step(Input::LinkClosed {
            link,
            reason: "reset".into(),
        });
    }

    fn host_says(&mut self) {
        if self.out.is_empty() {
            return;
        }
        let at = self.below(self.out.len());
        let (link, id, reads, prompt) = self.out[at].clone();
        let say = |c: &mut Chaos, m: &FromEngine| {
            c.step(Input::LinkText {
                link,
                text: encode(m),
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
        let what = self.below(10);
        if what > 1 || !reads {
            self.out.retain(|o| o.1 != id || what == 1);
        }
        match what {
            0 | 1 if reads => {}
            0 | 1 => say(self, &chunk("word", None, None)),
            2 => say(self, &error(None)),
            3 => {
                self.turned_away(&prompt, &id);
                say(self, &error(Some(CODE_FULL)));
            }
            4 if !reads => {
                self.turned_away(&prompt, &id);
                say(self, &error(Some(CODE_STATE_GONE)));
            }
            5 => {} // Silence: its answer is lost.
            _ if reads => {
                let kv = KvTransferParams {
                    do_remote_prefill: true,
                    remote_request_id: Some(id.clone()),
                    ..KvTransferParams::default()
                };
                self.states.insert(id.clone(), link);
                say(self, &chunk("", None, Some(kv)));
                say(self, &done);
            }
            _ => {
                say(self, &chunk("word", Some("stop"), None));
                say(self, &done);
            }
        }
    }

    /// A server that has begun an answer does not turn it away any more.
    fn turned_away(&mut self, prompt: &str, id: &str) {
        if let Some(runs) = self.runs.get_mut(prompt) {
            runs.remove(id);
        }
    }

    fn check(&self, seed: u64) {
        assert_eq!(self.after, 0, "seed {seed}: events after a final answer");
        for (key, n) in &self.asked {
            // Finals without an id are errors, which end a request that was not taken.
            let finals = self.finals.get(key).copied().unwrap_or(0);
            assert!(finals <= *n, "seed {seed}: {key:?} has {finals} finals");
        }
        for (prompt, ids) in &self.runs {
            assert!(
                ids.len() <= 1,
                "seed {seed}: '{prompt}' may have run as {ids:?}"
            );
        }
        assert!(
            self.states.is_empty(),
            "seed {seed}: states left: {:?}",
            self.states
        );
        assert_eq!(
            self.machine.counts().requests,
            0,
            "seed {seed}: requests left"
        );
    }

    /// Taken requests without a final answer.
    fn owed(&self) -> Vec<&(SessionId, String)> {
        let taken = self
            .by_response
            .iter()
            .map(|((s, _), asked)| (*s, asked.clone()));
        let open = |k: &(SessionId, String)| self.finals.get(k).copied().unwrap_or(0) != 1;
        let taken: BTreeSet<(SessionId, String)> = taken.filter(open).collect();
        self.asked.keys().filter(|k| taken.contains(*k)).collect()
    }
}

fn workflows() -> String {
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

fn run(seed: u64) -> Chaos {
    run_with(seed, false)
}

fn run_with(seed: u64, steps: bool) -> Chaos {
    let mut chaos = Chaos::new(seed, steps);
    (0..400).for_each(|_| chaos.act());
    // No more is asked; all deadlines pass. Streams that stall end within two of them.
    let end = Micros(chaos.now.0 + 40_000_000);
    while let Some(due) = chaos.machine.next_wake().filter(|d| *d < end) {
        chaos.now = Micros(due.0.max(chaos.now.0 + 1));
        chaos.step(Input::Tick);
    }
    chaos
}

#[test]
fn random_order_keeps_request_invariants() {
    for seed in 0..300 {
        let chaos = run(seed);
        assert!(
            chaos.owed().is_empty(),
            "seed {seed}: owed {:?}",
            chaos.owed()
        );
        chaos.check(seed);
    }
}

#[test]
fn random_order_keeps_workflow_invariants() {
    let mut done = 0;
    for seed in 0..150 {
        let chaos = run_with(seed, true);
        assert!(
            chaos.owed().is_empty(),
            "seed {seed}: owed {:?}",
            chaos.owed()
        );
        chaos.check(seed);
        done += chaos
            .fates
            .values()
            .filter(|f| matches!(f, Some(AttemptOutcome::Done { .. })))
            .count();
    }
    assert!(done > 150, "{done} steps done");
    let chaos = run_with(7, true);
    let recorded = read(written(&chaos.entries).as_slice()).expect("a good record");
    assert_eq!(replay(&recorded, false).expect("replays").difference, None);
}

fn written(entries: &[Entry]) -> Vec<u8> {
    let mut data = Vec::new();
    let mut writer = Writer::new(&mut data).expect("memory");
    for entry in entries {
        writer.append(entry).expect("memory");
    }
    writer.flush().expect("memory");
    data
}

#[test]
fn replay_names_changed_output() {
    let chaos = run(7);
    let recorded = read(written(&chaos.entries).as_slice()).expect("a good record");
    assert_eq!(
        (recorded.entries.len(), recorded.torn_bytes),
        (chaos.entries.len(), 0)
    );
    let found = replay(&recorded, false).expect("replays");
    assert_eq!(
        (found.steps, found.difference),
        (chaos.entries.len() - 1, None)
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
fn torn_record_is_cut_and_damaged_block_is_named() {
    let chaos = run(3);
    let many: Vec<Entry> = std::iter::repeat_n(&chaos.entries, 3)
        .flatten()
        .cloned()
        .collect();
    let data = written(&many);
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

/// Hash over the serialized steps of the first seeds, in their order.
fn digest(steps: bool) -> String {
    let mut hash = blake3::Hasher::new();
    for seed in 0..20 {
        for entry in run_with(seed, steps).entries {
            hash.update(&serde_json::to_vec(&entry).expect("JSON"));
        }
    }
    hash.finalize().to_hex().to_string()
}

#[test]
fn order_of_outputs_keeps_its_digest() {
    assert_eq!(
        digest(false),
        "36f66247bc402a26f245d071724003977dabe17bc5732f18f75c38e6871a02d5"
    );
    assert_eq!(
        digest(true),
        "a51f580305570d7dbd0a615c1f39213b3bd7b4c31edb0f7b039580e670cb117e"
    );
}
