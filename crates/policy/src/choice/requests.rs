//! The state machine of a request: `launch` alone sends, `finish` alone ends.

use super::*;

/// Seconds that a written request may take to its server: a few ways there, or one turn of a busy process.
const ARRIVAL_S: f64 = 0.02;
/// Share of the time for repeats that is left unused at the least, as servers count from another moment.
const RETRY_WINDOW_MARGIN: f64 = 0.1;
const DECODE_WAIT_FRACTION: f64 = 0.5; // Share of the pin limit for which a state may wait for a writer.
/// Share of the aim past due after which a silent attempt is called back from a server heard of late.
const RECENT_SILENCE_RATIO: f64 = 0.3;
/// The same elsewhere, as the silence of a server seldom heard of proves little.
const STALE_SILENCE_RATIO: f64 = 1.5;
const RECENT_SUCCESS_S: f64 = 4.0; // Seconds within which a server was heard of late.

#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Stage {
    InFlight,
    AwaitingDecode, // A state waits at a reader and no attempt is out.
    Probing(f64),   // Until then, probes are out for the choice of a reader.
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
pub(super) struct RequestState {
    pub request: Request,
    pub key: u64, // By which it has homes, and the share of the latest requests by the same.
    pub key_share: f64,
    pub tokens: (f64, f64), // Of memory that it holds in the mean of its run, and beyond that at its end.
    pub deadline: f64,
    pub stage: Stage,
    pub attempts: u32,
    pub at: ServerId, // Server of the attempt that is out, or that streams, and when it was sent.
    pub sent: f64,
    pub kv_state: HeldState,
    pub queue_s: f64, // As estimated when it was sent to be read.
    pub prefill_s: f64,
    pub probed: Vec<ServerId>, // Servers whose probes it waits for.
    /// The first attempt that may have had an effect: server and time of sending.
    pub may_have_run: Option<(ServerId, f64)>,
    pub answered: bool, // The final answer is given; only an outcome is waited for.
    pub first_after: f64,
    pub max_first_token_s: f64, // Longest first-token time at which it is still taken.
    pub expected_first_token_at: f64, // When its first token was expected, at admission.
}

impl Router {
    pub(super) fn class(&self, state: &RequestState) -> &ClassSettings {
        &self.settings.classes[usize::from(state.request.class)]
    }

    /// Whether an attempt there may not be followed by another unless it is known not to have run.
    pub(super) fn single_attempt(&self, state: &RequestState, server: &Server) -> bool {
        let runs = server.role != Role::Prefill || self.settings.lost_prefill_may_have_run;
        runs && self.class(state).effect == Effect::NonIdempotent
    }

    pub(super) fn latency_objective(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[usize::from(request.class)];
        class.ttft_objective_s + class.ttft_objective_per_token_s * request.prompt_tokens
    }

    pub(super) fn silence_s(&self, request: &Request, server: &Server, sent: f64) -> f64 {
        self.latency_objective(request)
            * if sent - server.last_success_at < RECENT_SUCCESS_S {
                RECENT_SILENCE_RATIO
            } else {
                STALE_SILENCE_RATIO
            }
    }

