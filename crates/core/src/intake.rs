//! From a client's message to a request: checks, bounds, keys, and what a returning client is given.

use bitternlatch_budget::book::Hold;
use bitternlatch_budget::Amount;
use bitternlatch_policy::interface::{Event, RequestId};
use bitternlatch_protocol::client::{self, BadRequest, ClientEvent, Create, Response, Status};
use bitternlatch_protocol::tokens_of;
use bitternlatch_protocol::workflow::{self, About};
use bitternlatch_workflow::RejectReason;
use xxhash_rust::xxh3::xxh3_64;

use crate::budgets::{Charged, Rejection, RETRY_AFTER_S};
use crate::idempotency::{Key, KeyLookup};
use crate::load_shedding::AdmittedWork;
use crate::machine::Machine;
use crate::output_lengths::OutputLengths;
use crate::requests::{Listener, Request, MAX_LISTENERS};
use crate::settings::Effect;
use crate::timers::Timer;
use crate::types::{Micros, Output, SessionId};
use crate::validated_request::{fingerprint, ValidatedRequest};
use crate::workflows::{self, WorkflowQuery};

/// With what a request begins.
struct AdmissionDecision {
    /// Of its tenant's budget; none where it is refused.
    hold: Option<Hold>,
    /// Taken; or refused at once, and when it may come back.
    verdict: Result<AdmittedWork, f64>,
}

