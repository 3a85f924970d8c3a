//! The transitions of steps: intended, ended, settled by a person.

use crate::io::{Effect, Fate, Refusal};
use crate::record::{Answer, Guards, Limits, Notice, Record, State, Turn};
use crate::step::{cut, Attempt, Entry, Stage, LEFT_OUT, NAME_MOST, RESULT_MOST};

/// A step that is about to leave.
#[derive(Clone, Debug, PartialEq)]
pub struct Intent<'a> {
    pub epoch: u64,
    pub step: u32,
    pub effect: Effect,
    pub key: &'a str,
    pub asks: u64,
    pub attempt: Attempt,
}

/// What this process knows of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mine {
    /// It never told anybody to send it.
    NeverSent,
    /// It is under way here.
    Running,
    /// Another process's, or one that it has forgotten.
    Unknown,
}

impl Record {
    /// Before an effect leaves.
    pub fn intend(
        &mut self,
        intent: &Intent,
        mine: impl Fn(Attempt) -> Mine,
        limits: &Limits,
        guards: Guards,
    ) -> Turn {
        if matches!(self.state, State::Over(_)) {
            return Turn::refused(Refusal::Ended);
        }
        if guards.fencing && intent.epoch != self.epoch {
            return Turn::refused(Refusal::Fenced);
        }
        if let Some(why) = self.closed_to() {
            return Turn::refused(why);
        }
        if intent.key.len() > NAME_MOST {
            return Turn::refused(Refusal::Limit);
        }
        match self.steps.iter().position(|e| e.number == intent.step) {
            Some(at) => self.intend_known(at, intent, mine, guards),
            None => self.intend_next(intent, limits),
        }
    }

    fn intend_next(&mut self, intent: &Intent, limits: &Limits) -> Turn {
        let next = match self.steps.last() {
            Some(last) if intent.step < last.number => return self.compacted(intent.step),
            // Callers count from nought or from one.
            None => intent.step <= 1,
            Some(last) => last.closed() && last.number.checked_add(1) == Some(intent.step),
        };
        if !next {
            return Turn::refused(Refusal::Unknown);
        }
        if self.closed() >= limits.steps
            || self.bytes >= limits.bytes
            || self.tokens >= limits.tokens
        {
            return Turn::refused(Refusal::Limit);
        }
        self.steps.push(Entry {
            number: intent.step,
            effect: intent.effect,
            key: intent.key.to_string(),
            asks: intent.asks,
            stage: Stage::Intended {
                epoch: intent.epoch,
                attempt: intent.attempt,
            },
            earlier: false,
            late: vec![],
            late_lost: 0,
        });
        self.word();
        Turn::write(Answer::Go)
    }

    /// A step that was compacted is done: it is never run again, whatever is left of its result.
    fn compacted(&self, step: u32) -> Turn {
        let first = self.steps.first().map_or(0, |e| e.number);
        if step >= first || first - step > self.context.steps() {
            return Turn::refused(Refusal::Unknown);
        }
        let line = self
            .context
            .find(step)
            .unwrap_or("done; its result is compacted");
        Turn::as_it_is(Answer::Known(line.to_string()))
    }

    fn intend_known(
        &mut self,
        at: usize,
        intent: &Intent,
        mine: impl Fn(Attempt) -> Mine,
        guards: Guards,
    ) -> Turn {
        let entry = &mut self.steps[at];
        let same = entry.asks == intent.asks
            && entry.effect == intent.effect
            && (entry.effect != Effect::Keyed || entry.key == intent.key);
        if !same && entry.stage != Stage::Planned {
            return Turn::refused(Refusal::OtherRequest);
        }
        let before = match &entry.stage {
            Stage::Done { result, .. } => return Turn::as_it_is(Answer::Known(result.clone())),
            Stage::Abandoned => return Turn::as_it_is(Answer::Known(LEFT_OUT.to_string())),
            Stage::Planned => None,
            Stage::Intended { attempt, .. } | Stage::MayHaveRun { attempt } => Some(*attempt),
        };
        let before = before.map(|attempt| (attempt, mine(attempt)));
        match before {
            None | Some((_, Mine::NeverSent)) => {}
            Some(_) if entry.effect != Effect::Unsafe => entry.earlier = true,
            // Whoever comes is taken for who has it: this is what fencing is there against.
            Some(_) if !guards.fencing => {}
            Some((_, Mine::Running)) => return Turn::refused(Refusal::Busy),
            Some((attempt, _)) => {
                entry.stage = Stage::MayHaveRun { attempt };
                let turn = Turn::write(Answer::Refused(Refusal::Unsettled));
                return Turn {
                    notice: self.unsettle(),
                    ..turn
                };
            }
        }
        entry.effect = intent.effect;
        entry.key = intent.key.to_string();
        entry.asks = intent.asks;
        entry.stage = Stage::Intended {
            epoch: intent.epoch,
            attempt: intent.attempt,
        };
        self.word();
        Turn::write(Answer::Go)
    }

