//! Client side of the node: parses requests, writes responses and forwards event streams.

use std::rc::Rc;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, RequestId};

use super::attempt_ends::EndCause;
use super::Node;
use crate::client::CompleteRequest;
use crate::http1::{chunk, event_stream_head, plain_response, LAST_CHUNK};
use crate::pool::ConnectionUse;
use crate::requests::{
    parse_request, ForwardedRequest, OpenRequest, ParsedRequest, StreamProgress,
};
use crate::types::{Command, ConnId};

/// Upper bound on the bytes that chunk framing and the response head add to the forwarded events.
const CHUNK_OVERHEAD_BYTES: usize = 200;

impl Node {
    pub(super) fn on_accepted(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        if let Some(evicted) = self.clients.accept(now, conn) {
            commands.push(Command::Close { conn: evicted });
        }
    }

    pub(super) fn on_client_bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        commands: &mut Vec<Command>,
    ) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        if client.receive(now, bytes) && client.pause() {
            commands.push(Command::Pause { conn, paused: true });
        }
        self.read_requests(now, conn, commands);
        let limit = self.limits.max_unfinished_bytes();
        while let Some(largest) = self.clients.largest_unfinished(conn, limit) {
            self.reject_and_close(largest, 503, "too much in hand", commands);
        }
    }

    /// Handles the complete requests that a client has sent. A pipelined request is read only after the previous one
    /// has been answered.
    pub(super) fn read_requests(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        while let Some(client) = self.clients.get_mut(conn) {
            match client.next_request() {
                Ok(None) => {
                    if client.take_continue_expectation() {
                        self.write_client(
                            now,
                            conn,
                            b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
                            commands,
                        );
                    }
                    return;
                }
                Ok(Some(request)) => self.on_request(now, conn, request, commands),
                Err(error) => {
                    return self.reject_and_close(
                        conn,
                        error.status(),
                        &error.to_string(),
                        commands,
                    )
                }
            }
        }
    }

    fn on_request(
        &mut self,
        now: Micros,
        conn: ConnId,
        request: CompleteRequest,
        commands: &mut Vec<Command>,
    ) {
        if request.head.method == "GET" && request.head.target == "/ready" {
            let (status, text) = if self.is_ready() {
                (200, "ready\n")
            } else {
                (503, "not ready\n")
            };
            return self.respond(now, conn, status, "", text, commands);
        }
        let parsed = match parse_request(&request.head, request.body.len(), &self.names) {
            Ok(parsed) => parsed,
            // After a request that cannot be accepted, the rest of the bytes on the connection are not trusted either.
            Err(rejection) => {
                return self.reject_and_close(conn, rejection.status, rejection.reason, commands)
            }
        };
        if self.requests.contains_id(&parsed.id) {
            return self.reject_and_close(conn, 409, "a request of this id is open", commands);
        }
        if self.abandoned_ids.contains(now, &parsed.id) {
            let reason = "the client of a request of this id has disconnected; it may have run";
            return self.reject_and_close(conn, 409, reason, commands);
        }
        if self.requests.len() >= self.bounds.max_open_requests
            || self.requests.prompt_bytes() > self.limits.max_prompt_bytes()
        {
            return self.respond(now, conn, 503, "", "too much in hand\n", commands);
        }
        self.open_request(now, conn, request, parsed);
    }

    /// Registers an accepted request and passes its arrival to the decision module.
    fn open_request(
        &mut self,
        now: Micros,
        conn: ConnId,
        request: CompleteRequest,
        parsed: ParsedRequest,
    ) {
        self.counts.arrived += 1;
        let mut arrival = parsed.request;
        let mut deadline = request.received_at.after(arrival.time_left_s);
        if let Some(end) = self.shutdown.response_deadline() {
            deadline = deadline.min(end);
        }
        arrival.time_left_s = deadline.since(now);
        let forwarded = ForwardedRequest::new(&request.head, &parsed.id, request.body);
        arrival.id = self.requests.insert(OpenRequest {
            forwarded: Some(Rc::new(forwarded)),
            id: parsed.id,
            client: Some(conn),
            deadline,
            attempts: 0,
            in_flight: None,
            aborted_at: None,
            stream: None,
            answered: false,
        });
        self.clients.begin_request(conn, arrival.id);
        self.events.push_back(Event::Arrival(arrival));
    }

    /// Sends a response with a short text body and keeps the connection open if the client asked for that.
    fn respond(
        &mut self,
        now: Micros,
        conn: ConnId,
        status: u16,
        extra_headers: &str,
        text: &str,
        commands: &mut Vec<Command>,
    ) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        let keep_alive = client.keeps_alive_after_response(!self.shutdown.is_accepting());
        let bytes = plain_response(status, extra_headers, keep_alive, text);
        self.write_client(now, conn, bytes, commands);
        self.on_response_complete(now, conn, commands);
    }

    /// Sends an error response and closes the connection, which cannot be used any further.
    pub(super) fn reject_and_close(
        &mut self,
        conn: ConnId,
        status: u16,
        reason: &str,
        commands: &mut Vec<Command>,
    ) {
        if self.clients.remove(conn).is_some() {
            self.counts.rejected += 1;
            let bytes = plain_response(status, "", false, &format!("{reason}\n"));
            commands.push(Command::Write { conn, bytes });
            commands.push(Command::Finish { conn });
        }
    }

    fn write_client(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: Vec<u8>,
        commands: &mut Vec<Command>,
    ) {
        if let Some(client) = self.clients.get_mut(conn) {
            client.add_unsent(now, bytes.len());
            commands.push(Command::Write { conn, bytes });
        }
    }

    /// Closes a client's connection after the bytes queued for it have been written.
    pub(super) fn finish_client(&mut self, conn: ConnId, commands: &mut Vec<Command>) {
        self.clients.remove(conn);
        commands.push(Command::Finish { conn });
    }

    /// Called when the client's response is complete: the connection waits for the next request or is closed.
    fn on_response_complete(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        if !client.keep_alive() {
            return self.finish_client(conn, commands);
        }
        client.finish_response(now);
        if client.resume() {
            commands.push(Command::Pause {
                conn,
                paused: false,
            });
        }
        // Pipelined bytes are queued for later instead of being read here, inside the handling of the previous
        // response.
        self.clients.queue_pipelined(conn);
    }

    /// Answers a request that the decision module rejected with 503. The request has not run, so the client can safely
    /// retry it.
    pub(super) fn reject_request(
        &mut self,
        now: Micros,
        id: RequestId,
        retry_after_s: f64,
        commands: &mut Vec<Command>,
    ) {
        let sends_retry_after = self.bounds.sends_retry_after && retry_after_s > 0.0;
        let extra_headers = if sends_retry_after {
            format!("Retry-After: {retry_after_s:.3}\r\n")
        } else {
            String::new()
        };
        if let Some(conn) = self.claim_final_response(id) {
            self.counts.shed += 1;
            self.respond(
                now,
                conn,
                503,
                &extra_headers,
                "refused: trying again is harmless\n",
                commands,
            );
        }
    }

    /// Answers a request that the decision module failed with 504. The request may have run on a model server.
    pub(super) fn fail_request(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        if let Some(conn) = self.claim_final_response(id) {
            self.counts.failed += 1;
            self.respond(now, conn, 504, "", "failed: it may have run\n", commands);
        }
    }

    /// Claims the right to send the final response and returns the client's connection. Returns `None` if the request
    /// was answered already or is streaming, so that no client gets two responses.
    fn claim_final_response(&mut self, id: RequestId) -> Option<ConnId> {
        self.requests
            .get(id)
            .filter(|open| !open.answered && !open.is_streaming())?;
        self.finish_for_client(id)
    }

    /// Marks a request as answered and returns the client's connection if the client is still connected.
    fn finish_for_client(&mut self, id: RequestId) -> Option<ConnId> {
        let open = self.requests.get_mut(id)?;
        open.answered = true;
        let conn = open.client.take();
        self.requests.mark_maybe_complete(id);
        let conn = conn?;
        self.clients.end_request(conn);
        Some(conn)
    }

    /// Forwards events to the client. The first event starts the client's response and binds the request to this
    /// attempt.
    pub(super) fn forward_events(
        &mut self,
        now: Micros,
        id: RequestId,
        events: &[u8],
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        let Some(conn) = open.client else { return };
        let is_first = !open.is_streaming();
        let stream = open.stream.get_or_insert(StreamProgress::new(now));
        stream.last_event_at = now;
        let server = open.in_flight.map(|attempt| attempt.conn);
        let mut bytes = Vec::with_capacity(events.len() + CHUNK_OVERHEAD_BYTES);
        if is_first {
            let stopping = !self.shutdown.is_accepting();
            let client = self.clients.get(conn);
            bytes =
                event_stream_head(client.is_some_and(|c| c.keeps_alive_after_response(stopping)));
            self.requests.drop_prompt(id);
            self.set_stream_check(id);
        }
        chunk(events, &mut bytes);
        self.write_client(now, conn, bytes, commands);
        if let Some(server) = server {
            self.apply_backpressure(conn, server, commands);
        }
    }

    /// Stops reading from the model server while its client reads slowly, which slows down only that client's stream.
    /// Once the stream has ended the server connection is left alone, because it may serve another request.
    fn apply_backpressure(&mut self, conn: ConnId, server: ConnId, commands: &mut Vec<Command>) {
        let max_unsent_bytes = self.limits.max_unsent_bytes(self.requests.len());
        let is_slow = self
            .clients
            .get(conn)
            .is_some_and(|client| client.unsent_bytes() > max_unsent_bytes);
        let is_streaming = self
            .pool
            .get(server)
            .is_some_and(|connection| connection.usage != ConnectionUse::Idle);
        if is_slow && is_streaming {
            self.clients.apply_backpressure(conn, server);
            commands.push(Command::Pause {
                conn: server,
                paused: true,
            });
        }
    }

    /// Finishes a stream that the model server has completed by sending the last chunk to the client.
    pub(super) fn end_stream(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        let Some(conn) = self.finish_for_client(id) else {
            return;
        };
        self.counts.served += 1;
        self.write_client(now, conn, LAST_CHUNK.to_vec(), commands);
        self.on_response_complete(now, conn, commands);
    }

    /// Ends a broken stream: the client's connection is closed without the last chunk.
    pub(super) fn break_stream(&mut self, id: RequestId, commands: &mut Vec<Command>) {
        let Some(conn) = self.finish_for_client(id) else {
            return;
        };
        self.counts.broken += 1;
        // The client still receives the events forwarded before the break; without the last chunk it can tell that the
        // stream is incomplete.
        self.finish_client(conn, commands);
    }

    pub(super) fn on_client_written(
        &mut self,
        now: Micros,
        conn: ConnId,
        count: usize,
        commands: &mut Vec<Command>,
    ) {
        let max_unsent_bytes = self.limits.max_unsent_bytes(self.requests.len());
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        client.record_written(now, count);
        if client.unsent_bytes() < max_unsent_bytes / 2 {
            if let Some(server) = self.clients.release_backpressure(conn) {
                commands.push(Command::Pause {
                    conn: server,
                    paused: false,
                });
                self.resume_stream(now, conn);
            }
        }
    }

    /// Handles a client that closed its connection: the decision module is notified, and an attempt that is streaming
    /// or not yet written is ended.
    pub(super) fn on_client_closed(
        &mut self,
        now: Micros,
        conn: ConnId,
        commands: &mut Vec<Command>,
    ) {
        self.clients.remove(conn);
        let Some(id) = self.clients.end_request(conn) else {
            return;
        };
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        open.client = None;
        let is_streaming = open.is_streaming();
        if !std::mem::replace(&mut open.answered, true) {
            self.counts.disconnected += 1;
        }
        if open.attempts > 0 && self.abandoned_ids.insert(now, &open.id) {
            self.counts.ids_forgotten += 1;
        }
        self.requests.mark_maybe_complete(id);
        self.events
            .push_back(Event::ClientDisconnected { request: id });
        if is_streaming {
            self.cancel_stream(now, id, EndCause::ClientDisconnected, commands);
        } else {
            self.abandon_undelivered_attempt(now, id, EndCause::ClientDisconnected, commands);
        }
    }

    /// Whether a client has a request open.
    pub fn has_open_request(&self, conn: ConnId) -> bool {
        self.clients.has_open_request(conn)
    }
}
