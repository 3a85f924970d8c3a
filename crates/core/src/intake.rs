//! From a client's message to a request: checks, bounds, keys, and what a returning client is given.

use bitternlatch_budget::Amount;
use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::client::{self, BadRequest, ClientEvent, Create};
use bitternlatch_protocol::tokens_of;

use crate::budgets::Rejection;
use crate::idempotency::KeyLookup;
use crate::load_shedding::AdmittedWork;
use crate::machine::Machine;
use crate::request_start::AdmissionDecision;
use crate::requests::{Listener, MAX_LISTENERS};
use crate::settings::Effect;
use crate::types::{Micros, Output, SessionId};
use crate::validated_request::{fingerprint, ValidatedRequest};

fn too_many(message: &str) -> BadRequest {
    BadRequest {
        status: 429,
        code: "too_many_requests",
        message: message.to_string(),
        param: None,
    }
}

fn answer_not_kept() -> BadRequest {
    let why = "its request has ended and may have run; the answer is no longer kept";
    BadRequest {
        status: 410,
        code: "answer_not_kept",
        ..BadRequest::field("metadata.idempotency_key", why)
    }
}

fn key_reused() -> BadRequest {
    let why = "this key was used for another request";
    BadRequest {
        status: 409,
        code: "idempotency_key_reused",
        ..BadRequest::field("metadata.idempotency_key", why)
    }
}

impl Machine {
    pub(crate) fn on_client_text(
        &mut self,
        now: Micros,
        session: SessionId,
        text: &str,
        out: &mut Vec<Output>,
    ) {
        if !self.sessions.is_open(session) {
            return;
        }
        let say = |out: &mut Vec<Output>, text| out.push(Output::SendToClient { session, text });
        match client::parse(text) {
            Ok(ClientEvent::Create(create)) => {
                if let Err(denied) = self.create(now, session, &create, out) {
                    say(out, denied.to_text(&create));
                }
            }
            Ok(ClientEvent::Cancel { response_id }) => {
                if let Err(bad) = self.cancel_by_client(now, session, &response_id, out) {
                    say(out, client::error(&bad, None, None));
                }
            }
            Err(bad) => say(out, client::error(&bad, None, None)),
        }
    }

    fn create(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejection> {
        let in_flight = self.sessions.in_flight(session) + self.workflows.pending_queries(session);
        if in_flight >= self.settings.listen.session_requests {
            return Err(too_many("this session has as many requests in hand as it may").into());
        }
        let validated = self.validate(now, session, create)?;
        if let Some(workflow_operation) = self.workflow_operation(create)? {
            return self.query_workflow(now, session, create, validated, workflow_operation, out);
        }
        if let Some(key) = &validated.key {
            match self.keys.lookup(key, fingerprint(create)) {
                KeyLookup::New => {}
                KeyLookup::Attach(id) => return Ok(self.attach(session, id, create, out)?),
                KeyLookup::Answer(answer) => {
                    self.send_recorded_answer(session, &answer, create, out);
                    return Ok(());
                }
                KeyLookup::Evicted => return Err(answer_not_kept().into()),
                KeyLookup::OtherRequest => return Err(key_reused().into()),
                KeyLookup::CapacityExceeded => {
                    return Err(too_many("no room for another idempotency key").into())
                }
            }
        }
        self.admit(now, session, create, validated, out)
    }

    /// What is neither known nor a bad request: the bounds, the budget, and on to the decision module.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        mut validated: ValidatedRequest,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejection> {
        if let Err(denied) = self.check_capacity(now, &validated) {
            validated
                .admitted
                .iter_mut()
                .for_each(|admitted| self.load_shedding.request_ended(admitted));
            return Err(denied);
        }
        let verdict = validated
            .admitted
            .map_or_else(|| self.evaluate_admission(now, create, &validated), Ok);
        let Ok(mut admitted) = verdict else {
            let decision = AdmissionDecision {
                hold: None,
                verdict,
            };
            self.begin(now, session, create, validated, decision, out);
            return Ok(());
        };
        let most = Amount {
            prompt: tokens_of(validated.prompt.len()),
            output: validated.max_tokens,
        };
        let tenant = validated.tenant;
        self.leases.record_demand(now, tenant, most.total());
        let hold = self
            .book
            .hold(now.seconds(), tenant, validated.class, most)
            .map_err(|short| {
                self.load_shedding.request_ended(&mut admitted);
                Rejection::by_budget(short)
            })?;
        let decision = AdmissionDecision {
            hold: Some(hold),
            verdict,
        };
        self.begin(now, session, create, validated, decision, out);
        self.send_rate_limits(now, tenant, session, out);
        Ok(())
    }

