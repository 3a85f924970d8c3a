//! Carries out the actions of the decision module: sends, cancels and rejects attempts, and releases KV caches.

use bitternlatch_policy::interface::{
    Action, AttemptEnd, Event, Outcome, RequestId, Role, ServerId,
};
use bitternlatch_protocol::engine::{encode, CompletionRequest, KvTransferParams, ToEngine};

use crate::links::{EnqueueResult, QueuedMessage};
use crate::machine::{log, Machine};
use crate::requests::{wire_id, Attempt, HeldKvCache, Purpose, Request, Stage};
use crate::settings::Effect;
use crate::timers::Timer;
use crate::types::{Level, LinkId, Micros, Output, SendDeadline};
use crate::workflows::BlockedSend;

impl Machine {
    /// Carries out one action of the decision module.
    pub(crate) fn apply_action(&mut self, now: Micros, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send {
                request,
                server,
                timeout_s,
            } => self.send_attempt(now, request, server, timeout_s, out),
            Action::Cancel { request, attempt } => self.cancel_attempt(now, request, attempt, out),
            Action::Reject {
                request,
                retry_after_s,
            } => {
                let admitted = self
                    .requests
                    .get(&request)
                    .map(|r| r.admitted_work)
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
            Action::Release { request, .. } => self.release_kv_cache(request, out),
            Action::Probe { server } => self.start_health_check(now, server, out),
            Action::SetTimer { at, label } => self
                .timers
                .set(Micros::from_seconds(at), Timer::Router { label }),
            Action::Log { text } => log(out, Level::Info, text),
            Action::Fault { text } => log(out, Level::Error, format!("decision module: {text}")),
            // Not supported here: the server list is pushed as an input, slots are not reserved in advance, links stay
            // open, and the decision module's own messages to peers are not carried yet.
            Action::Subscribe
            | Action::Unsubscribe
            | Action::FetchList
            | Action::ReserveSlot { .. }
            | Action::Migrate { .. }
            | Action::CloseIdle { .. }
            | Action::SendToPeer { .. } => {}
        }
    }

