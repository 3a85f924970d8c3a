//! One worker: a process that carries workflows, several at once, and looks for those that others left.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_net::lock;
use bitternlatch_protocol::client::{META_CLASS, META_IDEMPOTENCY_KEY};
use bitternlatch_protocol::workflow::{
    Claimed, StepFate, META_DO, META_EPOCH, META_STEP, META_WORKER, META_WORKFLOW,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::plan::{workflows, Agents, Planned};
use crate::client::{Came, Client};

/// The word that turns this program into a worker.
pub const AS_WORKER: &str = "--as-worker";

/// How long a worker waits for what no host is asked for, and for a step; shorter than any class's own time, so that it goes
/// elsewhere before its dispatcher has to have answered.
const PATIENCE: Duration = Duration::from_millis(2500);
const STEP_PATIENCE: Duration = Duration::from_millis(5000);
/// A worker that waits for a step says so often that it is alive.
const CARRY_EVERY: Duration = Duration::from_millis(800);
/// Before a workflow that another one carries is asked for again.
const LOOK_AGAIN: Duration = Duration::from_millis(700);
const BREATH: Duration = Duration::from_millis(150);

/// What a worker is told at its start, as a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Brief {
    pub name: String,
    /// From 0; its own workflows are those of its number.
    pub number: usize,
    /// How often it was started, to name its sessions.
    pub start: u32,
    pub seed: u64,
    pub agents: Agents,
    /// Names and addresses.
    pub dispatchers: Vec<(String, String)>,
    pub capture: PathBuf,
    /// Where workers tell each other which workflows are over: a file of each one's name.
    pub over: PathBuf,
}

/// Runs a worker until all workflows are over.
pub fn work(brief: &Path) -> ExitCode {
    let read = || -> Result<(Brief, Capture), String> {
        let text = std::fs::read_to_string(brief).map_err(|e| e.to_string())?;
        let brief: Brief = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        let capture = Capture::file(&brief.capture).map_err(|e| e.to_string())?;
        Ok((brief, capture))
    };
    match read() {
        Ok((brief, capture)) => {
            carry_all(&brief, &capture);
            capture.settle();
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("worker: {}: {why}", brief.display());
            ExitCode::from(2)
        }
    }
}

/// A workflow and when it is looked at next; none while a hand has it.
struct Place {
    plan: Planned,
    next: Option<Instant>,
}

struct Table {
    places: Mutex<Vec<Place>>,
    tries: AtomicU32,
    connections: AtomicU32,
}

/// Carries a brief's workflows, several at once, until all are over.
pub fn carry_all(brief: &Brief, capture: &Capture) {
    let now = Instant::now();
    let own = |i: usize| i % brief.agents.workers == brief.number;
    let place = |(i, plan): (usize, Planned)| {
        // Its own first; others' once their workers have had the time to begin.
        let wait = if own(i) {
            Duration::ZERO
        } else {
            2 * LOOK_AGAIN
        };
        Place {
            plan,
            next: Some(now + wait),
        }
    };
    let plans = workflows(&brief.agents, brief.seed);
    let places = plans.into_iter().enumerate().map(place).collect();
    let table = Arc::new(Table {
        places: Mutex::new(places),
        tries: 0.into(),
        connections: 0.into(),
    });
    std::thread::scope(|scope| {
        for hand in 0..brief.agents.at_once {
            let table = &table;
            scope.spawn(move || Hand::new(brief, capture, table, hand).run());
        }
    });
}

/// How an answer ended.
#[derive(Debug)]
enum Heard {
    Done(String),
    /// With a code, and when it may be asked again.
    Refused(String, Option<Duration>),
    /// The session ended or was given up.
    Gone,
}

/// What comes of one turn at a workflow.
#[derive(Debug, PartialEq)]
enum Turn {
    Over(&'static str),
    /// To be looked at again after this.
    Later(Duration),
}

/// One of the threads of a worker.
struct Hand<'a> {
    brief: &'a Brief,
    capture: &'a Capture,
    table: &'a Table,
    at: usize,
    open: Option<Client>,
}