    /// The bounds that hold for each request.
    fn check_capacity(&self, now: Micros, validated: &ValidatedRequest) -> Result<(), Rejection> {
        if !self.may_admit(now, validated.class) {
            return Err(self.redirect_to_peers(now));
        }
        if self.requests.len() >= self.settings.requests.max_requests {
            return Err(too_many("the dispatcher has as many requests in hand as it may").into());
        }
        if self.prompt_bytes + validated.prompt.len() > self.settings.requests.total_prompt_bytes {
            return Err(too_many("the prompts in hand take as much memory as they may").into());
        }
        Ok(())
    }

    /// What the fleet's shedding says of a request, and when one that it refuses may come back.
    pub(crate) fn evaluate_admission(
        &mut self,
        now: Micros,
        create: &Create,
        validated: &ValidatedRequest,
    ) -> Result<AdmittedWork, f64> {
        let class = &self.settings.classes[usize::from(validated.class)];
        let expected = self.output_lengths.predict(
            &create.model,
            &class.name,
            validated.prompt_tokens(),
            validated.max_tokens,
        );
        let quota = self
            .settings
            .tenants
            .get(validated.tenant as usize)
            .map(|t| t.quota_rps);
        let asked = validated.asked(
            create,
            class,
            expected.map(|e| e.mean),
            quota.unwrap_or(f64::INFINITY),
        );
        self.load_shedding
            .evaluate_admission(now, &asked)
            .unwrap_or(Ok(AdmittedWork::default()))
    }

    /// A further session listens to a running request: it is given all that has come so far.
    pub(crate) fn attach(
        &mut self,
        session: SessionId,
        id: RequestId,
        create: &Create,
        out: &mut Vec<Output>,
    ) -> Result<(), BadRequest> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Err(too_many("is ending; ask again"));
        };
        if request.listeners.iter().any(|l| l.session == session) {
            let why = "this session already waits for the request with this key";
            let bad = BadRequest::field("metadata.idempotency_key", why);
            return Err(BadRequest {
                status: 409,
                code: "already_waiting",
                ..bad
            });
        }
        if request.listeners.len() >= MAX_LISTENERS {
            return Err(too_many("too many sessions wait for this request"));
        }
        request.listeners.push(Listener {
            session,
            sequence: 0,
            metadata: Some(create.metadata.clone()),
        });
        self.sessions.listen(session, id);
        self.send_created(id, session, out);
        self.send_text_so_far(id, session, out);
        Ok(())
    }

    fn cancel_by_client(
        &mut self,
        now: Micros,
        session: SessionId,
        response: &str,
        out: &mut Vec<Output>,
    ) -> Result<(), BadRequest> {
        let id = self.response_ids.read_response(response);
        let heard = |id: &RequestId| {
            self.requests
                .get(id)
                .is_some_and(|r| r.listeners.iter().any(|l| l.session == session))
        };
        match id.filter(heard) {
            Some(id) => {
                self.cancel_by_listener(now, id, session, out);
                Ok(())
            }
            None => {
                let bad =
                    BadRequest::field("response_id", "no response of this id runs in this session");
                Err(BadRequest {
                    status: 404,
                    code: "response_not_found",
                    ..bad
                })
            }
        }
    }

    pub(crate) fn on_session_closed(
        &mut self,
        now: Micros,
        session: SessionId,
        out: &mut Vec<Output>,
    ) {
        for mut admitted in self.workflows.session_closed(session) {
            self.load_shedding.request_ended(&mut admitted);
        }
        for id in self.sessions.close(session) {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            request.listeners.retain(|l| l.session != session);
            // A keyed request with an effect goes on: its client may come back for the one answer that it has.
            let lingers = (request.key.is_some() || request.step)
                && self.settings.classes[usize::from(request.class)].effect != Effect::Safe;
            if request.listeners.is_empty() && !lingers {
                self.abandon(now, id, out);
            }
        }
    }
}