    /// Sends an attempt to a server, holds it back where the permission of its workflow step has expired, or notifies
    /// the decision module at once that it was not sent.
    pub(crate) fn send_attempt(
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
        // A workflow step may be sent only while its permission is valid, and waits for a new one otherwise. A prefill
        // has no effect and needs no permission.
        if role != Some(Role::Prefill) && !self.workflows.may_send_step(now, id) {
            return self.block_send(now, id, BlockedSend { server, timeout_s }, out);
        }
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|r| !r.answered && r.attempt.is_none())
        else {
            return self.report_not_sent(id, 0, server, Outcome::NotSent);
        };
        let number = request.attempt_count;
        request.attempt_count += 1;
        let sent = self
            .check_send(now, id, number, server, role)
            .and_then(|role| self.enqueue_attempt(now, id, number, server, role, out));
        match sent {
            Ok(attempt) => self.begin_attempt(now, id, attempt, timeout_s),
            Err(outcome) => self.report_not_sent(id, number, server, outcome),
        }
    }

    /// Checks what may have changed since the decision, and returns the server's role.
    ///
    /// # Errors
    /// The outcome of an attempt that may not be sent.
    fn check_send(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        server: ServerId,
        role: Option<Role>,
    ) -> Result<Role, Outcome> {
        let class = self.requests.get(&id).map_or(0, |r| r.class);
        // The process may have been paused or have lost its peers since it admitted the request.
        if number == 0 && !self.may_admit(now, class) {
            return Err(Outcome::NotSent);
        }
        if let Some(max_in_flight) = self.load_shedding.max_in_flight(now, server) {
            let at_server = |r: &&Request| r.attempt.as_ref().is_some_and(|a| a.server == server);
            if self.requests.values().filter(at_server).count() >= max_in_flight as usize {
                // A recovering server is tried by a single dispatcher, with a limited number of attempts in flight.
                return Err(Outcome::Rejected {
                    state_missing: false,
                });
            }
        }
        let role = role.ok_or(Outcome::ConnectFailed)?;
        let admitted = self.requests.get(&id).map(|r| r.admitted_work);
        // An attempt that repeats work needs the retry budget that all dispatchers share.
        if !self
            .load_shedding
            .may_send(now, &admitted.unwrap_or_default())
        {
            return Err(Outcome::NotSent);
        }
        Ok(role)
    }

    /// Gives an attempt's message to the server's link, which sends it now or queues it until the server has greeted.
    ///
    /// # Errors
    /// [`Outcome::ConnectFailed`] without a usable link.
    fn enqueue_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        server: ServerId,
        role: Role,
        out: &mut Vec<Output>,
    ) -> Result<Attempt, Outcome> {
        let holds_kv_cache = self
            .requests
            .get(&id)
            .is_some_and(|r| r.held_kv_cache.is_some());
        let purpose = match (role, holds_kv_cache) {
            (Role::Prefill, _) => Purpose::Prefill,
            (_, true) => Purpose::Decode,
            (_, false) => Purpose::Full,
        };
        let text = self.completion_message(id, number, purpose);
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

    /// The output that sends an attempt's message, with a deadline for its first byte: half the drain grace period, so
    /// that it does not reach a draining server late, and for a workflow step no later than its permission expires.
    pub(crate) fn attempt_message(
        &self,
        now: Micros,
        id: RequestId,
        link: LinkId,
        message: QueuedMessage,
    ) -> Output {
        let QueuedMessage { attempt, text } = message;
        let max_wait_s = self.settings.rules.drain_grace_s / 2.0;
        let is_prefill_server = self
            .servers
            .get(link.server)
            .is_some_and(|k| k.role == Role::Prefill);
        let permitted_s = self
            .workflows
            .permission_left_s(now, id)
            .filter(|_| !is_prefill_server);
        let max_wait_s = permitted_s.map_or(max_wait_s, |left_s| max_wait_s.min(left_s));
        let deadline = SendDeadline {
            max_wait_s,
            attempt,
        };
        Output::SendToServer {
            link,
            text,
            deadline: Some(deadline),
        }
    }

    /// Records an attempt as the current one and sets its timeout; a timeout of 0 means none.
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

    /// The message for an attempt: a completion request with the field names of vLLM's API.
    fn completion_message(&self, id: RequestId, number: u16, purpose: Purpose) -> String {
        let Some(request) = self.requests.get(&id) else {
            return String::new();
        };
        let attempt_id = wire_id(self.instance, id, number);
        let kv_transfer_params = match purpose {
            Purpose::Prefill => Some(KvTransferParams {
                do_remote_decode: true,
                ..Default::default()
            }),
            Purpose::Decode => request.held_kv_cache.as_ref().map(|s| s.params.clone()),
            Purpose::Full => None,
        };
        let is_keyed = self.settings.classes[usize::from(request.class)].effect == Effect::Keyed;
        let key = request
            .key
            .as_ref()
            .filter(|_| is_keyed && purpose != Purpose::Prefill);
        encode(&ToEngine::Completion {
            id: attempt_id.clone(),
            body: Box::new(CompletionRequest {
                request_id: attempt_id,
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
                kv_transfer_params,
                idempotency_key: key.map(|k| format!("{}/{}/{}", k.tenant, k.class, k.text)),
            }),
        })
    }

    /// Notifies the decision module of an attempt that ended without being sent.
    pub(crate) fn report_not_sent(
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
            output_tokens: None,
            report: Vec::new(),
        }));
    }

    /// Ends an attempt that has produced no output: removed from the queue if it was not sent, cancelled at its server
    /// otherwise.
    fn cancel_attempt(&mut self, now: Micros, id: RequestId, number: u16, out: &mut Vec<Output>) {
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

    /// Sends a cancel message for the current attempt to its server.
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

    /// Releases the KV cache held for a request, or marks it for release when the current attempt, which may still
    /// fetch it, has ended. Without a link to the server no message is needed: a server releases what it held for a
    /// dispatcher whose link is lost.
    pub(crate) fn release_kv_cache(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.attempt.is_some() {
            request
                .held_kv_cache
                .iter_mut()
                .for_each(|held| held.release_after_attempt = true);
            return;
        }
        let Some(held) = request.held_kv_cache.take() else {
            return;
        };
        self.release_at_server(&held, out);
        self.remove_if_done(id, out);
    }

    /// Releases a KV cache at the server that holds it, if there is a link to the server.
    pub(crate) fn release_at_server(&self, held: &HeldKvCache, out: &mut Vec<Output>) {
        if let Some(link) = self.links.open_link(held.server) {
            self.send_release(link, &held.created_by, out);
        }
    }

    /// Sends a server the message to release the KV cache of a prefill attempt, which is given by its wire id.
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
            started_at: now,
            last_received_at: now,
            finish_reason: None,
            usage: None,
            kv_transfer_params: None,
        }
    }
}
