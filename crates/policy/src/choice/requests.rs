//! The state machine of a request: `launch` alone sends, `finish` alone ends.

use super::*;

/// Seconds that a written request may take to its server: a few ways there, or one turn of a busy process.
const ARRIVAL_S: f64 = 0.02;
/// Share of the time for repeats that is left unused at the least, as servers count from another moment.
const REPEAT_MARGIN: f64 = 0.1;
const HOLD_SHARE: f64 = 0.5; // Share of the pin limit for which a state may wait for a writer.
/// Share of the aim past due after which a silent attempt is called back from a server heard of late.
const SILENCE_HEARD: f64 = 0.3;
/// The same elsewhere, as the silence of a server seldom heard of proves little.
const SILENCE_UNHEARD: f64 = 1.5;
const HEARD_LATE_S: f64 = 4.0; // Seconds within which a server was heard of late.

#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Stage {
    Out,
    Held,        // A state waits at a reader and no attempt is out.
    Asking(f64), // Until then, probes are out for the choice of a reader.
    Streaming,
    #[default]
    Idle,
}

/// Whether an attempt that has ended may have had an effect.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Execution {
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Default)]
pub(super) struct Job {
    pub ask: Request,
    pub key: u64, // By which it has homes, and the share of the latest requests by the same.
    pub alike: f64,
    pub tokens: (f64, f64), // Of memory that it holds in the mean of its run, and beyond that at its end.
    pub deadline: f64,
    pub stage: Stage,
    pub attempts: u32,
    pub at: ServerId, // Server of the attempt that is out, or that streams, and when it was sent.
    pub sent: f64,
    pub held: HeldState,
    pub queue_s: f64, // As estimated when it was sent to be read.
    pub read_s: f64,
    pub asked: Vec<ServerId>, // Servers whose probes it waits for.
    /// The first attempt that may have had an effect: server and time of sending.
    pub may_have_run: Option<(ServerId, f64)>,
    pub over: bool, // The final answer is given; only an outcome is waited for.
    pub first_after: f64,
    pub late_s: f64,   // Longest first-token time at which it is still taken.
    pub promised: f64, // When its first token was expected, at admission.
}

impl Router {
    pub(super) fn class(&self, job: &Job) -> &ClassSettings {
        &self.set.classes[usize::from(job.ask.class)]
    }

    /// Whether an attempt there may not be followed by another unless it is known not to have run.
    pub(super) fn once(&self, job: &Job, s: &Server) -> bool {
        let runs = s.role != Role::Prefill || self.set.lost_prefill_may_have_run;
        runs && self.class(job).effect == Effect::NonIdempotent
    }

    pub(super) fn aim(&self, ask: &Request) -> f64 {
        let class = &self.set.classes[usize::from(ask.class)];
        class.ttft_objective_s + class.ttft_objective_per_token_s * ask.prompt_tokens
    }

    pub(super) fn silence_s(&self, ask: &Request, s: &Server, sent: f64) -> f64 {
        self.aim(ask)
            * if sent - s.heard < HEARD_LATE_S {
                SILENCE_HEARD
            } else {
                SILENCE_UNHEARD
            }
    }

