//! One stand-in host: its memory, queue, kept prefixes, capacity, and the trouble it is in.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use bitternlatch_net::accept::Acceptor;
use bitternlatch_net::socket::Outbox;
use bitternlatch_protocol::engine::{CompletionRequest, Load};
use bitternlatch_protocol::tokens_of;

use crate::config::{Cold, HostConfig, Trouble};

/// Bytes of a block of prompt that is kept or not.
const BLOCK: usize = 256;
/// Blocks kept at the most.
const BLOCKS_MOST: usize = 100_000;

/// A request at work here.
pub(crate) struct Work {
    pub conn: u64,
    pub id: String,
    pub body: CompletionRequest,
    pub tokens: u64,
    pub cached: u32,
    pub out: u32,
    pub produced: u32,
    pub running: bool,
    /// When a read begins; a request that is written here waits in `waiting`.
    pub begins: Option<f64>,
}

/// A read state that waits to be fetched.
pub(crate) struct State {
    pub conn: u64,
    pub tokens: u64,
}

pub(crate) struct Host {
    pub config: HostConfig,
    pub acceptor: Option<Acceptor>,
    pub conns: BTreeMap<u64, Outbox>,
    pub works: HashMap<u64, Work>,
    pub waiting: VecDeque<u64>,
    pub states: HashMap<String, State>,
    pub kept: HashSet<u64>,
    /// When its reader has done all that it has been given.
    pub busy_until: f64,
    /// Seconds at which it started; far back = warm.
    pub born: f64,
    pub draining: bool,
    pub paused_until: f64,
    pub troubles: BTreeMap<usize, (Trouble, f64)>,
    /// Work offered of late: when, and seconds of a warm host.
    pub offered: VecDeque<(f64, f64)>,
}

impl Host {
    pub(crate) fn new(config: HostConfig) -> Host {
        Host {
            config,
            acceptor: None,
            conns: BTreeMap::new(),
            works: HashMap::new(),
            waiting: VecDeque::new(),
            states: HashMap::new(),
            kept: HashSet::new(),
            busy_until: 0.0,
            born: f64::NEG_INFINITY,
            draining: false,
            paused_until: 0.0,
            troubles: BTreeMap::new(),
            offered: VecDeque::new(),
        }
    }

    /// Forgets all, as a process that ends.
    pub(crate) fn clear(&mut self) {
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.stop();
        }
        self.conns.values().for_each(Outbox::cut);
        let (config, troubles) = (self.config.clone(), std::mem::take(&mut self.troubles));
        *self = Host { troubles, ..Host::new(config) };
    }

    pub(crate) fn trouble(&self, kind: Trouble) -> Option<f64> {
        self.troubles.values().find(|t| t.0 == kind).map(|t| t.1)
    }

    pub(crate) fn capacity(&self, cold: &Cold, now: f64) -> f64 {
        let age = ((now - self.born) / cold.warm_after_s).clamp(0.0, 1.0);
        cold.start_capacity + (1.0 - cold.start_capacity) * age
    }

    /// Factor on all that it does.
    pub(crate) fn slowness(&self, cold: &Cold, now: f64) -> f64 {
        self.trouble(Trouble::Slow).unwrap_or(1.0) / self.capacity(cold, now)
    }

    /// Takes offered work into account; true when it is pushed over.
    pub(crate) fn pushed_over(&mut self, cold: &Cold, now: f64, seconds: f64) -> bool {
        self.offered.push_back((now, seconds));
        while self.offered.front().is_some_and(|o| now - o.0 > cold.window_s) {
            self.offered.pop_front();
        }
        let sum: f64 = self.offered.iter().map(|o| o.1).sum();
        self.capacity(cold, now) < 1.0
            && sum > cold.overload_factor * self.capacity(cold, now) * cold.window_s
    }

    /// Tokens of a prompt that are kept here, and keeps the whole of it.
    pub(crate) fn take_prefix(&mut self, prompt: &str) -> u32 {
        let mut hit = 0;
        let mut known = true;
        let mut mark = 0;
        for block in prompt.as_bytes().chunks_exact(BLOCK) {
            mark = xxhash_rust::xxh3::xxh3_64_with_seed(block, mark);
            known = known && self.kept.contains(&mark);
            hit += if known { tokens_of(BLOCK) } else { 0 };
            if self.kept.len() < BLOCKS_MOST {
                self.kept.insert(mark);
            }
        }
        hit
    }

    pub(crate) fn memory(&self) -> u64 {
        let states: u64 = self.states.values().map(|s| s.tokens).sum();
        let works = self.works.values().filter(|w| w.running).map(|w| w.tokens + u64::from(w.produced));
        states + works.sum::<u64>()
    }

    pub(crate) fn running(&self) -> usize {
        self.works.values().filter(|w| w.running).count()
    }

    /// Requests that wait: reads that have not begun, and answers without a slot.
    pub(crate) fn waits(&self, now: f64) -> usize {
        let reads = self.works.values().filter(|w| w.begins.is_some_and(|at| at > now)).count();
        reads + self.waiting.len()
    }

    /// Requests at work: the read under way, and answers that run.
    fn at_work(&self, now: f64) -> usize {
        self.running() + self.works.values().filter(|w| w.begins.is_some_and(|at| at <= now)).count()
    }

    pub(crate) fn load(&self, now: f64) -> Option<Load> {
        let sign = match self.trouble(Trouble::BadLoad) {
            Some(s) if s > 0.5 => return None,
            Some(_) => -1.0,
            None if self.trouble(Trouble::LowLoad).is_some() => 0.0,
            None => 1.0,
        };
        let share = |a: f64, b: f64| sign * (a / b.max(1.0)).min(1.0);
        Some(Load::from([
            ("num_requests_running".to_string(), sign * self.at_work(now) as f64),
            ("num_requests_waiting".to_string(), sign * self.waits(now) as f64),
            ("slots_used_perc".to_string(), share(self.running() as f64, self.config.slots as f64)),
            (
                "kv_cache_usage_perc".to_string(),
                share(self.memory() as f64, self.config.memory_tokens as f64),
            ),
        ]))
    }
}

/// Length of the answer: what the prompt says in `[len=N]`, else 32, and the ceiling at the most.
pub fn answer_len(body: &CompletionRequest) -> u32 {
    let said = body.prompt.rfind("[len=").map(|i| &body.prompt[i + 5..]);
    let said = said.and_then(|s| s.split(']').next()).and_then(|s| s.parse().ok());
    said.unwrap_or(32).min(body.max_tokens)
}
