//! Starts a request: enters it into the request table and passes it to the decision module.

use bitternlatch_budget::book::Reservation;
use bitternlatch_output_length::LengthEstimate;
use bitternlatch_policy::interface::{Event, RequestId};
use bitternlatch_protocol::client::{self, Create, Response, Status, Usage};
use bitternlatch_protocol::estimate_tokens;
use xxhash_rust::xxh3::xxh3_64;

use crate::budgets::{RequestCharges, RETRY_AFTER_S};
use crate::load_shedding::AdmittedWork;
use crate::machine::Machine;
use crate::output_lengths::OutputLengths;
use crate::requests::{Listener, Request};
use crate::timers::Timer;
use crate::types::{Micros, Output, SessionId};
use crate::validated_request::{fingerprint, ValidatedRequest};

/// What admission decided about a request.
pub(crate) struct AdmissionDecision {
    /// Tokens reserved from the tenant's budget; `None` where load shedding rejected the request.
    pub budget_hold: Option<Reservation>,
    /// The work that load shedding admitted, or for a rejected request the seconds until it may be repeated.
    pub admission: Result<AdmittedWork, f64>,
}

/// What is known of a request when it enters the request table, apart from the client's message.
struct RequestStart {
    session: SessionId,
    now: Micros,
    /// When the final answer is due: the client's deadline less the margin for delivering the answer.
    deadline: Micros,
    /// Whether the request is a step of a workflow.
    is_workflow_step: bool,
    /// Key of the conversation that the request belongs to.
    conversation: u64,
    /// Expected output length; `None` without an estimate.
    expected_output: Option<LengthEstimate>,
}

impl RequestStart {
    fn into_request(
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
            is_workflow_step: self.is_workflow_step,
            conversation: self.conversation,
            prompt: validated.prompt,
            max_tokens: validated.max_tokens,
            expected_output: self.expected_output,
            temperature: create.temperature,
            top_p: create.top_p,
            deadline: self.deadline,
            listeners: vec![Listener::new(self.session)],
            text: String::new(),
            usage: Usage::default(),
            attempt_count: 0,
            attempt: None,
            held_kv_cache: None,
            admitted_work: decision.admission.unwrap_or_default(),
            earlier_attempt_may_have_run: false,
            created_at: self.now,
            budget_hold: decision.budget_hold,
            charged: RequestCharges::default(),
            rejected: false,
            answered: false,
        }
    }
}

impl Machine {
    /// Enters a request into the request table, sends `response.created` to its client, and passes it to the decision
    /// module or rejects it at once.
    pub(crate) fn start_request(
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
        let time_left_s = (validated.time_left_s - self.settings.requests.answer_margin_s).max(0.0);
        let start = RequestStart {
            session,
            now,
            deadline: now.after(time_left_s),
            is_workflow_step: validated.workflow_step.is_some(),
            conversation: match validated.conversation {
                0 => xxh3_64(response.id.as_bytes()),
                known => known,
            },
            expected_output: self.expected_output(create, &validated),
        };
        let mut arrival = validated.to_policy_request(id, create, start.conversation, time_left_s);
        arrival.output_tokens = OutputLengths::to_decision_module(start.expected_output);
        if let Some(key) = validated
            .key
            .as_ref()
            .filter(|_| validated.workflow_step.is_none())
        {
            self.keys.begin(key.clone(), fingerprint(create), id);
        }
        let (admission, deadline) = (decision.admission, start.deadline);
        let step = validated.workflow_step.take();
        let request = start.into_request(create, response, validated, decision);
        self.prompt_bytes += request.prompt.len();
        self.requests.insert(id, request);
        if let Some(step) = step {
            self.workflows
                .start_step(id, step.intent, step.permitted_until);
        }
        self.sessions.listen(session, id);
        self.send_created(id, session, out);
        if let Some((after_s, message)) = self.rejection_at_start(id, admission) {
            return self.reject(now, id, after_s, message, out);
        }
        self.timers.set(deadline, Timer::Deadline { request: id });
        self.events.push_back(Event::Arrival(arrival));
    }

    /// Returns a new request id. Ids are never reused: once all are used up, new requests are rejected until the
    /// dispatcher is restarted.
    pub(crate) fn next_request_id(&mut self) -> RequestId {
        let id = self.next_request;
        self.next_request = id.saturating_add(1);
        id
    }

    fn expected_output(
        &self,
        create: &Create,
        validated: &ValidatedRequest,
    ) -> Option<LengthEstimate> {
        let class = &self.settings.classes[usize::from(validated.class)].name;
        let prompt_tokens = estimate_tokens(validated.prompt.len());
        self.output_lengths
            .predict(&create.model, class, prompt_tokens, validated.max_tokens)
    }

    /// The seconds until a retry and the reason where a request is rejected without asking the decision module; `None`
    /// where it is not.
    fn rejection_at_start(
        &self,
        id: RequestId,
        admission: Result<AdmittedWork, f64>,
    ) -> Option<(f64, &'static str)> {
        if let Err(after_s) = admission {
            let message = "no place now for what it asks; asking again is harmless";
            return Some((after_s, message));
        }
        if self.stopping {
            return Some((RETRY_AFTER_S, "this dispatcher is stopping"));
        }
        if id == u32::MAX {
            return Some((RETRY_AFTER_S, "this dispatcher has to be started again"));
        }
        None
    }

    /// Creates the response object of a new request: in progress, without output.
    pub(crate) fn new_response(
        &self,
        now: Micros,
        id: RequestId,
        create: &Create,
        max_tokens: u32,
    ) -> Response {
        Response {
            id: self.response_ids.response_id(id),
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
