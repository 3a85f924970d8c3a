//! The desk's part in what leaves: permissions, attempts that are under way, intents that have to be undone.

use std::time::Duration;

use bitternlatch_replicated_register::RegisterKey;

use crate::desk::{new_job, us, Desk, Due, Out, SILENTLY};
use crate::io::{Fate, Refusal, Told};
use crate::job::{Act, Job, Phase};
use crate::record::{Answer, Record, State};
use crate::watch::leaves;

impl Desk {
    /// An intent is held: its effect may leave for less than half of the lease that was asked for with it.
    pub(crate) fn go(
        &mut self,
        now: Duration,
        asked: (Duration, Duration),
        id: u64,
        out: &mut Vec<Out>,
    ) {
        let (asked, lease) = asked;
        let Some(job) = self.queue.jobs.get_mut(&id) else {
            return;
        };
        let Act::Intend {
            attempt: Some(attempt),
            ..
        } = job.act
        else {
            return;
        };
        let until = match self.guards.fencing {
            true => asked + leaves(lease),
            false => Duration::from_micros(u64::MAX),
        };
        if now >= until {
            job.doubt = true;
            return self.undo(now, id, Refusal::NoMajority, out);
        }
        let key = job.key;
        self.attempts.sent(now, key, attempt);
        self.timers.set(Due::Carry(key), asked + lease / 3);
        if let Some(call) = self.leave(now, id, out).and_then(|job| job.call) {
            out.push(Out::Tell(Told::Go {
                call,
                until_us: us(until),
            }));
        }
    }

    /// An intent that nobody was told to send, though the register may hold it: it is told so, silently.
    pub(crate) fn undo(&mut self, now: Duration, id: u64, why: Refusal, out: &mut Vec<Out>) {
        let Some(job) = self.leave(now, id, out) else {
            return;
        };
        self.refuse(job.call, why, out);
        let Act::Intend {
            attempt: Some(attempt),
            step,
            epoch,
            ..
        } = job.act
        else {
            return;
        };
        if !job.doubt && !matches!(job.phase, Phase::Writes { .. }) {
            return self.attempts.close(job.key, attempt);
        }
        let act = Act::Ended {
            epoch,
            step,
            fate: Fate::NeverRan,
            attempt: Some(attempt),
        };
        self.take(
            now,
            new_job(now, job.key, job.name, None, act, now + SILENTLY),
            out,
        )
    }

    /// What this process remembers of its attempts when a question is answered.
    pub(crate) fn settle_attempts(
        &mut self,
        now: Duration,
        job: &Job,
        answer: &Answer,
        record: Option<&Record>,
    ) {
        if record.is_some_and(|r| matches!(r.state(), State::Over(_))) {
            self.timers.clear(Due::Carry(job.key));
            return self.attempts.close_all(job.key);
        }
        let unheard = matches!(
            answer,
            Answer::Refused(Refusal::NoMajority | Refusal::NotKept | Refusal::Busy | Refusal::Lost)
        );
        match &job.act {
            Act::Ended {
                attempt: Some(attempt),
                ..
            } if !unheard => self.attempts.close(job.key, *attempt),
            Act::Intend {
                attempt: Some(attempt),
                ..
            } => self.attempts.close(job.key, *attempt),
            Act::Carry { epoch } if !unheard && *answer != Answer::Held => {
                self.attempts.fenced(job.key, *epoch);
            }
            Act::Carry { .. } if self.attempts.carrying(now, job.key).is_some() => {
                let lease = record.map_or(self.lease, |r| self.lease_of(r));
                self.timers.set(Due::Carry(job.key), now + lease / 3);
            }
            _ => {}
        }
    }

    /// While an attempt is under way here its workflow is carried, so that nobody adopts it in the middle of a long call.
    pub(crate) fn carry(&mut self, now: Duration, key: RegisterKey, out: &mut Vec<Out>) {
        let Some(epoch) = self.attempts.carrying(now, key) else {
            return;
        };
        let record = self.cache.get(key).map(|(_, record)| record);
        let lease = record.as_ref().map_or(self.lease, |r| self.lease_of(r));
        self.timers.set(Due::Carry(key), now + lease / 3);
        if !self.queue.busy(key) {
            let name = record.map(|r| r.name).unwrap_or_default();
            self.take(
                now,
                new_job(now, key, name, None, Act::Carry { epoch }, now + lease / 2),
                out,
            );
        }
    }
}
