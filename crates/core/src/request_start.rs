//! An admitted request enters the request table and is passed to the decision module.

use bitternlatch_budget::book::Hold;
use bitternlatch_output_length::Expected;
use bitternlatch_policy::interface::{Event, RequestId};
use bitternlatch_protocol::client::{self, Create, Response, Status, Usage};
use bitternlatch_protocol::tokens_of;
use xxhash_rust::xxh3::xxh3_64;

use crate::budgets::{RequestCharges, RETRY_AFTER_S};
use crate::load_shedding::AdmittedWork;
use crate::machine::Machine;
use crate::output_lengths::OutputLengths;
use crate::requests::{Listener, Request};
use crate::timers::Timer;
use crate::types::{Micros, Output, SessionId};
use crate::validated_request::{fingerprint, ValidatedRequest};

/// With what a request begins.
pub(crate) struct AdmissionDecision {
    /// Of its tenant's budget; none where it is refused.
    pub hold: Option<Hold>,
    /// Taken; or refused at once, and when it may come back.
    pub verdict: Result<AdmittedWork, f64>,
}

/// What is settled of a request as it enters the table.
struct RequestStart {
    session: SessionId,
    now: Micros,
    deadline: Micros,
    /// Whether it is a step of a workflow.
    is_step: bool,
    /// Key of its conversation.
    conversation: u64,
    expected: Option<Expected>,
}

impl RequestStart {
    fn request(
        self,
        create: &Create,
        response: Response,
        validated: ValidatedRequest,
        decision: AdmissionDecision,
    ) -> Request {
        Request {
            item_id: client::item_id(&response.id),
            response,
            class: validated.class,
            tenant: validated.tenant,
            owner: validated.owner,
            key: validated.key,
            step: self.is_step,
            conversation: self.conversation,
            prompt: validated.prompt,
            max_tokens: validated.max_tokens,
            expected: self.expected,
            temperature: create.temperature,
            top_p: create.top_p,
            deadline: self.deadline,
            listeners: vec![Listener::new(self.session)],
            text: String::new(),
            usage: Usage::default(),
            attempts: 0,
            attempt: None,
            state: None,
            admitted: decision.verdict.unwrap_or_default(),
            may_have_run: false,
            taken: self.now,
            hold: decision.hold,
            charged: RequestCharges::default(),
            refused: false,
            answered: false,
        }
    }
}

impl Machine {
    /// Enters a request into the table, tells its client so, and passes it to the decision module or rejects it at once.
    pub(crate) fn begin(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        mut validated: ValidatedRequest,
        decision: AdmissionDecision,
        out: &mut Vec<Output>,
    ) {
        let id = self.next_request_id();
        let response = self.new_response(now, id, create, validated.max_tokens);
        let left_s = (validated.time_left_s - self.settings.requests.answer_margin_s).max(0.0);
        let start = RequestStart {
            session,
            now,
            deadline: now.after(left_s),
            is_step: validated.step.is_some(),
            conversation: match validated.conversation {
                0 => xxh3_64(response.id.as_bytes()),
                known => known,
            },
            expected: self.expected_output(create, &validated),
        };
        let mut arrival = validated.ask(id, create, start.conversation, left_s);
        arrival.output_tokens = OutputLengths::to_decision_module(start.expected);
        if let Some(key) = validated.key.as_ref().filter(|_| validated.step.is_none()) {
            self.keys.begin(key.clone(), fingerprint(create), id);
        }
        let (verdict, deadline) = (decision.verdict, start.deadline);
        let step = validated.step.take();
        let request = start.request(create, response, validated, decision);
        self.prompt_bytes += request.prompt.len();
        self.requests.insert(id, request);
        if let Some(step) = step {
            self.workflows.start(id, step.intent, step.until);
        }
        self.sessions.listen(session, id);
        self.send_created(id, session, out);
        if let Some((after_s, why)) = self.rejection_at_start(id, verdict) {
            return self.reject(now, id, after_s, why, out);
        }
        self.timers.set(deadline, Timer::Deadline { request: id });
        self.events.push_back(Event::Arrival(arrival));
    }

    /// The next id; never reused: a dispatcher that has given out every id has to be started again.
    pub(crate) fn next_request_id(&mut self) -> RequestId {
        let id = self.next_request;
        self.next_request = id.saturating_add(1);
        id
    }

    fn expected_output(&self, create: &Create, validated: &ValidatedRequest) -> Option<Expected> {
        let class = &self.settings.classes[usize::from(validated.class)].name;
        let prompt_tokens = tokens_of(validated.prompt.len());
        self.output_lengths
            .predict(&create.model, class, prompt_tokens, validated.max_tokens)
    }

    /// Why a request is rejected without the decision module, and when it may be repeated.
    fn rejection_at_start(
        &self,
        id: RequestId,
        verdict: Result<AdmittedWork, f64>,
    ) -> Option<(f64, &'static str)> {
        if let Err(after_s) = verdict {
            let why = "no place now for what it asks; asking again is harmless";
            return Some((after_s, why));
        }
        if self.stopping {
            return Some((RETRY_AFTER_S, "this dispatcher is stopping"));
        }
        if id == u32::MAX {
            return Some((RETRY_AFTER_S, "this dispatcher has to be started again"));
        }
        None
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
}
