//! The node's side towards clients: requests taken, answers given, streams passed on.

use std::rc::Rc;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, RequestId};

use crate::clients::{WholeRequest, MOST_UNSENT};
use crate::http1::{chunk, plain_answer, stream_head, LAST_CHUNK};
use crate::node::Node;
use crate::pool::Use;
use crate::requests::{read_ask, Open, Passed};
use crate::types::{Command, ConnId};

impl Node {
    pub(crate) fn on_accepted(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        if let Some(gone) = self.clients.enter(now, conn, self.most_clients) {
            self.clients.remove(gone);
            out.push(Command::Close { conn: gone });
        }
    }

    pub(crate) fn on_client_bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        out: &mut Vec<Command>,
    ) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        if client.take(now, bytes) && !client.paused {
            client.paused = true;
            out.push(Command::Pause { conn, paused: true });
        }
        self.read_requests(now, conn, out);
        while let Some(most) = self.clients.over_memory(conn, self.most_unfinished_bytes()) {
            self.turn_away(most, 503, "too much in hand", out);
        }
    }

    /// Takes the requests that are whole, one after the other's answer.
    pub(crate) fn read_requests(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        while let Some(client) = self.clients.get_mut(conn) {
            match client.next_request() {
                Ok(None) => {
                    if client.take_expectation() {
                        self.write_client(
                            now,
                            conn,
                            b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
                            out,
                        );
                    }
                    return;
                }
                Ok(Some(whole)) => self.on_request(now, conn, whole, out),
                Err(bad) => return self.turn_away(conn, bad.status(), &bad.to_string(), out),
            }
        }
    }

    fn on_request(
        &mut self,
        now: Micros,
        conn: ConnId,
        whole: WholeRequest,
        out: &mut Vec<Command>,
    ) {
        let WholeRequest { head, body, came } = whole;
        if head.method == "GET" && head.target == "/ready" {
            let (status, text) = if self.ready() {
                (200, "ready\n")
            } else {
                (503, "not ready\n")
            };
            return self.answer(now, conn, status, "", text, out);
        }
        let ask = match read_ask(&head, body.len(), &self.names) {
            Ok(ask) => ask,
            // Whoever sends what cannot be taken is not believed on what comes next either.
            Err((status, why)) => return self.turn_away(conn, status, why, out),
        };
        if self.requests.knows(&ask.id) {
            return self.turn_away(conn, 409, "a request of this id is open", out);
        }
        if self.requests.len() >= self.bounds.most_held || self.held_bytes > self.most_held_bytes()
        {
            return self.answer(now, conn, 503, "", "too much in hand\n", out);
        }
        self.counts.arrived += 1;
        self.held_bytes += body.len();
        let mut request = ask.ask;
        let mut deadline = came.after(request.time_left_s);
        if let Some(end) = self.last_answer {
            deadline = deadline.min(end);
        }
        request.time_left_s = deadline.since(now);
        request.id = self.requests.put(Open {
            passed: Some(Rc::new(Passed::new(&head, &ask.id, body))),
            id: ask.id,
            client: Some(conn),
            deadline,
            attempts: 0,
            out: None,
            broke_at: None,
            streaming: None,
            over: false,
        });
        self.by_client.insert(conn, request.id);
        self.events.push_back(Event::Arrival(request));
    }

    /// Answers with a short text; the connection goes on as the client wishes.
    fn answer(
        &mut self,
        now: Micros,
        conn: ConnId,
        status: u16,
        more: &str,
        text: &str,
        out: &mut Vec<Command>,
    ) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        let keep_alive = client.serves_on(self.deaf);
        let bytes = plain_answer(status, more, keep_alive, text);
        self.write_client(now, conn, bytes, out);
        self.client_free(now, conn, out);
    }

    /// An error for a client whose connection cannot be used any further.
    pub(crate) fn turn_away(
        &mut self,
        conn: ConnId,
        status: u16,
        why: &str,
        out: &mut Vec<Command>,
    ) {
        if self.clients.remove(conn).is_some() {
            self.counts.turned_away += 1;
            let bytes = plain_answer(status, "", false, &format!("{why}\n"));
            out.push(Command::Write { conn, bytes });
            out.push(Command::Finish { conn });
        }
    }

    fn write_client(&mut self, now: Micros, conn: ConnId, bytes: Vec<u8>, out: &mut Vec<Command>) {
        if let Some(client) = self.clients.get_mut(conn) {
            if client.unsent == 0 {
                client.took_at = now;
            }
            client.unsent += bytes.len();
            out.push(Command::Write { conn, bytes });
        }
    }

    /// The client's connection ends in order.
    pub(crate) fn finish_client(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        self.clients.remove(conn);
        out.push(Command::Finish { conn });
    }

    /// The client has its whole answer: the connection serves on, or ends in order.
    fn client_free(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        if !client.keep_alive {
            return self.finish_client(conn, out);
        }
        client.answered(now);
        if std::mem::take(&mut client.paused) {
            out.push(Command::Pause {
                conn,
                paused: false,
            });
        }
        // What was sent ahead is read now, but not from within this answer.
        self.ahead.push(conn);
    }

    /// The module refuses: trying again is harmless.
    pub(crate) fn refuse(
        &mut self,
        now: Micros,
        id: RequestId,
        retry_after_s: f64,
        out: &mut Vec<Command>,
    ) {
        let told = self.bounds.retry_after && retry_after_s > 0.0;
        let more = if told {
            format!("Retry-After: {retry_after_s:.3}\r\n")
        } else {
            String::new()
        };
        if let Some(conn) = self.take_answer(id) {
            self.counts.refused += 1;
            self.answer(
                now,
                conn,
                503,
                &more,
                "refused: trying again is harmless\n",
                out,
            );
        }
    }

    /// The module fails it, which promises nothing.
    pub(crate) fn fail(&mut self, now: Micros, id: RequestId, out: &mut Vec<Command>) {
        if let Some(conn) = self.take_answer(id) {
            self.counts.failed += 1;
            self.answer(now, conn, 504, "", "failed: it may have run\n", out);
        }
    }

    /// The one place from which an answer's right is taken: nobody gets two.
    fn take_answer(&mut self, id: RequestId) -> Option<ConnId> {
        self.requests
            .get(id)
            .filter(|o| !o.over && o.streaming.is_none())?;
        self.end_for_client(id)
    }

    /// A request has its final answer; gives the client's connection, if it still waits there.
    fn end_for_client(&mut self, id: RequestId) -> Option<ConnId> {
        let open = self.requests.get_mut(id)?;
        open.over = true;
        self.touched.push(id);
        let conn = open.client.take()?;
        self.by_client.remove(&conn);
        self.held_up.remove(&conn);
        Some(conn)
    }

    /// Passes events on; the first ones make the attempt the client's.
    pub(crate) fn pass_on(
        &mut self,
        now: Micros,
        id: RequestId,
        events: &[u8],
        out: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        let Some(conn) = open.client else { return };
        let first = open.streaming.replace(now).is_none();
        let mut bytes = Vec::with_capacity(events.len() + 200);
        if first {
            let keep_alive = self
                .clients
                .get(conn)
                .is_some_and(|c| c.serves_on(self.deaf));
            bytes = stream_head(keep_alive);
            let passed = open.passed.take();
            self.held_bytes = self
                .held_bytes
                .saturating_sub(passed.map_or(0, |p| p.body_bytes()));
        }
        chunk(events, &mut bytes);
        let host = open.out.map(|o| o.conn);
        self.write_client(now, conn, bytes, out);
        let Some(client) = self.clients.get(conn) else {
            return;
        };
        // A client that reads slowly holds up its own stream alone; one whose end has come holds up nothing, and its
        // connection may serve another request.
        let streams = |host: &ConnId| {
            self.pool
                .get(*host)
                .is_some_and(|l| l.used_for != Use::Idle)
        };
        if let Some(host) = host.filter(|_| client.unsent > MOST_UNSENT).filter(streams) {
            self.held_up.insert(conn, host);
            out.push(Command::Pause {
                conn: host,
                paused: true,
            });
        }
    }

    /// A whole stream: its end is passed on at once.
    pub(crate) fn end_stream(&mut self, now: Micros, id: RequestId, out: &mut Vec<Command>) {
        let Some(conn) = self.end_for_client(id) else {
            return;
        };
        self.counts.served += 1;
        self.write_client(now, conn, LAST_CHUNK.to_vec(), out);
        self.client_free(now, conn, out);
    }

    /// A stream that broke: the client's connection ends without the last chunk.
    pub(crate) fn break_stream(&mut self, id: RequestId, out: &mut Vec<Command>) {
        let Some(conn) = self.end_for_client(id) else {
            return;
        };
        self.counts.broken += 1;
        // What was passed on before the break still arrives; its end does not look like a whole one.
        self.finish_client(conn, out);
    }

    pub(crate) fn on_client_wrote(
        &mut self,
        now: Micros,
        conn: ConnId,
        count: usize,
        out: &mut Vec<Command>,
    ) {
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        client.took_at = now;
        client.unsent = client.unsent.saturating_sub(count);
        if client.unsent < MOST_UNSENT / 2 {
            if let Some(host) = self.held_up.remove(&conn) {
                out.push(Command::Pause {
                    conn: host,
                    paused: false,
                });
            }
        }
    }

    /// The client has closed its connection: it has gone away.
    pub(crate) fn on_client_ended(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        self.clients.remove(conn);
        self.held_up.remove(&conn);
        let Some(id) = self.by_client.remove(&conn) else {
            return;
        };
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        open.client = None;
        if !std::mem::replace(&mut open.over, true) {
            self.counts.gone += 1;
        }
        self.touched.push(id);
        self.events
            .push_back(Event::ClientDisconnected { request: id });
        if open.streaming.is_some() {
            self.end_unread_stream(now, id, out);
        } else {
            self.end_unwritten(now, id, out);
        }
    }

    /// Whether a client has a request open.
    pub fn has_asked(&self, conn: ConnId) -> bool {
        self.by_client.contains_key(&conn)
    }
}