fn too_many(message: &str) -> BadRequest {
    BadRequest {
        status: 429,
        code: "too_many_requests",
        message: message.to_string(),
        param: None,
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
            let asked = fingerprint(create);
            match self.keys.lookup(key, asked) {
                KeyLookup::New => {}
                KeyLookup::Attach(id) => return Ok(self.attach(session, id, create, out)?),
                KeyLookup::Answer(answer) => {
                    self.send_recorded_answer(session, &answer, create, out);
                    return Ok(());
                }
                KeyLookup::Evicted => {
                    let why =
                        "its request has ended and may have run; the answer is no longer kept";
                    let bad = BadRequest::field("metadata.idempotency_key", why);
                    return Err(BadRequest {
                        status: 410,
                        code: "answer_not_kept",
                        ..bad
                    }
                    .into());
                }
                KeyLookup::OtherRequest => {
                    let why = "this key was used for another request";
                    let bad = BadRequest::field("metadata.idempotency_key", why);
                    return Err(BadRequest {
                        status: 409,
                        code: "idempotency_key_reused",
                        ..bad
                    }
                    .into());
                }
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
            self.begin(
                now,
                session,
                create,
                validated,
                AdmissionDecision {
                    hold: None,
                    verdict,
                },
                out,
            );
            return Ok(());
        };
        let most = Amount {
            prompt: tokens_of(validated.prompt.len()),
            output: validated.max_tokens,
        };
        self.leases.wanted(now, validated.tenant, most.total());
        let hold = self
            .book
            .hold(now.seconds(), validated.tenant, validated.class, most);
        let hold = hold.map_err(|short| {
            self.load_shedding.request_ended(&mut admitted);
            Rejection::by_budget(short)
        })?;
        let tenant = validated.tenant;
        self.begin(
            now,
            session,
            create,
            validated,
            AdmissionDecision {
                hold: Some(hold),
                verdict,
            },
            out,
        );
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
    fn evaluate_admission(
        &mut self,
        now: Micros,
        create: &Create,
        validated: &ValidatedRequest,
    ) -> Result<AdmittedWork, f64> {
        let class = &self.settings.classes[usize::from(validated.class)];
        let expected = self.output_lengths.expect(
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

    pub(crate) fn validate(
        &self,
        now: Micros,
        session: SessionId,
        create: &Create,
    ) -> Result<ValidatedRequest, BadRequest> {
        let meta = |name: &str| create.metadata.get(name).map(String::as_str);
        let field = |name: &str, why: String| BadRequest::field(&format!("metadata.{name}"), why);
        let class = match meta(client::META_CLASS) {
            None => 0,
            Some(name) => {
                let found = self.settings.classes.iter().position(|c| c.name == name);
                found.ok_or_else(|| {
                    field(client::META_CLASS, format!("'{name}' is no class here"))
                })?
            }
        };
        let grant = self.granted(now, session, create, &self.settings.classes[class].name)?;
        // With callers known the tenant is the caller's; what the request claims has been held against it.
        let tenant = match grant
            .as_ref()
            .map(|g| g.tenant.as_str())
            .or(meta(client::META_TENANT))
        {
            None => 0,
            Some(_) if self.settings.tenants.is_empty() => 0,
            Some(name) => {
                let found = self.settings.tenants.iter().position(|t| t.name == name);
                found.ok_or_else(|| {
                    field(client::META_TENANT, format!("'{name}' is no tenant here"))
                })?
            }
        };
        let full_s = self.settings.classes[class].deadline_s;
        let time_left_s = match meta(client::META_DEADLINE_MS).map(str::parse::<f64>) {
            None => full_s,
            Some(Ok(ms)) if ms > 0.0 && ms.is_finite() => full_s.min(ms / 1000.0),
            Some(_) => {
                let why = "a number of milliseconds above 0 is expected";
                return Err(field(client::META_DEADLINE_MS, why.to_string()));
            }
        };
        let (class, tenant) = (class as u16, tenant as u32);
        let text = meta(client::META_KEY).filter(|k| !k.is_empty());
        let owner = grant.as_ref().map(|g| g.owner.clone()).unwrap_or_default();
        let key = text.map(|text| Key {
            tenant,
            class,
            owner: owner.clone(),
            text: text.to_string(),
        });
        let (conversation, prompt) = self.prompt(create, tenant, &owner)?;
        let most = self.settings.requests.max_output_tokens;
        let allowed = grant.map_or(most, |g| most.min(g.max_output_tokens));
        let max_tokens = create.max_output_tokens.unwrap_or(allowed);
        Ok(ValidatedRequest {
            class,
            tenant,
            owner,
            time_left_s,
            key,
            step: None,
            admitted: None,
            conversation,
            prompt,
            max_tokens,
        })
    }

    /// The whole prompt and the key of its conversation; 0 where it begins one.
    fn prompt(
        &self,
        create: &Create,
        tenant: u32,
        owner: &str,
    ) -> Result<(u64, String), BadRequest> {
        let (conversation, head) = match &create.previous_response_id {
            None => (0, create.instructions.as_str()),
            Some(id) => match self.contexts.find(id, tenant, owner) {
                Some(context) => (context.conversation, context.text.as_str()),
                None => {
                    let bad =
                        BadRequest::field("previous_response_id", "is not known here any more");
                    return Err(BadRequest {
                        code: "previous_response_not_found",
                        ..bad
                    });
                }
            },
        };
        let bytes = head.len() + 1 + create.input.len();
        let most = self.settings.requests.prompt_bytes;
        if bytes > most {
            return Err(BadRequest::field(
                "input",
                format!("makes a prompt of {bytes} bytes, more than {most}"),
            ));
        }
        let separator = if head.is_empty() { "" } else { "\n" };
        Ok((conversation, format!("{head}{separator}{}", create.input)))
    }

    fn begin(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        validated: ValidatedRequest,
        decision: AdmissionDecision,
        out: &mut Vec<Output>,
    ) {
        let id = self.next_request;
        // Never reused: a dispatcher that has given out every id has to be started again.
        self.next_request = id.saturating_add(1);
        let response = self.new_response(now, id, create, validated.max_tokens);
        let left_s = (validated.time_left_s - self.settings.requests.answer_margin_s).max(0.0);
        let deadline = now.after(left_s);
        let conversation = match validated.conversation {
            0 => xxh3_64(response.id.as_bytes()),
            known => known,
        };
        let mut ask = validated.ask(id, create, conversation, left_s);
        let class = &self.settings.classes[usize::from(validated.class)].name;
        let prompt_tokens = tokens_of(validated.prompt.len());
        let expected =
            self.output_lengths
                .expect(&create.model, class, prompt_tokens, validated.max_tokens);
        ask.output_tokens = OutputLengths::for_module(expected);
        if let Some(key) = validated.key.as_ref().filter(|_| validated.step.is_none()) {
            self.keys.begin(key.clone(), fingerprint(create), id);
        }
        let request = Request {
            item_id: client::item_id(&response.id),
            response,
            class: validated.class,
            tenant: validated.tenant,
            owner: validated.owner,
            key: validated.key,
            step: validated.step.is_some(),
            conversation,
            prompt: validated.prompt,
            max_tokens: validated.max_tokens,
            expected,
            temperature: create.temperature,
            top_p: create.top_p,
            deadline,
            listeners: vec![Listener {
                session,
                sequence: 0,
                metadata: None,
            }],
            text: String::new(),
            usage: Default::default(),
            attempts: 0,
            attempt: None,
            state: None,
            admitted: decision.verdict.unwrap_or_default(),
            may_have_run: false,
            taken: now,
            hold: decision.hold,
            charged: Charged::default(),
            refused: false,
            answered: false,
        };
        self.prompt_bytes += request.prompt.len();
        self.requests.insert(id, request);
        if let Some((intent, until)) = validated.step {
            self.workflows.go(id, intent, until);
        }
        self.sessions.listen(session, id);
        self.send_created(id, session, out);
        if let Err(after_s) = decision.verdict {
            return self.reject(
                now,
                id,
                after_s,
                "no place now for what it asks; asking again is harmless",
                out,
            );
        }
        if self.stopping {
            return self.reject(now, id, RETRY_AFTER_S, "this dispatcher is stopping", out);
        }
        if id == u32::MAX {
            return self.reject(
                now,
                id,
                RETRY_AFTER_S,
                "this dispatcher has to be started again",
                out,
            );
        }
        self.timers.set(deadline, Timer::Deadline { request: id });
        self.events.push_back(Event::Arrival(ask));
    }

    pub(crate) fn new_response(
        &self,
        now: Micros,
        id: RequestId,
        create: &Create,
        max_tokens: u32,
    ) -> Response {
        Response {
            id: self.response_ids.response(id),
            object: "response".to_string(),
            created_at: now.0 / 1_000_000,
            status: Status::InProgress,
            model: create.model.clone(),
            previous_response_id: create.previous_response_id.clone(),
            max_output_tokens: Some(max_tokens),
            metadata: create.metadata.clone(),
            output: Vec::new(),
            usage: None,
            error: None,
            incomplete_details: None,
        }
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

    /// What a request is about, where workflows are on.
    fn workflow_operation(&self, create: &Create) -> Result<Option<About>, BadRequest> {
        let on = self
            .settings
            .cluster
            .as_ref()
            .is_some_and(|c| c.workflows.is_some());
        if on {
            workflow::read(&create.metadata)
        } else {
            Ok(None)
        }
    }

    /// Asks the workflow coordinator what becomes of a request about a workflow; what follows is its answer's.
    fn query_workflow(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        mut validated: ValidatedRequest,
        workflow_operation: About,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejection> {
        if self.stopping {
            return Err(Rejection::by_workflow(RejectReason::Busy));
        }
        let tenant = self
            .settings
            .tenants
            .get(validated.tenant as usize)
            .map_or("", |t| t.name.as_str());
        let workflow = workflows::name(tenant, &validated.owner, &workflow_operation.workflow);
        let class = &self.settings.classes[usize::from(validated.class)];
        let key = validated.key.as_ref().map_or("", |k| k.text.as_str());
        let question = workflows::question(workflow, workflow_operation.does, create, class, key);
        let mut admitted = AdmittedWork::default();
        if let WorkflowQuery::Step(intent) = &question {
            match self.workflows.in_flight(intent) {
                Some(Ok(id)) => return Ok(self.attach(session, id, create, out)?),
                Some(Err(why)) => return Err(Rejection::by_workflow(why)),
                // Asked again when it is admitted; what is refused for certain costs no majority's word.
                None if !self.may_admit(now, validated.class) => {
                    return Err(self.redirect_to_peers(now))
                }
                None => {
                    validated.step = Some((intent.clone(), now));
                    admitted = self
                        .evaluate_admission(now, create, &validated)
                        .map_err(Rejection::by_shedding)?;
                }
            }
        }
        let until =
            now.after((validated.time_left_s - self.settings.requests.answer_margin_s).max(0.0));
        let asked = self
            .workflows
            .ask(now, (session, create), question, admitted, until);
        let (call, ask) = asked.map_err(|why| {
            self.load_shedding.request_ended(&mut admitted);
            Rejection::by_workflow(why)
        })?;
        self.timers.set(until, Timer::WorkflowQuery { call });
        out.push(Output::Workflow(ask));
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