    pub(super) fn usable(&self, server: &Server, state: &RequestState, now: f64) -> bool {
        if !server.ready() || now < server.closed_until {
            return false;
        }
        let Some((first, since)) = state.may_have_run else {
            return true;
        };
        match self.class(state).effect {
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
                    .is_some_and(|f| group(&f.entry) == group(&server.entry));
                (same || scope == KeyScope::All)
                    && now - since + self.arrival_s(window_s) < window_s
            }
        }
    }

    /// Seconds until a repeat that is sent now has arrived: a connection may have to come up for it first.
    fn arrival_s(&self, window_s: f64) -> f64 {
        (self.settings.limits.connect_timeout_s + ARRIVAL_S).max(RETRY_WINDOW_MARGIN * window_s)
    }

    fn may_reject(&self, state: &RequestState) -> bool {
        let any = matches!(
            self.class(state).effect,
            Effect::Idempotent
                | Effect::IdempotencyKey {
                    scope: KeyScope::All,
                    ..
                }
        );
        any || state.may_have_run.is_none() && state.stage != Stage::InFlight
    }

    pub(super) fn send_prefill(
        &mut self,
        now: f64,
        id: RequestId,
        e: Estimate,
        actions: &mut Actions,
    ) {
        self.requests
            .entry(id)
            .and_modify(|state| (state.queue_s, state.prefill_s) = (e.queue_s, e.prefill_s));
        self.probe_decode_servers(now, id, e.server, actions);
        self.launch(now, id, e.server, e.queue_s + e.prefill_s, actions);
    }

    pub(super) fn send_decode(&mut self, now: f64, id: RequestId, actions: &mut Actions) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        match self.best_decode_server(state, now) {
            Some(to) => {
                let expected_s = 0.15
                    + self
                        .servers
                        .get(&to)
                        .map_or(0.0, |server| self.decode_wait_s(server, now));
                self.launch(now, id, to, expected_s, actions);
            }
            // No writer can take the state now: it waits a little within the pin limit.
            None if state.kv_state.known().is_some_and(|at| {
                now - at.1 <= self.settings.kv_hold_limit_s * DECODE_WAIT_FRACTION
            }) =>
            {
                set_timer(id, now + 2.0 * PROBE_WAIT_S, actions);
            }
            None => self.reject_or_fail(id, 0.5, Cause::NoDecodeServer, actions),
        }
    }

    /// The one place that sends. Refuses what a rule forbids, whatever the caller chose.
    fn launch(
        &mut self,
        now: f64,
        id: RequestId,
        to: ServerId,
        expected_s: f64,
        actions: &mut Actions,
    ) {
        let (Some(state), Some(server)) = (self.requests.get(&id), self.servers.get(&to)) else {
            return;
        };
        let allowed = !state.answered
            && matches!(state.stage, Stage::Idle | Stage::AwaitingDecode)
            && state.attempts < self.settings.limits.max_attempts
            && now < state.deadline
            && self.usable(server, state, now);
        if !allowed {
            return self.reject_or_fail(id, 0.5, Cause::Forbidden, actions);
        }
        let holder = state
            .kv_state
            .known()
            .and_then(|at| self.servers.get(&at.0))
            .map(|r| r.entry.cell);
        let link = holder.filter(|cell| *cell != server.entry.cell);
        let silence_s = 2.0 * expected_s + self.silence_s(&state.request, server, now);
        let timeout_s = if self.single_attempt(state, server) || self.settings.limits.may_cancel {
            0.0
        } else {
            silence_s
        };
        let (Some(state), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to))
        else {
            return;
        };
        (state.stage, state.at, state.sent, state.attempts) =
            (Stage::InFlight, to, now, state.attempts + 1);
        let work_s = if state.kv_state.known().is_none() {
            state.prefill_s
        } else {
            0.0
        };
        server.in_flight.insert(
            id,
            InFlightAttempt {
                work_s,
                due: now + expected_s,
                tokens: state.tokens,
                link,
            },
        );
        actions.push(Action::Send {
            request: id,
            server: to,
            timeout_s,
        });
        set_timer(id, now + silence_s, actions);
    }

    pub(super) fn reject_or_fail(
        &mut self,
        id: RequestId,
        retry_after_s: f64,
        cause: Cause,
        actions: &mut Actions,
    ) {
        self.last_failure = Some(FailedRequest { request: id, cause });
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let retry_after_s = retry_after_s.min(self.settings.limits.max_retry_after_s.max(0.0));
        let refusal = Action::Reject {
            request: id,
            retry_after_s,
        };
        let answer = if self.may_reject(state) {
            refusal
        } else {
            Action::Fail { request: id }
        };
        self.finish(id, Some(answer), actions);
    }

    /// The one place that ends a request: gives the final answer, if it is owed, and lets go of its state.
    pub(super) fn finish(&mut self, id: RequestId, answer: Option<Action>, actions: &mut Actions) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut state.answered, true) {
            actions.extend(answer);
        }
        if matches!(state.stage, Stage::InFlight | Stage::Streaming) {
            return;
        }
        actions.extend(
            state
                .kv_state
                .needs_release()
                .then_some(Action::Release { request: id }),
        );
        self.requests.remove(&id);
    }

    pub(super) fn cancel(&mut self, id: RequestId, actions: &mut Actions) {
        let cancellable = |state: &&RequestState| {
            state.stage == Stage::InFlight && !state.answered && self.settings.limits.may_cancel
        };
        let state = self.requests.get(&id).filter(cancellable);
        actions.extend(state.map(|state| Action::Cancel {
            request: id,
            attempt: (state.attempts - 1) as u16,
        }));
    }

    /// The one place that says whether an attempt may have had an effect, by its outcome, which tells whether
    /// the request's last byte was written, and by its stage. A prefill has none once it has ended, which
    /// only an answer shows: one that was given up or broke may go on, or its answer may have been lost.
    pub(super) fn execution(&self, end: &AttemptEnd) -> Execution {
        let prefill = self
            .servers
            .get(&end.server)
            .is_some_and(|server| server.role == Role::Prefill);
        match end.outcome {
            Outcome::PrefillDone
            | Outcome::Rejected { .. }
            | Outcome::ConnectFailed
            | Outcome::NotSent => Execution::NeverRan,
            Outcome::Error if prefill => Execution::NeverRan,
            _ if prefill && !self.settings.lost_prefill_may_have_run => Execution::NeverRan,
            _ => Execution::MayHaveRun,
        }
    }

    /// After an attempt that has not served it; `expired`: its state was released while that was out.
    pub(super) fn continue_after(
        &mut self,
        now: f64,
        end: &AttemptEnd,
        expired: bool,
        actions: &mut Actions,
    ) {
        let (id, outcome) = (end.request, end.outcome);
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let spent =
            self.class(state).effect == Effect::NonIdempotent && state.may_have_run.is_some();
        // Nobody has taken its state; it would be held too long, did another way there come up no sooner.
        let most_s = self.settings.kv_hold_limit_s + 3.0 * self.settings.tick_s;
        let overdue = |at: (ServerId, f64)| now + non_negative(end.elapsed_s) > at.1 + most_s;
        let expired = expired || state.kv_state.known().is_some_and(overdue);
        let kv_state = outcome == Outcome::ConnectFailed && expired;
        let late = now + 2.0 * self.settings.tick_s >= state.deadline;
        let cause = match outcome {
            _ if spent => Some(Cause::MayHaveRun),
            _ if kv_state => Some(Cause::StateExpired),
            _ if late => Some(Cause::Deadline),
            Outcome::NotSent => Some(Cause::NotSent),
            _ => None,
        };
        if let Some(cause) = cause {
            return self.reject_or_fail(id, 0.2, cause, actions);
        }
        let left = self.retry_tokens - f64::from(outcome != Outcome::PrefillDone);
        if left < 0.0 {
            return self.reject_or_fail(id, 0.5, Cause::NoRetryLeft, actions);
        }
        self.retry_tokens = left;
        if state.kv_state.known().is_some() {
            return self.send_decode(now, id, actions);
        }
        match self.best_prefill_server(state, now) {
            Some(e) if now + e.total_s < state.deadline => self.send_prefill(now, id, e, actions),
            Some(_) => self.reject_or_fail(id, 0.5, Cause::Deadline, actions),
            None => self.reject_or_fail(id, 0.5, Cause::NoPrefillServer, actions),
        }
    }
}
