//! Attempts: sending a request to one model server and recording how the attempt ended.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{
    AttemptEnd, Event, Outcome, RequestId, Role, ServerId, ServerStatus,
};

use super::attempt_ends::EndCause;
use super::Node;
use crate::pool::{ConnectionUse, ServerAddress};
use crate::requests::{InFlightAttempt, OpenRequest};
use crate::responses::CompleteResponse;
use crate::timer::Timer;
use crate::types::Command;

/// Model server that an attempt is sent to, with its role.
struct Target {
    address: ServerAddress,
    role: Role,
}

/// What the response to an attempt tells besides its outcome.
#[derive(Debug, Default)]
pub(super) struct ResponseDetails {
    /// Prompt tokens that the server found in its prefix cache.
    prefix_hit_tokens: f64,
    /// Tokens of the answer, if the server reported them.
    output_tokens: Option<f64>,
    load_report: Vec<f64>,
}

impl Node {
    /// Starts an attempt of a request at the server that the decision module chose. Reports `NotSent` to the module if
    /// the request or the server cannot be used or no connection is available.
    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        server: ServerId,
        timeout_s: f64,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let number = open.attempts;
        open.attempts += 1;
        let times_out_at = if timeout_s > 0.0 {
            now.after(timeout_s).min(open.deadline)
        } else {
            open.deadline
        };
        let Some(target) = self.attempt_target(now, request, server) else {
            return self.report_not_sent(request, number, server);
        };
        let usage = ConnectionUse::Attempt {
            request,
            number,
            times_out_at,
        };
        let Some(conn) = self.start_exchange(now, target.address, usage, Vec::new(), commands)
        else {
            return self.report_not_sent(request, number, server);
        };
        self.counts.attempts += 1;
        if let Some(open) = self.requests.get_mut(request) {
            open.in_flight = Some(InFlightAttempt {
                number,
                server,
                is_prefill: target.role == Role::Prefill,
                conn,
                sent_at: now,
                last_byte_at: None,
            });
        }
        self.timers
            .set(times_out_at, Timer::AttemptTimeout { request, number });
    }

    /// Returns the address and role of the server for a new attempt, or `None` if the server is not ready or the
    /// request may not be sent again (answered, an attempt in flight, already streaming or past its deadline).
    fn attempt_target(&self, now: Micros, request: RequestId, server: ServerId) -> Option<Target> {
        let open = self.requests.get(request)?;
        let endpoint = self.discovery.endpoints().get(server)?;
        let is_sendable = !open.answered
            && open.in_flight.is_none()
            && open.forwarded.is_some()
            && now < open.deadline;
        if endpoint.status != ServerStatus::Ready || !is_sendable {
            return None;
        }
        let role = self.roles.get(usize::from(endpoint.kind));
        Some(Target {
            address: ServerAddress {
                server,
                address: endpoint.address,
            },
            role: role.copied().unwrap_or_default(),
        })
    }

    fn report_not_sent(&mut self, request: RequestId, attempt: u16, server: ServerId) {
        let finished = self.requests.get(request).is_none_or(|open| open.answered);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            server,
            outcome: Outcome::NotSent,
            elapsed_s: 0.0,
            finished,
            prefix_hit_tokens: 0.0,
            output_tokens: None,
            report: Vec::new(),
        }));
    }

    /// Ends the attempt in flight and reports its outcome to the decision module. Every attempt that was sent ends
    /// here.
    pub(super) fn finish_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        outcome: Outcome,
        details: ResponseDetails,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let Some(attempt) = open.in_flight.take() else {
            return;
        };
        if matches!(
            outcome,
            Outcome::Cancelled | Outcome::TimedOut | Outcome::Reset
        ) {
            open.aborted_at = Some(now);
        }
        let finished = open.answered;
        self.requests.mark_maybe_complete(request);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request,
            attempt: attempt.number,
            server: attempt.server,
            outcome,
            elapsed_s: now.since(attempt.sent_at),
            finished,
            prefix_hit_tokens: details.prefix_hit_tokens,
            output_tokens: details.output_tokens,
            report: details.load_report,
        }));
    }

    pub(super) fn on_attempt_response(
        &mut self,
        now: Micros,
        request: RequestId,
        complete: &CompleteResponse,
        report: Vec<f64>,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let is_streaming = open.is_streaming();
        let is_prefill = open.in_flight.is_some_and(|attempt| attempt.is_prefill);
        let outcome = match complete.status {
            200 if is_streaming => Outcome::Served,
            // A 200 whose stream held no event has given the client nothing, so it counts as an error.
            200 => Outcome::Error,
            202 if is_prefill => Outcome::PrefillDone,
            503 | 504 if complete.declined => Outcome::Rejected {
                state_missing: false,
            },
            410 if complete.declined => Outcome::Rejected {
                state_missing: true,
            },
            _ => Outcome::Error,
        };
        if outcome == Outcome::Served {
            self.end_stream(now, request, commands);
        }
        let details = ResponseDetails {
            prefix_hit_tokens: complete.cached_tokens,
            output_tokens: complete
                .output_tokens
                .filter(|_| outcome == Outcome::Served),
            load_report: report,
        };
        self.finish_attempt(now, request, outcome, details);
    }

    pub(super) fn fail_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        cause: EndCause,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        self.report_attempt_end(now, request, cause, outcome, commands);
        if self
            .requests
            .get(request)
            .is_some_and(OpenRequest::is_streaming)
        {
            self.break_stream(request, commands);
        }
        self.finish_attempt(now, request, outcome, ResponseDetails::default());
    }

    /// Abandons the attempt in flight by closing its connection.
    pub(super) fn abandon_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        cause: EndCause,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.requests.get(request).and_then(|open| open.in_flight) else {
            return;
        };
        let is_unsent = self
            .pool
            .get(attempt.conn)
            .is_some_and(|connection| !connection.is_written());
        self.close_server_connection(attempt.conn, commands);
        // A request whose last byte was never written cannot have run on the server, whatever the reason for abandoning
        // it.
        let outcome = if is_unsent {
            Outcome::ConnectFailed
        } else {
            outcome
        };
        self.fail_attempt(now, request, cause, outcome, commands);
    }

    /// Abandons an attempt whose request has not reached its server completely. The server has not started it, so nothing
    /// has to be cancelled there and the class needs no permission to cancel.
    pub(super) fn abandon_undelivered_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        cause: EndCause,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.requests.get(request).and_then(|open| open.in_flight) else {
            return;
        };
        let conn = attempt.conn;
        let Some(connection) = self.pool.get(conn) else {
            return;
        };
        if connection.is_written() {
            return commands.push(Command::AbortUndelivered { conn });
        }
        self.abandon_attempt(now, request, cause, Outcome::ConnectFailed, commands);
    }

    pub(super) fn cancel_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        if !open.is_streaming()
            && open
                .in_flight
                .is_some_and(|in_flight| in_flight.number == attempt)
        {
            self.abandon_attempt(
                now,
                request,
                EndCause::Cancelled,
                Outcome::Cancelled,
                commands,
            );
        }
    }

    pub(super) fn on_attempt_timeout(
        &mut self,
        now: Micros,
        request: RequestId,
        number: u16,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        if !open.is_streaming()
            && open
                .in_flight
                .is_some_and(|attempt| attempt.number == number)
        {
            self.abandon_attempt(
                now,
                request,
                EndCause::TimedOut,
                Outcome::TimedOut,
                commands,
            );
        }
    }
}
