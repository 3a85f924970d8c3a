//! Handles client messages: validates a new request, looks up its idempotency key, applies limits and budgets, and
//! starts it or attaches the session to the running request with the same key.

use bitternlatch_budget::Amount;
use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::client::{self, BadRequest, ClientEvent, Create};
use bitternlatch_protocol::estimate_tokens;

use crate::budgets::Rejection;
use crate::idempotency::KeyLookup;
use crate::load_shedding::AdmittedWork;
use crate::machine::Machine;
use crate::request_start::AdmissionDecision;
use crate::requests::{Listener, MAX_LISTENERS};
use crate::settings::Effect;
use crate::types::{Micros, Output, SessionId};
use crate::validated_request::{fingerprint, ValidatedRequest};

fn too_many_requests(message: &str) -> BadRequest {
    BadRequest {
        status: 429,
        code: "too_many_requests",
        message: message.to_string(),
        param: None,
    }
}

fn answer_not_kept() -> BadRequest {
    let message = "its request has ended and may have run; the answer is no longer kept";
    BadRequest {
        status: 410,
        code: "answer_not_kept",
        ..BadRequest::field("metadata.idempotency_key", message)
    }
}

fn idempotency_key_reused() -> BadRequest {
    let message = "this key was used for another request";
    BadRequest {
        status: 409,
        code: "idempotency_key_reused",
        ..BadRequest::field("metadata.idempotency_key", message)
    }
}