impl<'a> Hand<'a> {
    fn new(brief: &'a Brief, capture: &'a Capture, table: &'a Table, hand: usize) -> Hand<'a> {
        Hand {
            brief,
            capture,
            table,
            at: brief.number + hand,
            open: None,
        }
    }

    fn run(mut self) {
        while let Some(i) = self.pick() {
            let Some(i) = i else {
                std::thread::sleep(BREATH / 3);
                continue;
            };
            let plan = lock(&self.table.places).get(i).map(|p| p.plan.clone());
            let Some(plan) = plan else { return };
            let turn = self.carry(&plan);
            match turn {
                Turn::Over(how) => {
                    if let Err(error) = std::fs::write(self.brief.over.join(&plan.name), how) {
                        eprintln!("{}: {error}", plan.name);
                    }
                }
                Turn::Later(wait) => {
                    if let Some(place) = lock(&self.table.places).get_mut(i) {
                        place.next = Some(Instant::now() + wait);
                    }
                }
            }
        }
        if let Some(client) = self.open {
            client.close();
        }
    }

    /// The workflow that is due first, taken; none within where all wait or are in hand, none at all where all are over.
    fn pick(&self) -> Option<Option<usize>> {
        let mut places = lock(&self.table.places);
        let over = |p: &Place| self.brief.over.join(&p.plan.name).exists();
        if places.iter().all(over) {
            return None;
        }
        let now = Instant::now();
        let due = places
            .iter()
            .enumerate()
            .filter(|(_, p)| p.next.is_some_and(|at| at <= now) && !over(p));
        let first = due.min_by_key(|(_, p)| p.next).map(|(i, _)| i);
        if let Some(i) = first {
            places[i].next = None;
        }
        Some(first)
    }

    /// Claims a workflow and goes on with it to its end, or until it is not this worker's any more.
    fn carry(&mut self, plan: &Planned) -> Turn {
        let claim = [(META_DO, "claim"), (META_WORKER, &self.brief.name)];
        let granted = match self.ask(plan, &claim, "claim", PATIENCE, None) {
            Heard::Done(text) => serde_json::from_str::<Claimed>(&text),
            Heard::Refused(code, after) => return self.refused(&code, after),
            Heard::Gone => return self.elsewhere(),
        };
        let Ok(claimed) = granted else {
            return self.elsewhere();
        };
        let epoch = claimed.epoch.to_string();
        let listed = |n: u32| claimed.steps.iter().find(|s| s.number == n);
        let first_listed = claimed.steps.iter().map(|s| s.number).min();
        // What is no longer listed is told by the context, and done.
        let compacted =
            |n: u32| !claimed.context.is_empty() && first_listed.is_none_or(|first| n < first);
        for (n, step) in (1u32..).zip(&plan.steps) {
            let done = listed(n).map_or(compacted(n), |s| s.fate == StepFate::Done);
            if done {
                continue;
            }
            let (number, key) = (n.to_string(), format!("k{}.{n}", plan.name));
            let class = &self.brief.agents.classes[step.effect.min(2)];
            let meta = [
                (META_CLASS, class.as_str()),
                (META_IDEMPOTENCY_KEY, &key),
                (META_EPOCH, &epoch),
                (META_STEP, &number),
            ];
            loop {
                match self.ask(plan, &meta, &step.text, STEP_PATIENCE, Some(&epoch)) {
                    Heard::Done(_) => break,
                    Heard::Refused(code, Some(after)) if !code.starts_with("workflow_") => {
                        std::thread::sleep(after.min(Duration::from_secs(1)));
                    }
                    Heard::Refused(code, after) => return self.refused(&code, after),
                    Heard::Gone => return self.elsewhere(),
                }
            }
            self.think(plan, n);
        }
        let finish = [(META_DO, "finish"), (META_EPOCH, epoch.as_str())];
        match self.ask(plan, &finish, "finish", PATIENCE, None) {
            Heard::Done(_) => Turn::Over("finished"),
            Heard::Refused(code, after) => self.refused(&code, after),
            Heard::Gone => self.elsewhere(),
        }
    }

    /// As an agent's model does before it asks for the next tool; drawn from what it is about.
    fn think(&self, plan: &Planned, step: u32) {
        let bytes = plan.name.bytes().chain(step.to_le_bytes());
        let draw = bytes.fold(7u32, |sum, b| {
            sum.wrapping_mul(31).wrapping_add(u32::from(b))
        }) % 1000;
        let think_s = self.brief.agents.think_s.max(0.0) * f64::from(draw) / 1000.0;
        std::thread::sleep(Duration::from_secs_f64(think_s));
    }

    fn refused(&mut self, code: &str, after: Option<Duration>) -> Turn {
        match code {
            "workflow_ended" => Turn::Over("ended"),
            "workflow_unsettled" => Turn::Over("unsettled"),
            "workflow_parked" => Turn::Over("parked"),
            "workflow_lost" => Turn::Over("lost"),
            "workflow_limit" => Turn::Over("limit"),
            "workflow_carried" | "workflow_fenced" => Turn::Later(LOOK_AGAIN),
            _ => {
                // Where this one cannot, another one may.
                self.elsewhere();
                Turn::Later(
                    after
                        .unwrap_or(BREATH)
                        .clamp(BREATH, Duration::from_secs(1)),
                )
            }
        }
    }

    fn elsewhere(&mut self) -> Turn {
        if let Some(client) = self.open.take() {
            client.cut();
        }
        self.at += 1;
        Turn::Later(BREATH)
    }

    /// Asks, and listens to the end of it; with `carries` it says now and then that it is alive, under this epoch.
    fn ask(
        &mut self,
        plan: &Planned,
        meta: &[(&str, &str)],
        input: &str,
        patience: Duration,
        carries: Option<&str>,
    ) -> Heard {
        if !self.connect() {
            return Heard::Gone;
        }
        let Some(client) = &self.open else {
            return Heard::Gone;
        };
        let name = self.say(client, plan, meta, input);
        let (began, mut spoke) = (Instant::now(), Instant::now());
        while began.elapsed() < patience {
            if let Some(epoch) = carries.filter(|_| spoke.elapsed() >= CARRY_EVERY) {
                spoke = Instant::now();
                self.say(
                    client,
                    plan,
                    &[(META_DO, "carry"), (META_EPOCH, epoch)],
                    "carry",
                );
            }
            match client.next(CARRY_EVERY.min(patience.saturating_sub(began.elapsed()))) {
                Came::Silence => {}
                Came::Closed(_) => {
                    self.open = None;
                    return Heard::Gone;
                }
                Came::Event(event) if event.is_final() => {
                    let response = event.response.as_ref();
                    let of = response
                        .and_then(|r| r.metadata.get("try"))
                        .map(String::as_str);
                    let error = event.error.as_ref();
                    let named = error.and_then(|e| e.get("metadata")?.get("try")?.as_str());
                    if of.or(named) != Some(name.as_str()) {
                        continue;
                    }
                    if let Some(error) = error {
                        let after = error
                            .get("retry_after_ms")
                            .and_then(serde_json::Value::as_u64);
                        let code = error
                            .get("code")
                            .and_then(|c| c.as_str())
                            .unwrap_or_default();
                        return Heard::Refused(code.to_string(), after.map(Duration::from_millis));
                    }
                    return match response.and_then(|r| r.error.as_ref()) {
                        Some(e) => Heard::Refused(
                            e.code.clone(),
                            e.retry_after_ms
                                .filter(|_| e.safe_to_repeat)
                                .map(Duration::from_millis),
                        ),
                        None => Heard::Done(text_of(response)),
                    };
                }
                Came::Event(_) => {}
            }
        }
        Heard::Gone
    }

    fn say(&self, client: &Client, plan: &Planned, meta: &[(&str, &str)], input: &str) -> String {
        let brief = self.brief;
        let number = self.table.tries.fetch_add(1, Ordering::SeqCst);
        let name = format!("{}-{}-{number}", brief.name, brief.start);
        let mut metadata =
            json!({ META_WORKFLOW: plan.name, META_CLASS: brief.agents.classes[0], "try": name });
        for (key, value) in meta {
            metadata[*key] = json!(value);
        }
        let create = json!({
            "type": "response.create", "model": "stand-in", "input": input, "metadata": metadata,
            "max_output_tokens": brief.agents.answer_tokens + 50,
        });
        client.say(&create.to_string());
        name
    }

    /// A session at some dispatcher: where it was, else the next one that answers.
    fn connect(&mut self) -> bool {
        let all = &self.brief.dispatchers;
        for _ in 0..2 * all.len() {
            if self.open.is_some() {
                return true;
            }
            let (name, address) = &all[self.at % all.len()];
            let number = self.table.connections.fetch_add(1, Ordering::SeqCst);
            let peer = format!("{name}#{}.{number}", self.brief.start);
            match Client::connect(address, &self.brief.name, &peer, self.capture.clone()) {
                Ok(client) => self.open = Some(client),
                Err(_) => {
                    self.at += 1;
                    std::thread::sleep(BREATH / 3);
                }
            }
        }
        self.open.is_some()
    }
}

fn text_of(response: Option<&bitternlatch_protocol::client::Response>) -> String {
    let parts = response
        .into_iter()
        .flat_map(|r| &r.output)
        .flat_map(|item| &item.content);
    parts.map(|part| part.text.as_str()).collect()
}