    pub(super) fn usable(&self, s: &Server, job: &Job, now: f64) -> bool {
        if !s.ready() || now < s.shut_until {
            return false;
        }
        let Some((first, since)) = job.may_have_run else {
            return true;
        };
        match self.class(job).effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::IdempotencyKey { scope, window_s } => {
                let group = |e: &ServerEntry| {
                    if scope == KeyScope::Zone {
                        e.zone
                    } else {
                        e.cell
                    }
                };
                let same = self
                    .servers
                    .get(&first)
                    .is_some_and(|f| group(&f.entry) == group(&s.entry));
                (same || scope == KeyScope::All)
                    && now - since + self.arrival_s(window_s) < window_s
            }
        }
    }

    /// Seconds until a repeat that is sent now has arrived: a connection may have to come up for it first.
    fn arrival_s(&self, window_s: f64) -> f64 {
        (self.set.limits.connect_timeout_s + ARRIVAL_S).max(REPEAT_MARGIN * window_s)
    }

    fn may_refuse(&self, job: &Job) -> bool {
        let any = matches!(
            self.class(job).effect,
            Effect::Idempotent
                | Effect::IdempotencyKey {
                    scope: KeyScope::All,
                    ..
                }
        );
        any || job.may_have_run.is_none() && job.stage != Stage::Out
    }

    pub(super) fn send_read(&mut self, now: f64, id: RequestId, e: Estimate, out: &mut Actions) {
        self.jobs
            .entry(id)
            .and_modify(|j| (j.queue_s, j.read_s) = (e.queue_s, e.read_s));
        self.probe_writers(now, id, e.server, out);
        self.launch(now, id, e.server, e.queue_s + e.read_s, out);
    }

    pub(super) fn send_write(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        match self.best_writer(job, now) {
            Some(to) => {
                let expected_s = 0.15
                    + self
                        .servers
                        .get(&to)
                        .map_or(0.0, |s| self.write_wait(s, now));
                self.launch(now, id, to, expected_s, out);
            }
            // No writer can take the state now: it waits a little within the pin limit.
            None if job
                .held
                .known()
                .is_some_and(|at| now - at.1 <= self.set.kv_hold_limit_s * HOLD_SHARE) =>
            {
                wake(id, now + 2.0 * ASK_WAIT_S, out);
            }
            None => self.give_up(id, 0.5, Cause::NoDecodeServer, out),
        }
    }

    /// The one place that sends. Refuses what a rule forbids, whatever the caller chose.
    fn launch(
        &mut self,
        now: f64,
        id: RequestId,
        to: ServerId,
        expected_s: f64,
        out: &mut Actions,
    ) {
        let (Some(job), Some(s)) = (self.jobs.get(&id), self.servers.get(&to)) else {
            return;
        };
        let allowed = !job.over
            && matches!(job.stage, Stage::Idle | Stage::Held)
            && job.attempts < self.set.limits.max_attempts
            && now < job.deadline
            && self.usable(s, job, now);
        if !allowed {
            return self.give_up(id, 0.5, Cause::Forbidden, out);
        }
        let holder = job
            .held
            .known()
            .and_then(|at| self.servers.get(&at.0))
            .map(|r| r.entry.cell);
        let link = holder.filter(|cell| *cell != s.entry.cell);
        let silence_s = 2.0 * expected_s + self.silence_s(&job.ask, s, now);
        let timeout_s = if self.once(job, s) || self.set.limits.may_cancel {
            0.0
        } else {
            silence_s
        };
        let (Some(job), Some(s)) = (self.jobs.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        (job.stage, job.at, job.sent, job.attempts) = (Stage::Out, to, now, job.attempts + 1);
        let work_s = if job.held.known().is_none() {
            job.read_s
        } else {
            0.0
        };
        s.pending.insert(
            id,
            Pending {
                work_s,
                due: now + expected_s,
                tokens: job.tokens,
                link,
            },
        );
        out.push(Action::Send {
            request: id,
            server: to,
            timeout_s,
        });
        wake(id, now + silence_s, out);
    }

    pub(super) fn give_up(
        &mut self,
        id: RequestId,
        retry_after_s: f64,
        cause: Cause,
        out: &mut Actions,
    ) {
        self.last_failure = Some(FailedRequest { request: id, cause });
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let retry_after_s = retry_after_s.min(self.set.limits.max_retry_after_s.max(0.0));
        let refusal = Action::Reject {
            request: id,
            retry_after_s,
        };
        let answer = if self.may_refuse(job) {
            refusal
        } else {
            Action::Fail { request: id }
        };
        self.finish(id, Some(answer), out);
    }

    /// The one place that ends a request: gives the final answer, if it is owed, and lets go of its state.
    pub(super) fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Actions) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut job.over, true) {
            out.extend(answer);
        }
        if matches!(job.stage, Stage::Out | Stage::Streaming) {
            return;
        }
        out.extend(
            job.held
                .needs_release()
                .then_some(Action::Release { request: id }),
        );
        self.jobs.remove(&id);
    }

    pub(super) fn cancel(&mut self, id: RequestId, out: &mut Actions) {
        let cancellable = |j: &&Job| j.stage == Stage::Out && !j.over && self.set.limits.may_cancel;
        let job = self.jobs.get(&id).filter(cancellable);
        out.extend(job.map(|j| Action::Cancel {
            request: id,
            attempt: (j.attempts - 1) as u16,
        }));
    }

    /// The one place that says whether an attempt may have had an effect, by its outcome, which tells whether
    /// the request's last byte was written, and by its stage. A prefill has none once it has ended, which
    /// only an answer shows: one that was given up or broke may go on, or its answer may have been lost.
    pub(super) fn execution(&self, end: &AttemptEnd) -> Execution {
        let prefill = self
            .servers
            .get(&end.server)
            .is_some_and(|s| s.role == Role::Prefill);
        match end.outcome {
            Outcome::PrefillDone
            | Outcome::Rejected { .. }
            | Outcome::ConnectFailed
            | Outcome::NotSent => Execution::NeverRan,
            Outcome::Error if prefill => Execution::NeverRan,
            _ if prefill && !self.set.lost_prefill_may_have_run => Execution::NeverRan,
            _ => Execution::MayHaveRun,
        }
    }

    /// After an attempt that has not served it; `expired`: its state was released while that was out.
    pub(super) fn go_on(&mut self, now: f64, end: &AttemptEnd, expired: bool, out: &mut Actions) {
        let (id, outcome) = (end.request, end.outcome);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let spent = self.class(job).effect == Effect::NonIdempotent && job.may_have_run.is_some();
        // Nobody has taken its state; it would be held too long, did another way there come up no sooner.
        let most_s = self.set.kv_hold_limit_s + 3.0 * self.set.tick_s;
        let overdue = |at: (ServerId, f64)| now + sane(end.elapsed_s) > at.1 + most_s;
        let expired = expired || job.held.known().is_some_and(overdue);
        let held = outcome == Outcome::ConnectFailed && expired;
        let late = now + 2.0 * self.set.tick_s >= job.deadline;
        let cause = match outcome {
            _ if spent => Some(Cause::MayHaveRun),
            _ if held => Some(Cause::StateExpired),
            _ if late => Some(Cause::Deadline),
            Outcome::NotSent => Some(Cause::NotSent),
            _ => None,
        };
        if let Some(cause) = cause {
            return self.give_up(id, 0.2, cause, out);
        }
        let left = self.retries - f64::from(outcome != Outcome::PrefillDone);
        if left < 0.0 {
            return self.give_up(id, 0.5, Cause::NoRetryLeft, out);
        }
        self.retries = left;
        if job.held.known().is_some() {
            return self.send_write(now, id, out);
        }
        match self.best_reader(job, now) {
            Some(e) if now + e.total_s < job.deadline => self.send_read(now, id, e, out),
            Some(_) => self.give_up(id, 0.5, Cause::Deadline, out),
            None => self.give_up(id, 0.5, Cause::NoPrefillServer, out),
        }
    }
}
