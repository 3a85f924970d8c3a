//! Continuous batching: admission of requests, the work of each step, and preemption.

use crate::engine::{key, Engine};
use crate::sequence::{Phase, Sequence};
use crate::{Id, Output, Work};

/// The running step. Each entry carries the request's admission number, so that the result of a step is not applied to a
/// request that ended and was submitted again, or was preempted and admitted again, during the step.
#[derive(Debug)]
pub(crate) struct Step {
    pub ends: f64,
    prefill: Vec<(Id, u64, u64)>,
    decode: Vec<(Id, u64)>,
}

impl Engine {
    /// Admits queued requests and starts a step if none is running. Does nothing during a pause.
    pub(crate) fn schedule(&mut self, out: &mut Vec<Output>) {
        if self.paused() {
            return;
        }
        if self.step.is_some() {
            return self.admit();
        }
        // Decoding sequences get their blocks before new requests are admitted. If that preempted a
        // sequence, none is admitted, unless no sequence is left to decode.
        let before = self.preemptions;
        let mut decode = self.grow(out);
        if self.preemptions == before || decode.is_empty() {
            self.admit();
        }
        let prefill = self.prefill_chunks();
        decode.retain(|(id, _)| {
            self.sequences
                .get(id)
                .is_some_and(|s| s.phase == Phase::Decoding)
        });
        if prefill.is_empty() && decode.is_empty() {
            return;
        }
        let tokens = prefill.iter().map(|r| r.2).sum();
        let ends = self.now + self.constants.step_s(tokens, decode.len()) * self.slowness;
        self.step = Some(Step {
            ends,
            prefill,
            decode,
        });
    }

    /// Number of running requests in the prefill phase.
    pub(crate) fn prefilling_count(&self) -> usize {
        self.active
            .values()
            .filter(|id| self.is_in_phase(**id, Phase::Prefilling))
            .count()
    }

    fn is_in_phase(&self, id: Id, phase: Phase) -> bool {
        self.sequences.get(&id).is_some_and(|s| s.phase == phase)
    }

    /// Admits queued requests in queue order until the first one for which a slot, memory or one of `reads_a_step`
    /// concurrent prefills is missing.
    fn admit(&mut self) {
        while let Some(id) = self.waiting.front().copied() {
            let Some(s) = self.sequences.get(&id) else {
                self.waiting.pop_front();
                continue;
            };
            let fetches = s.fetches();
            let slot_missing = s.decodes() && self.slots_used() >= self.constants.slots;
            if slot_missing || (!fetches && self.prefilling_count() >= self.constants.reads_a_step)
            {
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
            let Some((allocation, cached_blocks)) =
                self.memory
                    .allocate(marks, s.blocks_needed(&self.constants), spare)
            else {
                return;
            };
            self.waiting.pop_front();
            self.admissions += 1;
            let (now, admitted) = (self.now, self.admissions);
            let Some(s) = self.sequences.get_mut(&id) else {
                return;
            };
            let tokens = s.context_tokens();
            s.allocation = allocation;
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
            // At least one token is prefilled even if the whole prompt is cached: the model output for the last prompt token is
            // the first new token.
            s.prefilled = (cached_blocks as u64)
                .saturating_mul(self.constants.block_tokens)
                .min(tokens.saturating_sub(1));
            s.phase = Phase::Prefilling;
            s.cached.get_or_insert(s.prefilled);
            if s.recompute {
                self.read_again += tokens - s.prefilled;
            }
        }
    }

    /// Allocates memory for the next token of each decoding sequence, in order of admission. When no block is free, the most
    /// recently admitted sequence is preempted. Returns the sequences that can decode in the next step.
    fn grow(&mut self, out: &mut Vec<Output>) -> Vec<(Id, u64)> {
        let mut grown = Vec::new();
        let decoding: Vec<(u64, Id)> = self.active.iter().map(|(n, id)| (*n, *id)).collect();
        for (admitted, id) in decoding {
            // A sequence that was preempted in favor of an earlier one is no longer decoding.
            while self.is_in_phase(id, Phase::Decoding) {
                let Some(s) = self.sequences.get_mut(&id) else {
                    break;
                };
                if s.allocation.blocks() >= s.blocks_needed(&self.constants) {
                    grown.push((id, admitted));
                    break;
                }
                if !self.memory.grow(&mut s.allocation) {
                    self.preempt(out);
                }
            }
        }
        grown
    }

    /// Preempts the most recently admitted sequence in prefill or decode and puts it at the front of the queue. Sequences that
    /// fetch KV cache state are not preempted, because the other engine holds that state until the fetch is confirmed.
    fn preempt(&mut self, out: &mut Vec<Output>) {
        let preemptible = |s: &Sequence| matches!(s.phase, Phase::Prefilling | Phase::Decoding);
        let latest = self
            .active
            .values()
            .rev()
            .find(|id| self.sequences.get(id).is_some_and(preemptible))
            .copied();
        let Some((id, s)) = latest.and_then(|id| Some((id, self.sequences.get_mut(&id)?))) else {
            return;
        };
        self.active.remove(&s.admitted);
        self.memory.release(&mut s.allocation);
        s.phase = Phase::Queued;
        s.recompute = true;
        s.prefilled = 0;
        self.waiting.push_front(id);
        self.preemptions += 1;
        out.push(Output::Preempted {
            id,
            written: s.written,
        });
    }

    /// Prompt chunks that the next step prefills: at most `reads_a_step` prompts and `read_tokens_a_step` tokens in all, in order
    /// of admission.
    fn prefill_chunks(&self) -> Vec<(Id, u64, u64)> {
        let mut budget = self.constants.read_tokens_a_step;
        let mut chunks = Vec::new();
        for (admitted, id) in &self.active {
            let Some(s) = self
                .sequences
                .get(id)
                .filter(|s| s.phase == Phase::Prefilling)
            else {
                continue;
            };
            let chunk = s.context_tokens().saturating_sub(s.prefilled).min(budget);
            if chunks.len() >= self.constants.reads_a_step || (chunk == 0 && budget == 0) {
                break;
            }
            budget -= chunk;
            chunks.push((*id, *admitted, chunk));
        }
        chunks
    }

    /// Ends the running step: emits one token per decoded sequence and advances the prompts that were prefilled.
    pub(crate) fn finish_step(&mut self, out: &mut Vec<Output>) {
        let Some(step) = self.step.take() else { return };
        for (id, admitted) in step.decode {
            if self
                .sequences
                .get(&id)
                .is_some_and(|s| s.admitted == admitted)
            {
                self.emit_token(id, out);
            }
        }
        for (id, admitted, tokens) in step.prefill {
            let Some(s) = self
                .sequences
                .get_mut(&id)
                .filter(|s| s.admitted == admitted)
            else {
                continue;
            };
            s.prefilled += tokens;
            if s.prefilled < s.context_tokens() {
                continue;
            }
            self.memory
                .share_prompt_blocks(&mut s.allocation, &s.request.prompt.marks);
            if s.request.work != Work::Read {
                s.phase = Phase::Decoding;
                self.emit_token(id, out);
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

    /// Emits the next token of a request, and removes the request after its last token.
    pub(crate) fn emit_token(&mut self, id: Id, out: &mut Vec<Output>) {
        let Some(s) = self.sequences.get_mut(&id) else {
            return;
        };
        s.written = s.written.saturating_add(1);
        let last = s.written >= s.output_tokens();
        out.push(Output::Token {
            id,
            number: s.written,
            last,
            cached: s.cached.unwrap_or(0),
        });
        if last {
            self.remove(id);
        }
    }
}