impl Machine {
    /// Handles one text message of a client; a message that is not accepted gets one error event.
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
        let send = |out: &mut Vec<Output>, text| out.push(Output::SendToClient { session, text });
        match client::parse(text) {
            Ok(ClientEvent::Create(create)) => {
                if let Err(rejection) = self.on_create(now, session, &create, out) {
                    send(out, rejection.to_text(&create));
                }
            }
            Ok(ClientEvent::Cancel { response_id }) => {
                if let Err(error) = self.cancel_by_client(now, session, &response_id, out) {
                    send(out, client::error(&error, None, None));
                }
            }
            Err(error) => send(out, client::error(&error, None, None)),
        }
    }

    /// Handles a client's `response.create` message: checks the session's limit on requests in flight, then queries the
    /// workflow coordinator for a workflow operation, repeats or attaches to a request with the same idempotency key,
    /// or admits a new request.
    ///
    /// # Errors
    /// Why the message is not accepted, to be sent to the client.
    fn on_create(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejection> {
        let in_flight = self.sessions.in_flight(session) + self.workflows.pending_queries(session);
        if in_flight >= self.settings.listen.max_session_requests {
            return Err(
                too_many_requests("this session has as many requests in hand as it may").into(),
            );
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
                KeyLookup::OtherRequest => return Err(idempotency_key_reused().into()),
                KeyLookup::CapacityExceeded => {
                    return Err(too_many_requests("no room for another idempotency key").into())
                }
            }
        }
        self.admit(now, session, create, validated, out)
    }

    /// Admits a validated request that no idempotency key matched: checks the dispatcher's limits, load shedding and
    /// the tenant's budget, then starts the request.
    ///
    /// # Errors
    /// The limit or budget that rejects the request. A request that load shedding rejects returns `Ok`: it is started
    /// and answered with the rejection at once.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        mut validated: ValidatedRequest,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejection> {
        if let Err(rejection) = self.check_capacity(now, &validated) {
            validated
                .admitted_work
                .iter_mut()
                .for_each(|admitted| self.load_shedding.request_ended(admitted));
            return Err(rejection);
        }
        let admission = validated
            .admitted_work
            .map_or_else(|| self.evaluate_admission(now, create, &validated), Ok);
        let Ok(mut admitted) = admission else {
            let decision = AdmissionDecision {
                budget_hold: None,
                admission,
            };
            self.start_request(now, session, create, validated, decision, out);
            return Ok(());
        };
        let max_usage = Amount {
            prompt: estimate_tokens(validated.prompt.len()),
            output: validated.max_tokens,
        };
        let tenant = validated.tenant;
        self.leases.record_demand(now, tenant, max_usage.total());
        let budget_hold = self
            .accounts
            .reserve(now.seconds(), tenant, validated.class, max_usage)
            .map_err(|short| {
                self.load_shedding.request_ended(&mut admitted);
                Rejection::by_budget(short)
            })?;
        let decision = AdmissionDecision {
            budget_hold: Some(budget_hold),
            admission,
        };
        self.start_request(now, session, create, validated, decision, out);
        self.send_rate_limits(now, tenant, session, out);
        Ok(())
    }

    /// Checks the limits that apply to every request: the quorum state, the number of requests in flight and the memory
    /// of their prompts.
    fn check_capacity(&self, now: Micros, validated: &ValidatedRequest) -> Result<(), Rejection> {
        if !self.may_admit(now, validated.class) {
            return Err(self.redirect_to_peers(now));
        }
        if self.requests.len() >= self.settings.requests.max_requests {
            return Err(
                too_many_requests("the dispatcher has as many requests in hand as it may").into(),
            );
        }
        if self.prompt_bytes + validated.prompt.len()
            > self.settings.requests.max_total_prompt_bytes
        {
            return Err(
                too_many_requests("the prompts in hand take as much memory as they may").into(),
            );
        }
        Ok(())
    }

    /// Asks the cluster's load shedding whether to admit a request; always admitted where load shedding is off.
    ///
    /// # Errors
    /// Seconds after which a rejected request may be repeated.
    pub(crate) fn evaluate_admission(
        &mut self,
        now: Micros,
        create: &Create,
        validated: &ValidatedRequest,
    ) -> Result<AdmittedWork, f64> {
        let class = &self.settings.classes[usize::from(validated.class)];
        let expected_output = self.output_lengths.predict(
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
        let shedding_request = validated.to_load_shedding_request(
            create,
            class,
            expected_output.map(|e| e.mean),
            quota.unwrap_or(f64::INFINITY),
        );
        self.load_shedding
            .evaluate_admission(now, &shedding_request)
            .unwrap_or(Ok(AdmittedWork::default()))
    }

    /// Attaches a further session to a running request and sends it the output so far.
    pub(crate) fn attach(
        &mut self,
        session: SessionId,
        id: RequestId,
        create: &Create,
        out: &mut Vec<Output>,
    ) -> Result<(), BadRequest> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Err(too_many_requests("is ending; ask again"));
        };
        if request.listeners.iter().any(|l| l.session == session) {
            let message = "this session already waits for the request with this key";
            let error = BadRequest::field("metadata.idempotency_key", message);
            return Err(BadRequest {
                status: 409,
                code: "already_waiting",
                ..error
            });
        }
        if request.listeners.len() >= MAX_LISTENERS {
            return Err(too_many_requests("too many sessions wait for this request"));
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

    /// Handles a `response.cancel` message; only a session that listens to the response may cancel it.
    fn cancel_by_client(
        &mut self,
        now: Micros,
        session: SessionId,
        response: &str,
        out: &mut Vec<Output>,
    ) -> Result<(), BadRequest> {
        let id = self.response_ids.parse_response_id(response);
        let is_listener = |id: &RequestId| {
            self.requests
                .get(id)
                .is_some_and(|r| r.listeners.iter().any(|l| l.session == session))
        };
        match id.filter(is_listener) {
            Some(id) => {
                self.cancel_by_listener(now, id, session, out);
                Ok(())
            }
            None => {
                let error =
                    BadRequest::field("response_id", "no response of this id runs in this session");
                Err(BadRequest {
                    status: 404,
                    code: "response_not_found",
                    ..error
                })
            }
        }
    }

    /// Removes a closed session and abandons the requests that only it listened to.
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
            // A request with an idempotency key and a non-idempotent effect keeps running without its client, which may
            // reconnect and fetch the answer with the same key.
            let outlives_session = (request.key.is_some() || request.is_workflow_step)
                && self.settings.classes[usize::from(request.class)].effect != Effect::Safe;
            if request.listeners.is_empty() && !outlives_session {
                self.abandon(now, id, out);
            }
        }
    }
}
