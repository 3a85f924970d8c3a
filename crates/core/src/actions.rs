//! Carries out what the decision module decides.

use bitternlatch_policy::interface::{
    Action, AttemptEnd, Event, Outcome, RequestId, Role, ServerId,
};
use bitternlatch_protocol::engine::{encode, CompletionRequest, KvTransferParams, ToEngine};

use crate::links::{EnqueueResult, QueuedMessage};
use crate::machine::{log, Machine};
use crate::requests::{wire_id, Attempt, Purpose, Request, Stage};
use crate::settings::Effect;
use crate::timers::Timer;
use crate::types::{Level, LinkId, Micros, Output, SendDeadline};
use crate::workflows::BlockedSend;

impl Machine {
    pub(crate) fn apply_action(&mut self, now: Micros, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send {
                request,
                server,
                timeout_s,
            } => self.send(now, request, server, timeout_s, out),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt, out),
            Action::Reject {
                request,
                retry_after_s,
            } => {
                let admitted = self
                    .requests
                    .get(&request)
                    .map(|r| r.admitted)
                    .unwrap_or_default();
                let retry_after_s = self
                    .load_shedding
                    .retry_after_s(now, &admitted, retry_after_s);
                self.reject(
                    now,
                    request,
                    retry_after_s,
                    "no place now; asking again is harmless",
                    out,
                );
            }
            Action::Fail { request } => {
                self.fail(
                    now,
                    request,
                    "server_error",
                    "not answered in time; it may have run",
                    out,
                );
            }
            Action::Release { request } => self.release(request, out),
            Action::Probe { server } => self.start_health_check(now, server, out),
            Action::SetTimer { at, label } => self
                .timers
                .set(Micros::from_seconds(at), Timer::Router { label }),
            Action::Log { text } => log(out, Level::Info, text),
            Action::Fault { text } => log(out, Level::Error, format!("decision module: {text}")),
            // The list is pushed, places are not held ahead, and peers are not spoken with yet.
            Action::Subscribe
            | Action::Unsubscribe
            | Action::FetchList
            | Action::ReserveSlot { .. }
            | Action::Migrate { .. }
            | Action::CloseIdle { .. }
            | Action::SendToPeer { .. } => {}
        }
    }

    /// Sends an attempt to a server, or tells the decision module at once that it was not sent.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        server: ServerId,
        timeout_s: f64,
        out: &mut Vec<Output>,
    ) {
        let role = self
            .servers
            .get(server)
            .filter(|k| k.accepts_work())
            .map(|k| k.role);
        // A step's effect leaves while it is permitted, and waits where it is not; a prefill has none.
        if role != Some(Role::Prefill) && !self.workflows.may_send(now, id) {
            return self.block_send(now, id, BlockedSend { server, timeout_s }, out);
        }
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|r| !r.answered && r.attempt.is_none())
        else {
            return self.not_sent(id, 0, server, Outcome::NotSent);
        };
        let number = request.attempts;
        request.attempts += 1;
        let sent = self
            .check_send(now, id, number, server, role)
            .and_then(|role| self.enqueue_attempt(now, id, number, server, role, out));
        match sent {
            Ok(attempt) => self.begin_attempt(now, id, attempt, timeout_s),
            Err(outcome) => self.not_sent(id, number, server, outcome),
        }
    }

    /// What may have changed between the decision and this act; the error is the outcome of an attempt that may not go.
    fn check_send(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        server: ServerId,
        role: Option<Role>,
    ) -> Result<Role, Outcome> {
        let class = self.requests.get(&id).map_or(0, |r| r.class);
        // Between admission and this act the process may have stood still, or lost its peers.
        if number == 0 && !self.may_admit(now, class) {
            return Err(Outcome::NotSent);
        }
        if let Some(most) = self.load_shedding.max_in_flight(now, server) {
            let at = |r: &&Request| r.attempt.as_ref().is_some_and(|a| a.server == server);
            if self.requests.values().filter(at).count() >= most as usize {
                // A recovering server is tried by one dispatcher of all, a little at a time.
                return Err(Outcome::Rejected {
                    state_missing: false,
                });
            }
        }
        let role = role.ok_or(Outcome::ConnectFailed)?;
        let admitted = self.requests.get(&id).map(|r| r.admitted);
        // Work that would be done again goes by the retry budget that all share.
        if !self
            .load_shedding
            .may_send(now, &admitted.unwrap_or_default())
        {
            return Err(Outcome::NotSent);
        }
        Ok(role)
    }

    /// Hands an attempt's message to its link.
    fn enqueue_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        server: ServerId,
        role: Role,
        out: &mut Vec<Output>,
    ) -> Result<Attempt, Outcome> {
        let holds_kv_cache = self.requests.get(&id).is_some_and(|r| r.state.is_some());
        let purpose = match (role, holds_kv_cache) {
            (Role::Prefill, _) => Purpose::Prefill,
            (_, true) => Purpose::Decode,
            (_, false) => Purpose::Full,
        };
        let text = self.completion(id, number, purpose);
        let attempt = wire_id(self.instance, id, number);
        let (link, stage) = match self.links.enqueue(server, QueuedMessage { attempt, text }) {
            EnqueueResult::SendNow(link, message) => {
                out.push(self.attempt_message(now, id, link, message));
                (link, Stage::InFlight)
            }
            EnqueueResult::Queued(link) => (link, Stage::Queued),
            EnqueueResult::NotConnected => return Err(Outcome::ConnectFailed),
        };
        Ok(Attempt::new(number, server, link, purpose, stage, now))
    }

    /// An attempt's message on its way: it must not reach a server long after a drain was told, nor a step's past its permission.
    pub(crate) fn attempt_message(
        &self,
        now: Micros,
        id: RequestId,
        link: LinkId,
        message: QueuedMessage,
    ) -> Output {
        let QueuedMessage { attempt, text } = message;
        let after_s = self.settings.rules.drain_grace_s / 2.0;
        let reads = self
            .servers
            .get(link.server)
            .is_some_and(|k| k.role == Role::Prefill);
        let left_s = self.workflows.left_s(now, id).filter(|_| !reads);
        let after_s = left_s.map_or(after_s, |left_s| after_s.min(left_s));
        let stale = SendDeadline {
            max_wait_s: after_s,
            attempt,
        };
        Output::SendToServer {
            link,
            text,
            deadline: Some(stale),
        }
    }

    fn begin_attempt(&mut self, now: Micros, id: RequestId, attempt: Attempt, timeout_s: f64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let number = attempt.number;
        request.attempt = Some(attempt);
        if timeout_s != 0.0 {
            let at = now.after(timeout_s).min(request.deadline);
            self.timers.set(
                at,
                Timer::AttemptTimeout {
                    request: id,
                    attempt: number,
                },
            );
        }
    }

    /// The message for an attempt, in vLLM's words.
    fn completion(&self, id: RequestId, number: u16, purpose: Purpose) -> String {
        let Some(request) = self.requests.get(&id) else {
            return String::new();
        };
        let wire = wire_id(self.instance, id, number);
        let kv = match purpose {
            Purpose::Prefill => Some(KvTransferParams {
                do_remote_decode: true,
                ..Default::default()
            }),
            Purpose::Decode => request.state.as_ref().map(|s| s.params.clone()),
            Purpose::Full => None,
        };
        let keyed = self.settings.classes[usize::from(request.class)].effect == Effect::Keyed;
        let key = request
            .key
            .as_ref()
            .filter(|_| keyed && purpose != Purpose::Prefill);
        encode(&ToEngine::Completion {
            id: wire.clone(),
            body: Box::new(CompletionRequest {
                request_id: wire,
                model: request.response.model.clone(),
                prompt: request.prompt.clone(),
                max_tokens: if purpose == Purpose::Prefill {
                    1
                } else {
                    request.max_tokens
                },
                stream: true,
                temperature: request.temperature,
                top_p: request.top_p,
                kv_transfer_params: kv,
                idempotency_key: key.map(|k| format!("{}/{}/{}", k.tenant, k.class, k.text)),
            }),
        })
    }

    pub(crate) fn not_sent(
        &mut self,
        id: RequestId,
        attempt: u16,
        server: ServerId,
        outcome: Outcome,
    ) {
        let finished = self.requests.get(&id).is_none_or(|r| r.answered);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            server,
            outcome,
            elapsed_s: 0.0,
            finished,
            prefix_hit_tokens: 0.0,
            report: Vec::new(),
        }));
    }

    fn cancel(&mut self, now: Micros, id: RequestId, number: u16, out: &mut Vec<Output>) {
        let current = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let Some(attempt) = current.filter(|a| a.number == number && a.stage != Stage::Streaming)
        else {
            return;
        };
        let (server, queued) = (attempt.server, attempt.stage == Stage::Queued);
        if queued {
            self.links
                .remove_queued(server, &wire_id(self.instance, id, number));
        } else {
            self.send_cancel(id, out);
        }
        let outcome = if queued {
            Outcome::ConnectFailed
        } else {
            Outcome::Cancelled
        };
        self.end_attempt(now, id, outcome, 0, Vec::new(), out);
    }

    /// Tells the server of the current attempt that its work is not wanted.
    pub(crate) fn send_cancel(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(attempt) = self.requests.get(&id).and_then(|r| r.attempt.as_ref()) else {
            return;
        };
        let text = encode(&ToEngine::Cancel {
            id: wire_id(self.instance, id, attempt.number),
        });
        out.push(Output::SendToServer {
            link: attempt.link,
            text,
            deadline: None,
        });
    }

    /// Lets go of the state held for a request, unless an attempt waits for it: then once that has ended. Without a link there is nothing to do: a server releases what a lost
    /// link's dispatcher held there.
    pub(crate) fn release(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.attempt.is_some() {
            request
                .state
                .iter_mut()
                .for_each(|state| state.release = true);
            return;
        }
        let Some(state) = request.state.take() else {
            return;
        };
        if let Some(link) = self.links.open_link(state.server) {
            self.send_release(link, &state.created_by, out);
        }
        self.remove_if_done(id, out);
    }

    pub(crate) fn send_release(&self, link: LinkId, created_by: &str, out: &mut Vec<Output>) {
        let text = encode(&ToEngine::Release {
            id: created_by.to_string(),
        });
        out.push(Output::SendToServer {
            link,
            text,
            deadline: None,
        });
    }
}

impl Attempt {
    fn new(
        number: u16,
        server: ServerId,
        link: LinkId,
        purpose: Purpose,
        stage: Stage,
        now: Micros,
    ) -> Self {
        Attempt {
            number,
            server,
            link,
            purpose,
            stage,
            sent: now,
            heard: now,
            finish_reason: None,
            usage: None,
            state: None,
        }
    }
}
