//! One stand-in host: its engine, its connections, and the trouble it is in.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bitternlatch_engine::{Engine, EngineError, Id, Prompt};
use bitternlatch_net::accept::Acceptor;
use bitternlatch_net::socket::Outbox;
use bitternlatch_protocol::engine::{CompletionRequest, Load};
use bitternlatch_protocol::estimate_tokens;

use crate::config::{Cold, HostConfig, Trouble, BLOCK_TOKENS};

/// A request at the engine here, or the state that it left.
pub(crate) struct Work {
    pub conn: u64,
    pub id: String,
    pub body: CompletionRequest,
    pub tokens: u64,
    pub out: u32,
}

pub(crate) struct Host {
    pub config: HostConfig,
    pub acceptor: Option<Acceptor>,
    pub conns: BTreeMap<u64, Outbox>,
    pub engine: Engine,
    pub works: HashMap<Id, Work>,
    /// Works by what dispatchers call them.
    pub names: HashMap<String, Id>,
    /// Its next place among what is due.
    pub wakes: Option<(u64, u64)>,
    /// What its engine was told last: slowness, and seconds that fetches take longer.
    pub told: (f64, f64),
    /// Seconds at which it started; far back = warm.
    pub born: f64,
    pub draining: bool,
    pub paused_until: f64,
    pub troubles: BTreeMap<usize, (Trouble, f64)>,
    /// Work offered of late: when, and seconds of a warm host.
    pub offered: VecDeque<(f64, f64)>,
}

impl Host {
    /// # Errors
    /// As [`Engine::new`].
    pub(crate) fn new(config: HostConfig) -> Result<Host, EngineError> {
        Ok(Host {
            engine: Engine::new(config.constants())?,
            config,
            acceptor: None,
            conns: BTreeMap::new(),
            works: HashMap::new(),
            names: HashMap::new(),
            wakes: None,
            told: (1.0, 0.0),
            born: f64::NEG_INFINITY,
            draining: false,
            paused_until: 0.0,
            troubles: BTreeMap::new(),
            offered: VecDeque::new(),
        })
    }

    /// Forgets all, as a process that ends.
    pub(crate) fn clear(&mut self) {
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.stop();
        }
        self.conns.values().for_each(Outbox::abort);
        let (troubles, wakes) = (std::mem::take(&mut self.troubles), self.wakes);
        // These constants made an engine before.
        if let Ok(fresh) = Host::new(self.config.clone()) {
            *self = Host {
                troubles,
                wakes,
                ..fresh
            };
        }
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
        while self
            .offered
            .front()
            .is_some_and(|o| now - o.0 > cold.window_s)
        {
            self.offered.pop_front();
        }
        let sum: f64 = self.offered.iter().map(|o| o.1).sum();
        self.capacity(cold, now) < 1.0
            && sum > cold.overload_factor * self.capacity(cold, now) * cold.window_s
    }

    pub(crate) fn put(&mut self, id: Id, work: Work) {
        self.names.insert(work.id.clone(), id);
        self.works.insert(id, work);
    }

    pub(crate) fn take(&mut self, id: Id) -> Option<Work> {
        let work = self.works.remove(&id)?;
        if self.names.get(&work.id) == Some(&id) {
            self.names.remove(&work.id);
        }
        Some(work)
    }

    /// The read state that a dispatcher's request left here.
    pub(crate) fn state(&self, name: &str) -> Option<Id> {
        self.names
            .get(name)
            .copied()
            .filter(|id| self.engine.holds(*id))
    }

    /// Seconds of a warm host with all slots in use that a request stands for.
    pub(crate) fn work_s(&self, prompt: &Prompt, reads: bool, out: u32) -> f64 {
        let new = if reads {
            prompt.tokens - self.engine.known_tokens(prompt)
        } else {
            0
        };
        new as f64 / self.config.read_tokens_per_s + f64::from(out) * self.config.token_share_s()
    }

    pub(crate) fn load(&self) -> Option<Load> {
        let sign = match self.trouble(Trouble::BadLoad) {
            Some(s) if s > 0.5 => return None,
            Some(_) => -1.0,
            None if self.trouble(Trouble::LowLoad).is_some() => 0.0,
            None => 1.0,
        };
        let facts = self.engine.facts();
        let share = |a: usize, b: usize| (a as f64 / b.max(1) as f64).min(1.0);
        let said = [
            ("num_requests_running", facts.running as f64),
            ("num_requests_waiting", facts.waiting as f64),
            (
                "slots_used_perc",
                share(facts.slots_used, self.config.slots),
            ),
            (
                "kv_cache_usage_perc",
                share(facts.used_blocks, facts.memory_blocks),
            ),
            ("num_preemptions", facts.preemptions as f64),
        ];
        Some(
            said.into_iter()
                .map(|(name, value)| (name.to_string(), sign * value))
                .collect(),
        )
    }
}

/// A prompt as its engine takes it: each whole block has a mark that stands for all before it too.
pub(crate) fn prompt(text: &str) -> Prompt {
    let mut mark = 0;
    let marks = text
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS as usize * 4)
        .map(|block| {
            mark = xxhash_rust::xxh3::xxh3_64_with_seed(block, mark);
            mark
        });
    Prompt {
        tokens: u64::from(estimate_tokens(text.len())),
        marks: marks.collect(),
    }
}

/// Length of the answer: what the prompt says in `[len=N]`, else 32, and the ceiling at the most.
pub fn answer_len(body: &CompletionRequest) -> u32 {
    let said = body.prompt.rfind("[len=").map(|i| &body.prompt[i + 5..]);
    let said = said
        .and_then(|s| s.split(']').next())
        .and_then(|s| s.parse().ok());
    said.unwrap_or(32).min(body.max_tokens)
}
