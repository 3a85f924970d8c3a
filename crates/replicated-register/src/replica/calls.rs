//! Calls of this process: in a line by register, each with an end.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use super::Replica;
use crate::job::{Answer, Ask, Job, Next};
use crate::memory::majority;
use crate::message::{Said, Stamp, Why};
use crate::register::{Accepted, Ballot, RegisterKey, State};
use crate::{Call, Output, ReplicaError, Version, VALUE_MOST};

/// Calls in hand at the most; beyond it they are refused as [`ReplicaError::Busy`].
pub const CALLS_MOST: usize = 4096;
/// Leads that are remembered; beyond it a write takes two rounds.
const LEADS_MOST: usize = 16 * 1024;
/// Gaps that are brought to all copies; beyond it they last longer where a copy missed one.
const TRAILS_MOST: usize = 4096;
/// What was not answered by then is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(150);
/// How long a gap is brought to copies that do not answer.
const TRAIL_LASTS: Duration = Duration::from_secs(60);

/// A gap that not all copies have taken yet.
pub struct Trail {
    ballot: Ballot,
    state: State,
    missing: BTreeSet<NameKey>,
    pub at: Duration,
    until: Duration,
}

type Change = (Option<Version>, u64, Option<Vec<u8>>);

impl Replica {
    pub(super) fn read(
        &mut self,
        now: Duration,
        call: Call,
        key: RegisterKey,
        until: Duration,
        out: &mut Vec<Output>,
    ) {
        match self.room(call) {
            true => self.enter(now, call, key, Ask::Read, until, out),
            false => out.push(Output::Read {
                call,
                found: Err(ReplicaError::Busy),
            }),
        }
    }

    pub(super) fn write(
        &mut self,
        now: Duration,
        call: Call,
        key: RegisterKey,
        (on, epoch, body): Change,
        until: Duration,
        out: &mut Vec<Output>,
    ) {
        let bytes = body.as_ref().map_or(0, Vec::len);
        let refused = match bytes > VALUE_MOST {
            true => Some(ReplicaError::TooLong {
                bytes,
                most: VALUE_MOST,
            }),
            false => (!self.room(call)).then_some(ReplicaError::Busy),
        };
        match refused {
            Some(error) => out.push(Output::Written {
                call,
                done: Err(error),
            }),
            None => self.enter(now, call, key, Ask::Write { on, epoch, body }, until, out),
        }
    }

    /// Whether one more call may be taken, under a number that is not in use.
    fn room(&mut self, call: Call) -> bool {
        let room = self.jobs.len() < CALLS_MOST && !self.jobs.contains_key(&call);
        self.counts.turned_away += u64::from(!room);
        room
    }

    fn enter(
        &mut self,
        now: Duration,
        call: Call,
        key: RegisterKey,
        ask: Ask,
        until: Duration,
        out: &mut Vec<Output>,
    ) {
        let job = Job::new(call, key, self.copies(key), until, ask, &mut self.mint);
        self.due.insert((until, call));
        self.jobs.insert(call, job);
        let line = self.lines.entry(key).or_default();
        line.push_back(call);
        if line.len() == 1 && now < until {
            self.begin(now, call, out);
        }
    }

