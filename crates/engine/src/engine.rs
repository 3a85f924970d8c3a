//! The engine state machine: requests, timers, inputs and outputs.

use std::collections::{BTreeMap, VecDeque};

use crate::batch::Step;
use crate::memory::Memory;
use crate::sequence::{Phase, Sequence};
use crate::{Constants, EngineError, Facts, Id, Input, Output, Prompt, Request, Work};

/// One simulated model server engine. Times are seconds of any clock that starts at zero or later; a time earlier than the
/// previous one is replaced by the previous one.
#[derive(Debug)]
pub struct Engine {
    pub(crate) constants: Constants,
    pub(crate) now: f64,
    pub(crate) memory: Memory,
    /// All requests and held states, by id. Their number is bounded by the queue, the slots and, for held states, the memory.
    pub(crate) sequences: BTreeMap<Id, Sequence>,
    pub(crate) waiting: VecDeque<Id>,
    /// Running requests by admission number.
    pub(crate) active: BTreeMap<u64, Id>,
    pub(crate) admissions: u64,
    pub(crate) step: Option<Step>,
    /// End times of KV cache fetches and of held states, as [`key`] encodes them.
    pub(crate) timers: BTreeMap<(u64, Id), ()>,
    pub(crate) slowness: f64,
    pub(crate) fetch_delay_s: f64,
    pub(crate) preemptions: u64,
    pub(crate) read_again: u64,
    paused_until: f64,
    draining: bool,
}

/// Converts a time in seconds to an ordered map key: the bit patterns of non-negative floats sort like their values.
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

    /// Advances the engine to `now`, processing each due event at its own time, and then applies one input.
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
            Input::Cancel(id) => self.remove(id),
            Input::Release(id) if self.holds(id) => self.remove(id),
            Input::Release(_) => {}
            Input::Taken(id) => self.transfer_confirmed(id, out),
            Input::Flush => self.memory.flush(),
            Input::LoseStates => {
                let held: Vec<Id> = self
                    .sequences
                    .keys()
                    .copied()
                    .filter(|id| self.holds(*id))
                    .collect();
                held.into_iter().for_each(|id| self.remove(id));
            }
            Input::PauseUntil(at) if at.is_finite() => {
                self.paused_until = self.paused_until.max(at)
            }
            Input::Slowness(factor) if factor.is_finite() && factor > 0.0 => self.slowness = factor,
            Input::FetchDelay(s) if s.is_finite() && s >= 0.0 => self.fetch_delay_s = s,
            Input::PauseUntil(_) | Input::Slowness(_) | Input::FetchDelay(_) => {}
            Input::Drain => self.draining = true,
        }
        self.schedule(out);
    }

    /// Time in seconds at which [`Engine::step`] must be called next, or `None` if no event is scheduled.
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
            // Requests may be waiting only for the end of a pause.
            None => (self.paused() && !self.sequences.is_empty()).then_some(self.paused_until),
        }
    }

    /// Current load and counters of the engine.
    pub fn facts(&self) -> Facts {
        let sequences = || self.sequences.values();
        Facts {
            running: self.active.len(),
            waiting: self.waiting.len(),
            held: sequences().filter(|s| s.phase == Phase::Held).count(),
            slots_used: self.slots_used(),
            used_blocks: self.memory.used(),
            memory_blocks: self.memory.capacity(),
            cached_blocks: self.memory.unused(),
            preemptions: self.preemptions,
            read_again: self.read_again,
        }
    }

    /// Whether the request is queued, is running, or has KV cache state held for another engine.
    pub fn has(&self, id: Id) -> bool {
        self.sequences.contains_key(&id)
    }

    /// Whether the engine holds the KV cache state of this prefill request for another engine.
    pub fn holds(&self, id: Id) -> bool {
        self.sequences
            .get(&id)
            .is_some_and(|s| s.phase == Phase::Held)
    }

    /// Number of leading prompt tokens that the prefix cache would cover if the prompt's prefill started now.
    pub fn known_tokens(&self, prompt: &Prompt) -> u64 {
        let known = self.memory.cached_prefix_blocks(&prompt.marks) as u64;
        known
            .saturating_mul(self.constants.block_tokens)
            .min(prompt.tokens.saturating_sub(1))
    }

    /// Whether the engine has no queued or running request and holds no KV cache state.
    pub fn is_empty(&self) -> bool {
        self.sequences.is_empty()
    }

    pub(crate) fn paused(&self) -> bool {
        self.now < self.paused_until
    }

    pub(crate) fn slots_used(&self) -> usize {
        self.active
            .values()
            .filter(|id| self.sequences.get(id).is_some_and(Sequence::decodes))
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
                (Some((at, id)), ends) if ends.is_none_or(|ends| at <= ends) => {
                    self.handle_timer(id, out)
                }
                (_, Some(_)) => self.finish_step(out),
                _ => {}
            }
            self.schedule(out);
        }
        self.now = now;
    }

    /// Handles the first timer: a KV cache fetch has completed, or the hold time of a state has expired.
    fn handle_timer(&mut self, id: Id, out: &mut Vec<Output>) {
        self.timers.pop_first();
        match self.sequences.get_mut(&id) {
            Some(s) if s.phase == Phase::Fetching => {
                s.phase = Phase::Fetched;
                out.push(Output::Fetched { id });
            }
            Some(s) if s.phase == Phase::Held => {
                self.remove(id);
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
        if constants.blocks(prompt.saturating_add(u64::from(sequence.output_tokens())))
            > self.memory.capacity()
        {
            return Err(EngineError::NeverFits);
        }
        if self.memory.used().saturating_add(constants.blocks(prompt)) > self.memory.capacity() {
            return Err(EngineError::MemoryFull);
        }
        let unfinished = match sequence.request.work {
            Work::Read => self.waiting.len() + self.prefilling_count(),
            _ => self.waiting.len(),
        };
        if unfinished >= constants.queue {
            return Err(EngineError::QueueFull);
        }
        self.waiting.push_back(id);
        self.sequences.insert(id, sequence);
        Ok(())
    }

    fn transfer_confirmed(&mut self, id: Id, out: &mut Vec<Output>) {
        if let Some(s) = self
            .sequences
            .get_mut(&id)
            .filter(|s| s.phase == Phase::Fetched)
        {
            // The prefill that produced the fetched KV cache state also produced the first token.
            s.phase = Phase::Decoding;
            self.emit_token(id, out);
        }
    }

    /// Removes a request in any phase and releases its memory, timers and queue position.
    pub(crate) fn remove(&mut self, id: Id) {
        let Some(mut sequence) = self.sequences.remove(&id) else {
            return;
        };
        self.memory.release(&mut sequence.allocation);
        self.timers.retain(|(_, of), ()| *of != id);
        if sequence.phase == Phase::Queued {
            self.waiting.retain(|w| *w != id);
        }
        if sequence.is_running() {
            self.active.remove(&sequence.admitted);
        }
    }
}
