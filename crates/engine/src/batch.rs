//! Continuous batching: who is let in, what a step does, who is thrown out.

use crate::engine::{key, Engine};
use crate::sequence::{Phase, Sequence};
use crate::{Id, Output, Work};

/// A step under way. Requests are named with their admission, so that one that ended and came again is not taken for itself.
#[derive(Debug)]
pub(crate) struct Step {
    pub ends: f64,
    read: Vec<(Id, u64, u64)>,
    write: Vec<(Id, u64)>,
}

impl Engine {
    /// Lets in what can be let in and begins a step where none is under way.
    pub(crate) fn go(&mut self, out: &mut Vec<Output>) {
        if self.paused() {
            return;
        }
        if self.step.is_some() {
            return self.admit();
        }
        // Who is at work grows first, and where that threw somebody out nobody new comes in.
        let before = self.preemptions;
        let mut write = self.grow(out);
        if self.preemptions == before || write.is_empty() {
            self.admit();
        }
        let read = self.pieces();
        write.retain(|(id, _)| {
            self.sequences
                .get(id)
                .is_some_and(|s| s.phase == Phase::Writing)
        });
        if read.is_empty() && write.is_empty() {
            return;
        }
        let tokens = read.iter().map(|r| r.2).sum();
        let ends = self.now + self.constants.step_s(tokens, write.len()) * self.slowness;
        self.step = Some(Step { ends, read, write });
    }

    pub(crate) fn reading(&self) -> usize {
        self.active
            .values()
            .filter(|id| self.is(**id, Phase::Reading))
            .count()
    }

    fn is(&self, id: Id, phase: Phase) -> bool {
        self.sequences.get(&id).is_some_and(|s| s.phase == phase)
    }

    /// Lets waiting requests in, in their order: as far as slots, memory and reads at once go.
    fn admit(&mut self) {
        while let Some(id) = self.waiting.front().copied() {
            let Some(s) = self.sequences.get(&id) else {
                self.waiting.pop_front();
                continue;
            };
            let fetches = s.fetches();
            let no_slot = s.writes() && self.slots_used() >= self.constants.slots;
            if no_slot || (!fetches && self.reading() >= self.constants.reads_a_step) {
                return;
            }
            let spare = match self.active.is_empty() {
                true => 0,
                false => (self.constants.spare * self.memory.capacity() as f64).ceil() as usize,
            };
            let marks: &[u64] = if fetches {
                &[]
            } else {
                &s.request.prompt.marks
            };
            let Some((holding, known)) = self.memory.take(marks, s.needs(&self.constants), spare)
            else {
                return;
            };
            self.waiting.pop_front();
            self.admissions += 1;
            let (now, admitted) = (self.now, self.admissions);
            let Some(s) = self.sequences.get_mut(&id) else {
                return;
            };
            let tokens = s.tokens();
            s.holding = holding;
            s.admitted = admitted;
            self.active.insert(admitted, id);
            if fetches {
                s.phase = Phase::Fetching;
                s.cached = Some(0);
                let transfer_s =
                    tokens as f64 / self.constants.transfer_tokens_per_s * self.slowness;
                self.timers
                    .insert((key(now + self.fetch_delay_s + transfer_s), id), ());
                continue;
            }
            // One token is read always: the next one comes from it.
            s.read = (known as u64)
                .saturating_mul(self.constants.block_tokens)
                .min(tokens.saturating_sub(1));
            s.phase = Phase::Reading;
            s.cached.get_or_insert(s.read);
            if s.again {
                self.read_again += tokens - s.read;
            }
        }
    }

    /// Room for the next token of each that writes, the earliest let in first. Where there is none the latest is thrown out.
    fn grow(&mut self, out: &mut Vec<Output>) -> Vec<(Id, u64)> {
        let mut grown = Vec::new();
        let writers: Vec<(u64, Id)> = self.active.iter().map(|(n, id)| (*n, *id)).collect();
        for (admitted, id) in writers {
            // One that was thrown out for an earlier one no longer writes.
            while self.is(id, Phase::Writing) {
                let Some(s) = self.sequences.get_mut(&id) else {
                    break;
                };
                if s.holding.blocks() >= s.needs(&self.constants) {
                    grown.push((id, admitted));
                    break;
                }
                if !self.memory.grow(&mut s.holding) {
                    self.preempt(out);
                }
            }
        }
        grown
    }

    /// Throws out the latest that reads or writes. What is being fetched stays: the other engine's state waits for it.
    fn preempt(&mut self, out: &mut Vec<Output>) {
        let works = |s: &Sequence| matches!(s.phase, Phase::Reading | Phase::Writing);
        let latest = self
            .active
            .values()
            .rev()
            .find(|id| self.sequences.get(id).is_some_and(works))
            .copied();
        let Some((id, s)) = latest.and_then(|id| Some((id, self.sequences.get_mut(&id)?))) else {
            return;
        };
        self.active.remove(&s.admitted);
        self.memory.let_go(&mut s.holding);
        s.phase = Phase::Waiting;
        s.again = true;
        s.read = 0;
        self.waiting.push_front(id);
        self.preemptions += 1;
        out.push(Output::Preempted {
            id,
            written: s.written,
        });
    }

    /// Pieces of prompts for the next step.
    fn pieces(&self) -> Vec<(Id, u64, u64)> {
        let mut left = self.constants.read_tokens_a_step;
        let mut pieces = Vec::new();
        for (admitted, id) in &self.active {
            let Some(s) = self.sequences.get(id).filter(|s| s.phase == Phase::Reading) else {
                continue;
            };
            let piece = s.tokens().saturating_sub(s.read).min(left);
            if pieces.len() >= self.constants.reads_a_step || (piece == 0 && left == 0) {
                break;
            }
            left -= piece;
            pieces.push((*id, *admitted, piece));
        }
        pieces
    }

    pub(crate) fn finish_step(&mut self, out: &mut Vec<Output>) {
        let Some(step) = self.step.take() else { return };
        for (id, admitted) in step.write {
            if self
                .sequences
                .get(&id)
                .is_some_and(|s| s.admitted == admitted)
            {
                self.token(id, out);
            }
        }
        for (id, admitted, tokens) in step.read {
            let Some(s) = self
                .sequences
                .get_mut(&id)
                .filter(|s| s.admitted == admitted)
            else {
                continue;
            };
            s.read += tokens;
            if s.read < s.tokens() {
                continue;
            }
            self.memory.name(&mut s.holding, &s.request.prompt.marks);
            if s.request.work != Work::Read {
                s.phase = Phase::Writing;
                self.token(id, out);
                continue;
            }
            s.phase = Phase::Held;
            out.push(Output::Read {
                id,
                cached: s.cached.unwrap_or(0),
            });
            self.active.remove(&admitted);
            if let Some(hold_s) = self.constants.hold_s {
                self.timers.insert((key(self.now + hold_s), id), ());
            }
        }
    }

    pub(crate) fn token(&mut self, id: Id, out: &mut Vec<Output>) {
        let Some(s) = self.sequences.get_mut(&id) else {
            return;
        };
        s.written = s.written.saturating_add(1);
        let last = s.written >= s.answer();
        out.push(Output::Token {
            id,
            number: s.written,
            last,
            cached: s.cached.unwrap_or(0),
        });
        if last {
            self.end(id);
        }
    }
}