    fn begin(&mut self, now: Duration, call: Call, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&call) else {
            return;
        };
        let looks = job.reads() && job.tries == 0;
        let lead = if looks {
            None
        } else {
            self.leads.remove(&job.key)
        };
        job.begin(lead, &mut self.mint);
        self.ask(now, call, out);
    }

    /// Asks the copies that have not answered, and again after a while.
    fn ask(&mut self, now: Duration, call: Call, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&call) else {
            return;
        };
        let Some((said, to)) = job.says() else { return };
        let was = job.at.min(job.until);
        job.at = now + ASK_AGAIN;
        self.due.remove(&(was, call));
        self.due.insert((job.at.min(job.until), call));
        to.into_iter()
            .for_each(|name| self.send(name, said.clone(), out));
    }

    /// The call that is under way for a register.
    fn under_way(&mut self, key: RegisterKey) -> Option<&mut Job> {
        let call = self.lines.get(&key)?.front()?;
        self.jobs.get_mut(call)
    }

    pub(super) fn on_promised(
        &mut self,
        now: Duration,
        from: NameKey,
        (key, ballot): (RegisterKey, Ballot),
        stamp: Stamp,
        accepted: Option<Accepted>,
        out: &mut Vec<Output>,
    ) {
        self.note(from, stamp.life, stamp.count, out);
        let mut mint = self.mint.clone();
        let Some(job) = self.under_way(key) else {
            return;
        };
        let next = job.on_promised(from, ballot, stamp, accepted, &mut mint);
        self.mint = mint;
        self.go_on(now, key, next, out);
    }

    pub(super) fn on_took(
        &mut self,
        now: Duration,
        from: NameKey,
        (key, ballot): (RegisterKey, Ballot),
        stamp: Stamp,
        out: &mut Vec<Output>,
    ) {
        self.note(from, stamp.life, stamp.count, out);
        if self
            .trails
            .get(&key)
            .is_some_and(|trail| trail.ballot == ballot)
        {
            return self.on_trail(key, from, out);
        }
        let mut mint = self.mint.clone();
        let Some(job) = self.under_way(key) else {
            return;
        };
        let next = job.on_took(from, ballot, stamp, &mut mint);
        self.mint = mint;
        self.go_on(now, key, next, out);
    }

    pub(super) fn on_refused(
        &mut self,
        now: Duration,
        from: NameKey,
        (key, ballot): (RegisterKey, Ballot),
        why: Why,
        out: &mut Vec<Output>,
    ) {
        if matches!(why, Why::Passed(_))
            && self.trails.get(&key).is_some_and(|t| t.ballot == ballot)
        {
            self.trails.remove(&key); // Somebody has begun it anew.
            return;
        }
        let mut mint = self.mint.clone();
        let Some(job) = self.under_way(key) else {
            return;
        };
        let next = job.on_refused(from, ballot, why, &mut mint);
        self.mint = mint;
        self.go_on(now, key, next, out);
    }

    fn go_on(&mut self, now: Duration, key: RegisterKey, next: Next, out: &mut Vec<Output>) {
        let Some(call) = self.lines.get(&key).and_then(|line| line.front()).copied() else {
            return;
        };
        match next {
            Next::Wait => {}
            Next::Ask => self.ask(now, call, out),
            Next::Again => {
                let draw = self.draw();
                let Some(job) = self.jobs.get_mut(&call) else {
                    return;
                };
                // At once at first, as it may only have been behind; two that met part by chance, over a wider and wider span.
                let span = if job.tries == 0 {
                    1
                } else {
                    4000u64 << job.tries.min(7)
                };
                self.due.remove(&(job.at.min(job.until), call));
                job.wait(now + Duration::from_micros(draw % span));
                self.due.insert((job.at.min(job.until), call));
            }
            Next::Done(answer, lead) => {
                if let Some(lead) = lead {
                    if self.leads.len() >= LEADS_MOST {
                        self.leads.pop_first();
                    }
                    self.leads.insert(key, lead);
                }
                self.finish(now, call, answer, out);
            }
        }
    }

    fn finish(&mut self, now: Duration, call: Call, answer: Answer, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.remove(&call) else {
            return;
        };
        self.due.remove(&(job.at.min(job.until), call));
        self.due.remove(&(job.until, call));
        if matches!(answer, Answer::Written(_)) {
            self.trail(now, &job, out);
        }
        out.push(match answer {
            Answer::Read(found) => Output::Read {
                call,
                found: Ok(found),
            },
            Answer::Written(version) => Output::Written {
                call,
                done: Ok(version),
            },
            Answer::Failed(error) if job.reads() => Output::Read {
                call,
                found: Err(error),
            },
            Answer::Failed(error) => Output::Written {
                call,
                done: Err(error),
            },
        });
        let Some(line) = self.lines.get_mut(&job.key) else {
            return;
        };
        let first = line.front() == Some(&call);
        line.retain(|waiting| *waiting != call);
        match line.front().copied() {
            None => drop(self.lines.remove(&job.key)),
            Some(next) if first => self.begin(now, next, out),
            Some(_) => {}
        }
    }

    pub(super) fn do_due_calls(&mut self, now: Duration, out: &mut Vec<Output>) {
        while let Some((at, call)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, call));
            let Some(job) = self.jobs.get_mut(&call) else {
                continue;
            };
            let first = self.lines.get(&job.key).and_then(|line| line.front()) == Some(&call);
            if job.until <= now {
                let error = if first {
                    job.failure()
                } else {
                    ReplicaError::Busy
                };
                self.finish(now, call, Answer::Failed(error), out);
            } else if !first {
                self.due.insert((job.until, call));
            } else if job.waits() {
                self.begin(now, call, out);
            } else {
                let key = job.key;
                self.stalled(now, key, out);
            }
        }
    }

    fn stalled(&mut self, now: Duration, key: RegisterKey, out: &mut Vec<Output>) {
        let peers = self.peers.as_ref().filter(|peers| now < peers.until);
        let there: Option<BTreeSet<NameKey>> =
            peers.map(|peers| peers.there.iter().copied().chain([self.own.name]).collect());
        let Some(job) = self.under_way(key) else {
            return;
        };
        let few = there.is_some_and(|there| {
            job.copies
                .iter()
                .filter(|name| there.contains(name))
                .count()
                < majority(job.copies.len())
        });
        let next = match job.undone(ReplicaError::NoMajority) {
            // It has tried, and by all that is known there is nobody to try on.
            ReplicaError::NoMajority if few => {
                Next::Done(Answer::Failed(ReplicaError::NoMajority), None)
            }
            _ => job.stalled(),
        };
        self.go_on(now, key, next, out);
    }

    /// Brings a gap to the copies that have not taken it, so that all may forget it soon.
    fn trail(&mut self, now: Duration, job: &Job, out: &mut Vec<Output>) {
        self.trails.remove(&job.key);
        let Some((ballot, state)) = job.gap().filter(|_| self.trails.len() < TRAILS_MOST) else {
            return;
        };
        let took: BTreeSet<NameKey> = job.answered().copied().collect();
        let missing: BTreeSet<NameKey> = job
            .copies
            .iter()
            .copied()
            .filter(|name| !took.contains(name))
            .collect();
        let trail = Trail {
            ballot,
            state,
            missing,
            at: now + ASK_AGAIN,
            until: now + TRAIL_LASTS,
        };
        self.trails.insert(job.key, trail);
        self.look_gone(job.key, out);
    }

    fn on_trail(&mut self, key: RegisterKey, from: NameKey, out: &mut Vec<Output>) {
        if let Some(trail) = self.trails.get_mut(&key) {
            trail.missing.remove(&from);
        }
        self.look_gone(key, out);
    }

    fn look_gone(&mut self, key: RegisterKey, out: &mut Vec<Output>) {
        let Some(trail) = self
            .trails
            .get(&key)
            .filter(|trail| trail.missing.is_empty())
        else {
            return;
        };
        let version = trail.state.version;
        self.trails.remove(&key);
        for name in self.copies(key) {
            self.send(name, Said::Gone { key, version }, out);
        }
    }

    pub(super) fn do_due_trails(&mut self, now: Duration, out: &mut Vec<Output>) {
        let due: Vec<RegisterKey> = self
            .trails
            .iter()
            .filter(|(_, trail)| trail.at <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let Some(trail) = self.trails.get_mut(&key) else {
                continue;
            };
            if trail.until <= now {
                self.trails.remove(&key);
                continue;
            }
            trail.at = now + ASK_AGAIN * 8;
            let said = Said::Accept {
                key,
                ballot: trail.ballot,
                state: trail.state.clone(),
            };
            let missing = trail.missing.clone();
            missing
                .into_iter()
                .for_each(|name| self.send(name, said.clone(), out));
        }
    }
}
