//! The node's side towards clients: requests taken, answers given, streams passed on.

use std::rc::Rc;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, RequestId};

use crate::clients::{CompleteRequest, MAX_UNSENT};
use crate::http1::{chunk, plain_response, stream_head, LAST_CHUNK};
use crate::node::Node;
use crate::pool::ConnectionUse;
use crate::requests::{parse_request, ForwardedRequest, OpenRequest};
use crate::types::{Command, ConnId};

impl Node {
    pub(crate) fn on_accepted(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        if let Some(evicted) = self.clients.accept(now, conn, self.max_clients) {
            self.clients.remove(evicted);
            commands.push(Command::Close { conn: evicted });
        }
    }

    pub(crate) fn on_client_bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        commands: &mut Vec<Command>,
    ) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        if client.take(now, bytes) && !client.paused {
            client.paused = true;
            commands.push(Command::Pause { conn, paused: true });
        }
        self.read_requests(now, conn, commands);
        while let Some(limit) = self
            .clients
            .largest_unfinished(conn, self.max_unfinished_bytes())
        {
            self.reject(limit, 503, "too much in hand", commands);
        }
    }

    /// Takes the requests that are whole, one after the other's answer.
    pub(crate) fn read_requests(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        while let Some(client) = self.clients.get_mut(conn) {
            match client.next_request() {
                Ok(None) => {
                    if client.take_expectation() {
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
                Err(bad) => return self.reject(conn, bad.status(), &bad.to_string(), commands),
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
        let CompleteRequest {
            head,
            body,
            received_at,
        } = request;
        if head.method == "GET" && head.target == "/ready" {
            let (status, text) = if self.ready() {
                (200, "ready\n")
            } else {
                (503, "not ready\n")
            };
            return self.respond(now, conn, status, "", text, commands);
        }
        let ask = match parse_request(&head, body.len(), &self.names) {
            Ok(ask) => ask,
            // Whoever sends what cannot be taken is not believed on what comes next either.
            Err((status, why)) => return self.reject(conn, status, why, commands),
        };
        if self.requests.knows(&ask.id) {
            return self.reject(conn, 409, "a request of this id is open", commands);
        }
        if self.requests.len() >= self.bounds.most_held
            || self.prompt_bytes > self.max_prompt_bytes()
        {
            return self.respond(now, conn, 503, "", "too much in hand\n", commands);
        }
        self.counts.arrived += 1;
        self.prompt_bytes += body.len();
        let mut request = ask.ask;
        let mut deadline = received_at.after(request.time_left_s);
        if let Some(end) = self.answer_deadline {
            deadline = deadline.min(end);
        }
        request.time_left_s = deadline.since(now);
        request.id = self.requests.put(OpenRequest {
            forwarded: Some(Rc::new(ForwardedRequest::new(&head, &ask.id, body))),
            id: ask.id,
            client: Some(conn),
            deadline,
            attempts: 0,
            in_flight: None,
            aborted_at: None,
            streaming_since: None,
            answered: false,
        });
        self.by_client.insert(conn, request.id);
        self.events.push_back(Event::Arrival(request));
    }

    /// Answers with a short text; the connection goes on as the client wishes.
    fn respond(
        &mut self,
        now: Micros,
        conn: ConnId,
        status: u16,
        more: &str,
        text: &str,
        commands: &mut Vec<Command>,
    ) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        let keep_alive = client.serves_on(self.not_accepting);
        let bytes = plain_response(status, more, keep_alive, text);
        self.write_client(now, conn, bytes, commands);
        self.client_free(now, conn, commands);
    }

    /// An error for a client whose connection cannot be used any further.
    pub(crate) fn reject(
        &mut self,
        conn: ConnId,
        status: u16,
        why: &str,
        commands: &mut Vec<Command>,
    ) {
        if self.clients.remove(conn).is_some() {
            self.counts.rejected += 1;
            let bytes = plain_response(status, "", false, &format!("{why}\n"));
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
            if client.unsent == 0 {
                client.last_progress_at = now;
            }
            client.unsent += bytes.len();
            commands.push(Command::Write { conn, bytes });
        }
    }

    /// The client's connection ends in order.
    pub(crate) fn finish_client(&mut self, conn: ConnId, commands: &mut Vec<Command>) {
        self.clients.remove(conn);
        commands.push(Command::Finish { conn });
    }

    /// The client has its whole answer: the connection serves on, or ends in order.
    fn client_free(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        if !client.keep_alive {
            return self.finish_client(conn, commands);
        }
        client.answered(now);
        if std::mem::take(&mut client.paused) {
            commands.push(Command::Pause {
                conn,
                paused: false,
            });
        }
        // What was sent ahead is read now, but not from within this answer.
        self.pipelined.push(conn);
    }

    /// The module refuses: trying again is harmless.
    pub(crate) fn refuse(
        &mut self,
        now: Micros,
        id: RequestId,
        retry_after_s: f64,
        commands: &mut Vec<Command>,
    ) {
        let told = self.bounds.retry_after && retry_after_s > 0.0;
        let more = if told {
            format!("Retry-After: {retry_after_s:.3}\r\n")
        } else {
            String::new()
        };
        if let Some(conn) = self.take_answer(id) {
            self.counts.shed += 1;
            self.respond(
                now,
                conn,
                503,
                &more,
                "refused: trying again is harmless\n",
                commands,
            );
        }
    }

    /// The module fails it, which promises nothing.
    pub(crate) fn fail(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        if let Some(conn) = self.take_answer(id) {
            self.counts.failed += 1;
            self.respond(now, conn, 504, "", "failed: it may have run\n", commands);
        }
    }

    /// The one place from which an answer's right is taken: nobody gets two.
    fn take_answer(&mut self, id: RequestId) -> Option<ConnId> {
        self.requests
            .get(id)
            .filter(|o| !o.answered && o.streaming_since.is_none())?;
        self.end_for_client(id)
    }

    /// A request has its final answer; gives the client's connection, if it still waits there.
    fn end_for_client(&mut self, id: RequestId) -> Option<ConnId> {
        let open = self.requests.get_mut(id)?;
        open.answered = true;
        self.maybe_complete.push(id);
        let conn = open.client.take()?;
        self.by_client.remove(&conn);
        self.backpressured.remove(&conn);
        Some(conn)
    }

    /// Passes events on; the first ones make the attempt the client's.
    pub(crate) fn forward_events(
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
        let first = open.streaming_since.replace(now).is_none();
        let mut bytes = Vec::with_capacity(events.len() + 200);
        if first {
            let keep_alive = self
                .clients
                .get(conn)
                .is_some_and(|c| c.serves_on(self.not_accepting));
            bytes = stream_head(keep_alive);
            let forwarded = open.forwarded.take();
            self.prompt_bytes = self
                .prompt_bytes
                .saturating_sub(forwarded.map_or(0, |p| p.body_bytes()));
        }
        chunk(events, &mut bytes);
        let host = open.in_flight.map(|o| o.conn);
        self.write_client(now, conn, bytes, commands);
        let Some(client) = self.clients.get(conn) else {
            return;
        };
        // A client that reads slowly holds up its own stream alone; one whose end has come holds up nothing, and its
        // connection may serve another request.
        let streams = |host: &ConnId| {
            self.pool
                .get(*host)
                .is_some_and(|l| l.usage != ConnectionUse::Idle)
        };
        if let Some(host) = host.filter(|_| client.unsent > MAX_UNSENT).filter(streams) {
            self.backpressured.insert(conn, host);
            commands.push(Command::Pause {
                conn: host,
                paused: true,
            });
        }
    }

    /// A whole stream: its end is passed on at once.
    pub(crate) fn end_stream(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        let Some(conn) = self.end_for_client(id) else {
            return;
        };
        self.counts.served += 1;
        self.write_client(now, conn, LAST_CHUNK.to_vec(), commands);
        self.client_free(now, conn, commands);
    }

    /// A stream that broke: the client's connection ends without the last chunk.
    pub(crate) fn break_stream(&mut self, id: RequestId, commands: &mut Vec<Command>) {
        let Some(conn) = self.end_for_client(id) else {
            return;
        };
        self.counts.broken += 1;
        // What was passed on before the break still arrives; its end does not look like a whole one.
        self.finish_client(conn, commands);
    }

    pub(crate) fn on_client_wrote(
        &mut self,
        now: Micros,
        conn: ConnId,
        count: usize,
        commands: &mut Vec<Command>,
    ) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        client.last_progress_at = now;
        client.unsent = client.unsent.saturating_sub(count);
        if client.unsent < MAX_UNSENT / 2 {
            if let Some(host) = self.backpressured.remove(&conn) {
                commands.push(Command::Pause {
                    conn: host,
                    paused: false,
                });
            }
        }
    }

    /// The client has closed its connection: it has gone away.
    pub(crate) fn on_client_ended(
        &mut self,
        now: Micros,
        conn: ConnId,
        commands: &mut Vec<Command>,
    ) {
        self.clients.remove(conn);
        self.backpressured.remove(&conn);
        let Some(id) = self.by_client.remove(&conn) else {
            return;
        };
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        open.client = None;
        if !std::mem::replace(&mut open.answered, true) {
            self.counts.disconnected += 1;
        }
        self.maybe_complete.push(id);
        self.events
            .push_back(Event::ClientDisconnected { request: id });
        if open.streaming_since.is_some() {
            self.cancel_stream(now, id, commands);
        } else {
            self.abandon_unsent_attempt(now, id, commands);
        }
    }

    /// Whether a client has a request open.
    pub fn has_open_request(&self, conn: ConnId) -> bool {
        self.by_client.contains_key(&conn)
    }
}
