//! The machine: what is here, what is due, what is told.

use std::collections::{BTreeMap, VecDeque};

use crate::batch::Step;
use crate::memory::Memory;
use crate::sequence::{Phase, Sequence};
use crate::{Constants, EngineError, Facts, Id, Input, Output, Prompt, Request, Work};

/// One engine. Times are seconds of any clock that starts at zero or later; one that goes back is taken for one that stands.
#[derive(Debug)]
pub struct Engine {
    pub(crate) constants: Constants,
    pub(crate) now: f64,
    pub(crate) memory: Memory,
    /// All that is here; bounded by the queue, the slots and, for states, the memory.
    pub(crate) sequences: BTreeMap<Id, Sequence>,
    pub(crate) waiting: VecDeque<Id>,
    /// At work, in the order of admission.
    pub(crate) active: BTreeMap<u64, Id>,
    pub(crate) admissions: u64,
    pub(crate) step: Option<Step>,
    /// Ends of fetches and of states; see [`key`].
    pub(crate) timers: BTreeMap<(u64, Id), ()>,
    pub(crate) slowness: f64,
    pub(crate) fetch_delay_s: f64,
    pub(crate) preemptions: u64,
    pub(crate) read_again: u64,
    paused_until: f64,
    draining: bool,
}

/// A time as a key: floats that are not negative are ordered as their bits.
pub(crate) fn key(at: f64) -> u64 {
    at.max(0.0).to_bits()
}

impl Engine {
    /// # Errors
    /// As [`Constants::check`].
    pub fn new(constants: Constants) -> Result<Engine, EngineError> {
        constants.check()?;
        let (blocks, kept) = (
            constants.memory_blocks(),
            constants.cache_tokens / constants.block_tokens,
        );
        Ok(Engine {
            constants,
            now: 0.0,
            memory: Memory::new(blocks, usize::try_from(kept).unwrap_or(usize::MAX)),
            sequences: BTreeMap::new(),
            waiting: VecDeque::new(),
            active: BTreeMap::new(),
            admissions: 0,
            step: None,
            timers: BTreeMap::new(),
            slowness: 1.0,
            fetch_delay_s: 0.0,
            preemptions: 0,
            read_again: 0,
            paused_until: 0.0,
            draining: false,
        })
    }

    /// Goes on to a time, with all that was due before it at its own time, and takes one input.
    pub fn step(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        self.advance(now, out);
        match input {
            Input::Time => {}
            Input::Submit(request) => {
                let id = request.id;
                if let Err(why) = self.submit(request) {
                    out.push(Output::Refused { id, why });
                }
            }
            Input::Cancel(id) => self.end(id),
            Input::Release(id) if self.holds(id) => self.end(id),
            Input::Release(_) => {}
            Input::Taken(id) => self.taken(id, out),
            Input::Flush => self.memory.flush(),
            Input::LoseStates => {
                let held: Vec<Id> = self
                    .sequences
                    .keys()
                    .copied()
                    .filter(|id| self.holds(*id))
                    .collect();
                held.into_iter().for_each(|id| self.end(id));
            }
            Input::PauseUntil(at) if at.is_finite() => {
                self.paused_until = self.paused_until.max(at)
            }
            Input::Slowness(factor) if factor.is_finite() && factor > 0.0 => self.slowness = factor,
            Input::FetchDelay(s) if s.is_finite() && s >= 0.0 => self.fetch_delay_s = s,
            Input::PauseUntil(_) | Input::Slowness(_) | Input::FetchDelay(_) => {}
            Input::Drain => self.draining = true,
        }
        self.go(out);
    }

    /// When it wants to be stepped again; none while nothing is due.
    pub fn next_at(&self) -> Option<f64> {
        let timer = self
            .timers
            .first_key_value()
            .map(|((at, _), ())| f64::from_bits(*at));
        let next = [timer, self.step.as_ref().map(|s| s.ends)]
            .into_iter()
            .flatten()
            .reduce(f64::min);
        match next {
            Some(at) => Some(at.max(self.paused_until)),
            // Something may wait for the end of a pause alone.
            None => (self.paused() && !self.sequences.is_empty()).then_some(self.paused_until),
        }
    }