    /// How an attempt ended. Its own result stands where none stands yet, also when it comes late and under an older epoch: it
    /// is known then what happened, and nobody has to guess. The teller is refused all the same.
    pub fn ended(
        &mut self,
        epoch: u64,
        step: u32,
        fate: &Fate,
        attempt: Option<Attempt>,
        guards: Guards,
    ) -> Turn {
        if matches!(self.state, State::Over(_)) {
            return Turn::refused(Refusal::Ended);
        }
        let current = !guards.fencing || epoch == self.epoch;
        let told = if current {
            Answer::Held
        } else {
            Answer::Refused(Refusal::Fenced)
        };
        let Some(at) = self.steps.iter().position(|e| e.number == step) else {
            return self.ended_long_ago(step, fate, told);
        };
        let entry = &self.steps[at];
        let own = match entry.stage {
            Stage::Intended {
                epoch: under,
                attempt: last,
            } => attempt.map_or(current && under == epoch, |a| a == last) || !guards.fencing,
            Stage::MayHaveRun { attempt: last } => attempt == Some(last) || !guards.fencing,
            Stage::Planned => attempt.is_some() || current,
            Stage::Done { .. } | Stage::Abandoned => false,
        };
        match fate {
            // Of two attempts under one epoch either may be the first to end.
            Fate::Done { result, tokens } if own || current && !entry.closed() => {
                self.stand(at, result, *tokens, told)
            }
            Fate::Done { result, .. } => self.beside(at, result, told),
            Fate::MayHaveRun if own && current => self.doubt(at, attempt, told),
            Fate::NeverRan if own => self.never(at, told),
            Fate::MayHaveRun | Fate::NeverRan => Turn::as_it_is(told),
        }
    }

    fn stand(&mut self, at: usize, result: &str, tokens: u32, told: Answer) -> Turn {
        let kept = cut(result, RESULT_MOST);
        self.bytes = self.bytes.saturating_add(kept.len() as u64);
        self.tokens = self.tokens.saturating_add(tokens.into());
        let entry = &mut self.steps[at];
        let number = entry.number;
        entry.stage = Stage::Done {
            result: kept,
            tokens,
        };
        let lifted = self.state == State::Unsettled;
        if lifted {
            self.state = State::Open;
        }
        self.deaths = 0;
        if told == Answer::Held {
            self.word();
        }
        self.compact();
        let turn = Turn::write(told);
        if lifted {
            turn.noting(Notice::Known { step: number })
        } else {
            turn
        }
    }

    /// A second result: the one that a majority held first stands, and is what its teller is told; this one is kept beside it.
    fn beside(&mut self, at: usize, result: &str, told: Answer) -> Turn {
        let entry = &mut self.steps[at];
        let kept = cut(result, RESULT_MOST);
        let told = match &entry.stage {
            Stage::Done { result, .. } if *result == kept => return Turn::as_it_is(told),
            Stage::Done { result, .. } if told == Answer::Held => Answer::Known(result.clone()),
            Stage::Abandoned if told == Answer::Held => Answer::Known(LEFT_OUT.to_string()),
            _ => told,
        };
        let number = entry.number;
        entry.keep_late(result);
        Turn::write(told).noting(Notice::TwoResults { step: number })
    }

    fn ended_long_ago(&mut self, step: u32, fate: &Fate, told: Answer) -> Turn {
        let known = self.compacted(step).answer;
        if !matches!(known, Answer::Known(_)) {
            return Turn::refused(Refusal::Unknown);
        }
        let Fate::Done { result, .. } = fate else {
            return Turn::as_it_is(told);
        };
        self.context.late(step, result);
        let told = if told == Answer::Held { known } else { told };
        Turn::write(told).noting(Notice::TwoResults { step })
    }

    fn doubt(&mut self, at: usize, attempt: Option<Attempt>, told: Answer) -> Turn {
        let entry = &mut self.steps[at];
        let Some(attempt) = entry.attempt().or(attempt) else {
            return Turn::as_it_is(told);
        };
        entry.stage = Stage::MayHaveRun { attempt };
        let notice = self.unsettle();
        let answer = if notice.is_some() {
            Answer::Refused(Refusal::Unsettled)
        } else {
            told
        };
        Turn {
            notice,
            ..Turn::write(answer)
        }
    }

    fn never(&mut self, at: usize, told: Answer) -> Turn {
        let entry = &mut self.steps[at];
        let Some(attempt) = entry.attempt() else {
            return Turn::as_it_is(told);
        };
        let number = entry.number;
        // The last attempt never ran; one before it may have.
        entry.stage = if entry.earlier {
            Stage::MayHaveRun { attempt }
        } else {
            Stage::Planned
        };
        let lifted = self.state == State::Unsettled && self.steps[at].stage == Stage::Planned;
        if lifted {
            self.state = State::Open;
            return Turn::write(told).noting(Notice::Known { step: number });
        }
        Turn::write(told)
    }

    /// A person decides: it ran with this result, it never ran, or it is left out. `quiet`: the lease in the record was seen
    /// here, without a word, for longer than it lasts, so that no permission to send is left anywhere.
    pub fn settle(&mut self, step: u32, fate: &Fate, quiet: bool) -> Turn {
        match self.state {
            State::Over(_) => return Turn::refused(Refusal::Ended),
            State::Open => return Turn::refused(Refusal::Unknown),
            _ if !quiet => return Turn::refused(Refusal::Carried),
            State::Parked => {}
            State::Unsettled => {
                let Some(at) = self
                    .steps
                    .iter()
                    .position(|e| e.number == step && !e.closed())
                else {
                    return Turn::refused(Refusal::Unknown);
                };
                match fate {
                    Fate::Done { result, tokens } => {
                        drop(self.stand(at, result, *tokens, Answer::Held))
                    }
                    Fate::NeverRan => self.steps[at].stage = Stage::Planned,
                    Fate::MayHaveRun => self.steps[at].stage = Stage::Abandoned,
                }
            }
        }
        self.state = State::Open;
        self.deaths = 0;
        self.epoch += 1;
        self.worker.clear();
        self.word();
        self.compact();
        Turn::write(Answer::Held)
    }
}
