//! From a client's message to a request: checks, bounds, keys, and what a returning client is given.

use bitternlatch_budget::book::Hold;
use bitternlatch_budget::Amount;
use bitternlatch_policy::interface::{Event, RequestId};
use bitternlatch_protocol::client::{self, BadRequest, ClientEvent, Create, Response, Status};
use bitternlatch_protocol::tokens_of;
use bitternlatch_protocol::workflow::{self, About};
use bitternlatch_workflow::RejectReason;
use xxhash_rust::xxh3::xxh3_64;

use crate::budgets::{Charged, Denied, COME_BACK_S};
use crate::idempotency::{Key, Known};
use crate::load_shedding::Counted;
use crate::machine::Machine;
use crate::output_lengths::Lengths;
use crate::requests::{Listener, Request, LISTENERS_MOST};
use crate::settings::Effect;
use crate::timers::Timer;
use crate::types::{Micros, Output, SessionId};
use crate::validated_request::{fingerprint, Wanted};
use crate::workflows::{self, Question};

/// With what a request begins.
struct Leave {
    /// Of its tenant's budget; none where it is refused.
    hold: Option<Hold>,
    /// Taken; or refused at once, and when it may come back.
    judged: Result<Counted, f64>,
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
    ) -> Result<(), Denied> {
        let in_hand = self.sessions.in_hand(session) + self.workflows.asked_by(session);
        if in_hand >= self.settings.listen.session_requests {
            return Err(too_many("this session has as many requests in hand as it may").into());
        }
        let wanted = self.wanted(now, session, create)?;
        if let Some(about) = self.about(create)? {
            return self.ask_of_workflow(now, session, create, wanted, about, out);
        }
        if let Some(key) = &wanted.key {
            let asked = fingerprint(create);
            match self.keys.know(key, asked) {
                Known::New => {}
                Known::Attach(id) => return Ok(self.attach(session, id, create, out)?),
                Known::Answer(answer) => {
                    self.say_again(session, &answer, create, out);
                    return Ok(());
                }
                Known::Forgotten => {
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
                Known::OtherRequest => {
                    let why = "this key was used for another request";
                    let bad = BadRequest::field("metadata.idempotency_key", why);
                    return Err(BadRequest {
                        status: 409,
                        code: "idempotency_key_reused",
                        ..bad
                    }
                    .into());
                }
                Known::NoRoom => return Err(too_many("no room for another idempotency key").into()),
            }
        }
        self.admit(now, session, create, wanted, out)
    }

    /// What is neither known nor a bad request: the bounds, the budget, and on to the decision module.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        mut wanted: Wanted,
        out: &mut Vec<Output>,
    ) -> Result<(), Denied> {
        if let Err(denied) = self.has_room(now, &wanted) {
            wanted
                .counted
                .iter_mut()
                .for_each(|counted| self.shed.gone(counted));
            return Err(denied);
        }
        let judged = wanted
            .counted
            .map_or_else(|| self.judge(now, create, &wanted), Ok);
        let Ok(mut counted) = judged else {
            self.begin(
                now,
                session,
                create,
                wanted,
                Leave { hold: None, judged },
                out,
            );
            return Ok(());
        };
        let most = Amount {
            prompt: tokens_of(wanted.prompt.len()),
            output: wanted.max_tokens,
        };
        self.leases.wanted(now, wanted.tenant, most.total());
        let hold = self
            .book
            .hold(now.seconds(), wanted.tenant, wanted.class, most);
        let hold = hold.map_err(|short| {
            self.shed.gone(&mut counted);
            Denied::by_budget(short)
        })?;
        let tenant = wanted.tenant;
        self.begin(
            now,
            session,
            create,
            wanted,
            Leave {
                hold: Some(hold),
                judged,
            },
            out,
        );
        self.say_left(now, tenant, session, out);
        Ok(())
    }

    /// The bounds that hold for each request.
    fn has_room(&self, now: Micros, wanted: &Wanted) -> Result<(), Denied> {
        if !self.may_take(now, wanted.class) {
            return Err(self.sent_elsewhere(now));
        }
        if self.requests.len() >= self.settings.requests.max_requests {
            return Err(too_many("the dispatcher has as many requests in hand as it may").into());
        }
        if self.prompt_bytes + wanted.prompt.len() > self.settings.requests.total_prompt_bytes {
            return Err(too_many("the prompts in hand take as much memory as they may").into());
        }
        Ok(())
    }

    /// What the fleet's shedding says of a request, and when one that it refuses may come back.
    fn judge(&mut self, now: Micros, create: &Create, wanted: &Wanted) -> Result<Counted, f64> {
        let class = &self.settings.classes[usize::from(wanted.class)];
        let expected = self.lengths.expect(
            &create.model,
            &class.name,
            wanted.prompt_tokens(),
            wanted.max_tokens,
        );
        let quota = self
            .settings
            .tenants
            .get(wanted.tenant as usize)
            .map(|t| t.quota_rps);
        let asked = wanted.asked(
            create,
            class,
            expected.map(|e| e.mean),
            quota.unwrap_or(f64::INFINITY),
        );
        self.shed
            .judge(now, &asked)
            .unwrap_or(Ok(Counted::default()))
    }

    pub(crate) fn wanted(
        &self,
        now: Micros,
        session: SessionId,
        create: &Create,
    ) -> Result<Wanted, BadRequest> {
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
        Ok(Wanted {
            class,
            tenant,
            owner,
            time_left_s,
            key,
            step: None,
            counted: None,
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
        wanted: Wanted,
        leave: Leave,
        out: &mut Vec<Output>,
    ) {
        let id = self.next_request;
        // Never reused: a dispatcher that has given out every id has to be started again.
        self.next_request = id.saturating_add(1);
        let response = self.new_response(now, id, create, wanted.max_tokens);
        let left_s = (wanted.time_left_s - self.settings.requests.answer_margin_s).max(0.0);
        let deadline = now.after(left_s);
        let conversation = match wanted.conversation {
            0 => xxh3_64(response.id.as_bytes()),
            known => known,
        };
        let mut ask = wanted.ask(id, create, conversation, left_s);
        let class = &self.settings.classes[usize::from(wanted.class)].name;
        let prompt_tokens = tokens_of(wanted.prompt.len());
        let expected = self
            .lengths
            .expect(&create.model, class, prompt_tokens, wanted.max_tokens);
        ask.output_tokens = Lengths::for_module(expected);
        if let Some(key) = wanted.key.as_ref().filter(|_| wanted.step.is_none()) {
            self.keys.begin(key.clone(), fingerprint(create), id);
        }
        let request = Request {
            item_id: client::item_id(&response.id),
            response,
            class: wanted.class,
            tenant: wanted.tenant,
            owner: wanted.owner,
            key: wanted.key,
            step: wanted.step.is_some(),
            conversation,
            prompt: wanted.prompt,
            max_tokens: wanted.max_tokens,
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
            counted: leave.judged.unwrap_or_default(),
            may_have_run: false,
            taken: now,
            hold: leave.hold,
            charged: Charged::default(),
            refused: false,
            answered: false,
        };
        self.prompt_bytes += request.prompt.len();
        self.requests.insert(id, request);
        if let Some((intent, until)) = wanted.step {
            self.workflows.go(id, intent, until);
        }
        self.sessions.listen(session, id);
        self.say_created(id, session, out);
        if let Err(after_s) = leave.judged {
            return self.refuse(
                now,
                id,
                after_s,
                "no place now for what it asks; asking again is harmless",
                out,
            );
        }
        if self.stopping {
            return self.refuse(now, id, COME_BACK_S, "this dispatcher is stopping", out);
        }
        if id == u32::MAX {
            return self.refuse(
                now,
                id,
                COME_BACK_S,
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
            id: self.names.response(id),
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
        if request.listeners.len() >= LISTENERS_MOST {
            return Err(too_many("too many sessions wait for this request"));
        }
        request.listeners.push(Listener {
            session,
            sequence: 0,
            metadata: Some(create.metadata.clone()),
        });
        self.sessions.listen(session, id);
        self.say_created(id, session, out);
        self.say_so_far(id, session, out);
        Ok(())
    }

    /// What a request is about, where workflows are on.
    fn about(&self, create: &Create) -> Result<Option<About>, BadRequest> {
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

    /// Asks the machine beside the plane what becomes of a request about a workflow; what follows is its answer's.
    fn ask_of_workflow(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        mut wanted: Wanted,
        about: About,
        out: &mut Vec<Output>,
    ) -> Result<(), Denied> {
        if self.stopping {
            return Err(Denied::by_workflow(RejectReason::Busy));
        }
        let tenant = self
            .settings
            .tenants
            .get(wanted.tenant as usize)
            .map_or("", |t| t.name.as_str());
        let workflow = workflows::name(tenant, &wanted.owner, &about.workflow);
        let class = &self.settings.classes[usize::from(wanted.class)];
        let key = wanted.key.as_ref().map_or("", |k| k.text.as_str());
        let question = workflows::question(workflow, about.does, create, class, key);
        let mut counted = Counted::default();
        if let Question::Step(intent) = &question {
            match self.workflows.in_hand(intent) {
                Some(Ok(id)) => return Ok(self.attach(session, id, create, out)?),
                Some(Err(why)) => return Err(Denied::by_workflow(why)),
                // Asked again when it is admitted; what is refused for certain costs no majority's word.
                None if !self.may_take(now, wanted.class) => return Err(self.sent_elsewhere(now)),
                None => {
                    wanted.step = Some((intent.clone(), now));
                    counted = self
                        .judge(now, create, &wanted)
                        .map_err(Denied::by_shedding)?;
                }
            }
        }
        let until =
            now.after((wanted.time_left_s - self.settings.requests.answer_margin_s).max(0.0));
        let asked = self
            .workflows
            .ask(now, (session, create), question, counted, until);
        let (call, ask) = asked.map_err(|why| {
            self.shed.gone(&mut counted);
            Denied::by_workflow(why)
        })?;
        self.timers.set(until, Timer::Call { call });
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
        let id = self.names.read_response(response);
        let heard = |id: &RequestId| {
            self.requests
                .get(id)
                .is_some_and(|r| r.listeners.iter().any(|l| l.session == session))
        };
        match id.filter(heard) {
            Some(id) => {
                self.give_up_by_client(now, id, session, out);
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
        for mut counted in self.workflows.session_closed(session) {
            self.shed.gone(&mut counted);
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