    pub fn facts(&self) -> Facts {
        let here = || self.sequences.values();
        Facts {
            running: self.active.len(),
            waiting: self.waiting.len(),
            held: here().filter(|s| s.phase == Phase::Held).count(),
            slots_used: self.slots_used(),
            used_blocks: self.memory.used(),
            memory_blocks: self.memory.capacity(),
            cached_blocks: self.memory.unused(),
            preemptions: self.preemptions,
            read_again: self.read_again,
        }
    }

    /// It is here: waits, is at work, or has left a state.
    pub fn has(&self, id: Id) -> bool {
        self.sequences.contains_key(&id)
    }

    /// It holds the state of this read.
    pub fn holds(&self, id: Id) -> bool {
        self.sequences
            .get(&id)
            .is_some_and(|s| s.phase == Phase::Held)
    }

    /// Tokens at the begin of a prompt that it would not read if it began now.
    pub fn known_tokens(&self, prompt: &Prompt) -> u64 {
        let known = self.memory.known(&prompt.marks) as u64;
        known
            .saturating_mul(self.constants.block_tokens)
            .min(prompt.tokens.saturating_sub(1))
    }

    /// Nothing is here, not even a state.
    pub fn is_empty(&self) -> bool {
        self.sequences.is_empty()
    }

    pub(crate) fn paused(&self) -> bool {
        self.now < self.paused_until
    }

    pub(crate) fn slots_used(&self) -> usize {
        self.active
            .values()
            .filter(|id| self.sequences.get(id).is_some_and(Sequence::writes))
            .count()
    }

    fn advance(&mut self, now: f64, out: &mut Vec<Output>) {
        let now = if now.is_finite() {
            now.max(self.now)
        } else {
            self.now
        };
        while let Some(at) = self.next_at().filter(|at| *at <= now) {
            self.now = at.max(self.now);
            let timer = self
                .timers
                .first_key_value()
                .map(|((at, id), ())| (f64::from_bits(*at), *id));
            match (timer, self.step.as_ref().map(|s| s.ends)) {
                (Some((at, id)), ends) if ends.is_none_or(|ends| at <= ends) => self.timer(id, out),
                (_, Some(_)) => self.finish_step(out),
                _ => {}
            }
            self.go(out);
        }
        self.now = now;
    }

    /// The end of a fetch, or of a state's time.
    fn timer(&mut self, id: Id, out: &mut Vec<Output>) {
        self.timers.pop_first();
        match self.sequences.get_mut(&id) {
            Some(s) if s.phase == Phase::Fetching => {
                s.phase = Phase::Arrived;
                out.push(Output::Fetched { id });
            }
            Some(s) if s.phase == Phase::Held => {
                self.end(id);
                out.push(Output::Expired { id });
            }
            _ => {}
        }
    }

    fn submit(&mut self, request: Request) -> Result<(), EngineError> {
        let constants = &self.constants;
        let sequence = Sequence::new(request);
        let (id, prompt) = (sequence.request.id, sequence.request.prompt.tokens);
        if self.draining {
            return Err(EngineError::Draining);
        }
        if self.sequences.contains_key(&id) {
            return Err(EngineError::Twice);
        }
        if constants.blocks(prompt.saturating_add(u64::from(sequence.answer())))
            > self.memory.capacity()
        {
            return Err(EngineError::NeverFits);
        }
        if self.memory.used().saturating_add(constants.blocks(prompt)) > self.memory.capacity() {
            return Err(EngineError::MemoryFull);
        }
        let unfinished = match sequence.request.work {
            Work::Read => self.waiting.len() + self.reading(),
            _ => self.waiting.len(),
        };
        if unfinished >= constants.queue {
            return Err(EngineError::QueueFull);
        }
        self.waiting.push_back(id);
        self.sequences.insert(id, sequence);
        Ok(())
    }

    fn taken(&mut self, id: Id, out: &mut Vec<Output>) {
        if let Some(s) = self
            .sequences
            .get_mut(&id)
            .filter(|s| s.phase == Phase::Arrived)
        {
            // The read that made the state made the first token too.
            s.phase = Phase::Writing;
            self.token(id, out);
        }
    }

    /// Takes a request out, wherever it is.
    pub(crate) fn end(&mut self, id: Id) {
        let Some(mut sequence) = self.sequences.remove(&id) else {
            return;
        };
        self.memory.let_go(&mut sequence.holding);
        self.timers.retain(|(_, of), ()| *of != id);
        if sequence.phase == Phase::Waiting {
            self.waiting.retain(|w| *w != id);
        }
        if sequence.at_work() {
            self.active.remove(&sequence.admitted);
        }
    }
}
