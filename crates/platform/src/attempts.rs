//! The node's side towards model hosts: attempts, probes and calls that let go, each on a connection of its own
//! while it lasts; and what becomes of them.

use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{
    AttemptEnd, Event, Outcome, RequestId, Role, ServerId, ServerStatus,
};

use crate::answers::{read_load, Answer, Came, Whole};
use crate::node::{Due, Node};
use crate::pool::{Link, Place, Use};
use crate::requests::Out;
use crate::types::{Command, ConnId};

/// A stream whose host has said nothing for this long has broken, seconds. The platform counts a client left
/// waiting for 5 s as lost.
const STALL_S: f64 = 4.4;

/// Whole milliseconds from one time to a later one; none where it is not later.
fn milliseconds_left(now: Micros, until: Micros) -> u64 {
    until.0.saturating_sub(now.0) / 1000
}

/// What is expected on a connection that is used so.
fn answer_to(used_for: Use) -> Answer {
    match used_for {
        Use::Attempt { .. } => Answer::to_attempt(),
        Use::Idle | Use::Probe { .. } | Use::Release { .. } => Answer::default(),
    }
}

impl Node {
    // ---- exchanges ----------------------------------------------------------------------------

    /// Begins an exchange with a host on a kept connection or a new one. `call` is what a probe or a release says; an
    /// attempt's request is made when it can be written.
    pub(crate) fn exchange(
        &mut self,
        now: Micros,
        host: (ServerId, SocketAddr),
        used_for: Use,
        call: Vec<u8>,
        out: &mut Vec<Command>,
    ) -> Option<ConnId> {
        let conn = match self.pool.place(now, host.1, used_for) {
            Place::Full => return None,
            Place::Kept(conn) => self.reuse(now, conn, host.0, used_for, call, out),
            Place::New { instead_of } => {
                if let Some(idle) = instead_of {
                    self.drop_link(idle, out);
                }
                self.dial(now, host, used_for, call, out)
            }
        };
        if let Some(limit_s) = self.answer_limit_s(used_for) {
            self.timers
                .set(now.after(limit_s), Due::Link { conn, since: now });
        }
        Some(conn)
    }

    /// Writes on a kept connection, unless it proves stale.
    fn reuse(
        &mut self,
        now: Micros,
        conn: ConnId,
        server: ServerId,
        used_for: Use,
        call: Vec<u8>,
        out: &mut Vec<Command>,
    ) -> ConnId {
        let bytes = self.bytes_to_write(now, used_for, &call);
        if let Some(link) = self.pool.get_mut(conn) {
            (link.used_for, link.since, link.unsent) = (used_for, now, bytes.len());
            (link.server, link.answer) = (server, answer_to(used_for));
            // Kept until it is known to have been written: another connection may have to carry it.
            link.waiting = call;
        }
        out.push(Command::Reuse { conn, bytes });
        conn
    }

    /// Opens a connection; what it is for is written once it is up.
    fn dial(
        &mut self,
        now: Micros,
        (server, to): (ServerId, SocketAddr),
        used_for: Use,
        call: Vec<u8>,
        out: &mut Vec<Command>,
    ) -> ConnId {
        let conn = self.next_conn();
        let answer = answer_to(used_for);
        let link = Link {
            to,
            server,
            up: false,
            used_for,
            since: now,
            waiting: call,
            unsent: 0,
            answer,
            heard: None,
        };
        self.pool.put(conn, link);
        out.push(Command::Connect { conn, to });
        let late = now.after(self.bounds.connect_timeout_s);
        self.timers.set(late, Due::Link { conn, since: now });
        conn
    }

    /// How long an exchange other than an attempt waits for its answer, seconds.
    fn answer_limit_s(&self, used_for: Use) -> Option<f64> {
        match used_for {
            // As long as for a connection: a host that says nothing to a probe in that time is as good as silent.
            Use::Probe { .. } => Some(self.bounds.connect_timeout_s),
            Use::Release { id, .. } => Some(self.releases.answer_limit_s(id)),
            Use::Attempt { .. } | Use::Idle => None,
        }
    }

    /// A connection that was to be used again is of no use: what was to go out on it takes another one.
    pub(crate) fn on_link_stale(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        let Some(link) = self.pool.remove(conn) else {
            return;
        };
        let (to, used_for) = ((link.server, link.to), link.used_for);
        if !self.still_wanted(link.server, used_for) {
            return self.exchange_failed(now, used_for, Outcome::ConnectFailed, out);
        }
        let Some(other) = self.exchange(now, to, used_for, link.waiting, out) else {
            return self.exchange_failed(now, used_for, Outcome::NotSent, out);
        };
        if let Use::Attempt { request, .. } = used_for {
            if let Some(attempt) = self.requests.get_mut(request).and_then(|o| o.out.as_mut()) {
                attempt.conn = other;
            }
        }
    }

    /// Whether what waits for a connection is to go out. The list may have changed meanwhile: what drains gets nothing
    /// new. An attempt begins with its last byte: none does once its request has its answer or its client has gone.
    fn still_wanted(&self, server: ServerId, used_for: Use) -> bool {
        let Use::Attempt { request, .. } = used_for else {
            return true;
        };
        let ready = self
            .fleet
            .get(server)
            .is_some_and(|t| t.standing == ServerStatus::Ready);
        ready && self.requests.get(request).is_some_and(|open| !open.over)
    }

    pub(crate) fn on_link_up(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        let Some(link) = self.pool.get_mut(conn) else {
            return;
        };
        link.up = true;
        let waiting = std::mem::take(&mut link.waiting);
        let (server, used_for) = (link.server, link.used_for);
        if !self.still_wanted(server, used_for) {
            self.drop_link(conn, out);
            return self.exchange_failed(now, used_for, Outcome::ConnectFailed, out);
        }
        let bytes = self.bytes_to_write(now, used_for, &waiting);
        if let Some(link) = self.pool.get_mut(conn) {
            link.unsent = bytes.len();
        }
        out.push(Command::Write { conn, bytes });
    }

    /// What goes out now: an attempt's request says how long its host has, which is no more than the client has left,
    /// however long a connection took to come up; anything else goes out as it was given.
    fn bytes_to_write(&self, now: Micros, used_for: Use, call: &[u8]) -> Vec<u8> {
        let Use::Attempt { request, until, .. } = used_for else {
            return call.to_vec();
        };
        let passed = self
            .requests
            .get(request)
            .and_then(|open| open.passed.as_ref());
        passed
            .map(|request| request.bytes(milliseconds_left(now, until)))
            .unwrap_or_default()
    }

    pub(crate) fn drop_link(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        if self.pool.remove(conn).is_some() {
            out.push(Command::Close { conn });
        }
    }

    /// A connection that has not come up in time, or an exchange other than an attempt without an answer.
    pub(crate) fn on_link_late(
        &mut self,
        now: Micros,
        conn: ConnId,
        since: Micros,
        out: &mut Vec<Command>,
    ) {
        let Some(link) = self.pool.get(conn).filter(|l| l.since == since) else {
            return;
        };
        let used_for = link.used_for;
        let outcome = match used_for {
            Use::Idle => return,
            Use::Attempt { .. } if link.up => return,
            _ if !link.up => Outcome::ConnectFailed,
            _ => Outcome::TimedOut,
        };
        self.drop_link(conn, out);
        self.exchange_failed(now, used_for, outcome, out);
    }

    pub(crate) fn on_link_ended(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        let Some(link) = self.pool.remove(conn) else {
            return;
        };
        let outcome = if link.written() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        };
        self.exchange_failed(now, link.used_for, outcome, out);
    }

    fn exchange_failed(
        &mut self,
        now: Micros,
        used_for: Use,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        match used_for {
            Use::Idle => {}
            Use::Attempt { request, .. } => self.attempt_failed(now, request, outcome, out),
            Use::Probe { server } => self.probed(now, server, outcome, Vec::new()),
            Use::Release { id, server, .. } => self.release_failed(now, id, server, outcome, out),
        }
    }

    pub(crate) fn on_link_bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        out: &mut Vec<Command>,
    ) {
        let Some(link) = self.pool.get_mut(conn) else {
            return;
        };
        link.heard = Some(now);
        let used_for = link.used_for;
        if used_for == Use::Idle {
            // Nothing was asked: whatever this is, the next answer could not be told from it.
            return self.drop_link(conn, out);
        }
        match link.answer.take(bytes) {
            Ok(Came::Events(events)) => self.on_events(now, used_for, &events, out),
            Ok(Came::End { events, whole }) => {
                let content = link.answer.content().to_vec();
                if whole.reusable && link.unsent == 0 {
                    (link.used_for, link.since, link.answer) = (Use::Idle, now, Answer::default());
                } else {
                    self.drop_link(conn, out);
                }
                self.on_events(now, used_for, &events, out);
                self.on_whole(now, used_for, whole, &content, out);
            }
            Err(_) => {
                self.drop_link(conn, out);
                self.exchange_failed(now, used_for, Outcome::Reset, out);
            }
        }
    }

    fn on_events(&mut self, now: Micros, used_for: Use, events: &[u8], out: &mut Vec<Command>) {
        let Use::Attempt {
            request, number, ..
        } = used_for
        else {
            return;
        };
        if events.is_empty() {
            return;
        }
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let Some(sent) = open.out.filter(|o| o.number == number) else {
            return;
        };
        let first = open.streaming.is_none();
        self.pass_on(now, request, events, out);
        if first {
            let elapsed_s = now.since(sent.sent);
            let (attempt, server) = (number, sent.server);
            self.events.push_back(Event::FirstToken {
                request,
                attempt,
                server,
                elapsed_s,
            });
        }
    }

    fn on_whole(
        &mut self,
        now: Micros,
        used_for: Use,
        whole: Whole,
        content: &[u8],
        out: &mut Vec<Command>,
    ) {
        let report = whole
            .load
            .as_deref()
            .map(|l| read_load(l, &self.names))
            .unwrap_or_default();
        match used_for {
            Use::Idle => {}
            Use::Attempt { request, .. } => {
                self.attempt_answered(now, request, &whole, report, out)
            }
            Use::Probe { server } => {
                let body = std::str::from_utf8(content).unwrap_or_default();
                let report = if report.is_empty() {
                    read_load(body.trim(), &self.names)
                } else {
                    report
                };
                let outcome = if whole.status == 200 {
                    Outcome::Served
                } else {
                    Outcome::Error
                };
                self.probed(now, server, outcome, report);
            }
            Use::Release { id, server, begun } => {
                self.release_answered(now, id, (server, begun), whole.status, out)
            }
        }
    }

    // ---- attempts -----------------------------------------------------------------------------

    pub(crate) fn send(
        &mut self,
        now: Micros,
        request: RequestId,
        server: ServerId,
        timeout_s: f64,
        out: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let number = open.attempts;
        open.attempts += 1;
        let until = if timeout_s > 0.0 {
            now.after(timeout_s).min(open.deadline)
        } else {
            open.deadline
        };
        let target = self
            .fleet
            .get(server)
            .filter(|t| t.standing == ServerStatus::Ready);
        let sendable = !open.over && open.out.is_none() && now < open.deadline;
        let (Some(target), true) = (target, sendable && open.passed.is_some()) else {
            return self.not_sent(request, number, server);
        };
        let role = self
            .roles
            .get(usize::from(target.kind))
            .copied()
            .unwrap_or_default();
        let host = (server, target.endpoint);
        let used_for = Use::Attempt {
            request,
            number,
            until,
        };
        let Some(conn) = self.exchange(now, host, used_for, Vec::new(), out) else {
            return self.not_sent(request, number, server);
        };
        self.counts.attempts += 1;
        if let Some(open) = self.requests.get_mut(request) {
            open.out = Some(Out {
                number,
                server,
                prefill: role == Role::Prefill,
                conn,
                sent: now,
            });
        }
        self.timers.set(until, Due::Attempt { request, number });
    }

    fn not_sent(&mut self, request: RequestId, attempt: u16, server: ServerId) {
        let finished = self.requests.get(request).is_none_or(|o| o.over);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            server,
            outcome: Outcome::NotSent,
            elapsed_s: 0.0,
            finished,
            prefix_hit_tokens: 0.0,
            report: Vec::new(),
        }));
    }

    /// The one place where an attempt ends: the module is told.
    fn attempt_over(
        &mut self,
        now: Micros,
        request: RequestId,
        outcome: Outcome,
        hit: f64,
        report: Vec<f64>,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let Some(was) = open.out.take() else { return };
        if matches!(
            outcome,
            Outcome::Cancelled | Outcome::TimedOut | Outcome::Reset
        ) {
            open.broke_at = Some(now);
        }
        self.touched.push(request);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request,
            attempt: was.number,
            server: was.server,
            outcome,
            elapsed_s: now.since(was.sent),
            finished: open.over,
            prefix_hit_tokens: hit,
            report,
        }));
    }

    fn attempt_answered(
        &mut self,
        now: Micros,
        request: RequestId,
        whole: &Whole,
        report: Vec<f64>,
        out: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let streaming = open.streaming.is_some();
        let prefill = open.out.is_some_and(|o| o.prefill);
        let outcome = match whole.status {
            200 if streaming => Outcome::Served,
            // A stream without an event gives the client nothing.
            200 => Outcome::Error,
            202 if prefill => Outcome::PrefillDone,
            503 | 504 if whole.declined => Outcome::Rejected {
                state_missing: false,
            },
            410 if whole.declined => Outcome::Rejected {
                state_missing: true,
            },
            _ => Outcome::Error,
        };
        if outcome == Outcome::Served {
            self.end_stream(now, request, out);
        }
        self.attempt_over(now, request, outcome, whole.cached_tokens, report);
    }

    fn attempt_failed(
        &mut self,
        now: Micros,
        request: RequestId,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        if self
            .requests
            .get(request)
            .is_some_and(|o| o.streaming.is_some())
        {
            self.break_stream(request, out);
        }
        self.attempt_over(now, request, outcome, 0.0, Vec::new());
    }

    /// Gives an attempt up by closing its connection.
    fn give_up(
        &mut self,
        now: Micros,
        request: RequestId,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let Some(was) = self.requests.get(request).and_then(|o| o.out) else {
            return;
        };
        let unsent = self.pool.get(was.conn).is_some_and(|l| !l.written());
        self.drop_link(was.conn, out);
        // What never had its last byte written never ran, whoever gave it up.
        let outcome = if unsent {
            Outcome::ConnectFailed
        } else {
            outcome
        };
        self.attempt_failed(now, request, outcome, out);
    }

    /// Ends an attempt that has not begun, as its request's last byte has not gone out. That calls nothing back from a
    /// host, so that it needs no leave to cancel.
    pub(crate) fn end_unwritten(
        &mut self,
        now: Micros,
        request: RequestId,
        out: &mut Vec<Command>,
    ) {
        let conn = self
            .requests
            .get(request)
            .and_then(|o| o.out)
            .map(|o| o.conn);
        if conn
            .and_then(|c| self.pool.get(c))
            .is_some_and(|l| !l.written())
        {
            self.give_up(now, request, Outcome::ConnectFailed, out);
        }
    }

    pub(crate) fn cancel(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u16,
        out: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        if open.streaming.is_none() && open.out.is_some_and(|o| o.number == attempt) {
            self.give_up(now, request, Outcome::Cancelled, out);
        }
    }

    pub(crate) fn on_time_up(
        &mut self,
        now: Micros,
        request: RequestId,
        number: u16,
        out: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        if open.streaming.is_none() && open.out.is_some_and(|o| o.number == number) {
            self.give_up(now, request, Outcome::TimedOut, out);
        }
    }

    /// Nobody reads this stream any more.
    pub(crate) fn end_unread_stream(
        &mut self,
        now: Micros,
        request: RequestId,
        out: &mut Vec<Command>,
    ) {
        if let Some(was) = self.requests.get(request).and_then(|o| o.out) {
            self.drop_link(was.conn, out);
            self.attempt_over(now, request, Outcome::Cancelled, 0.0, Vec::new());
        }
    }

    /// Ends all running streams, for their clients to ask for the rest elsewhere.
    pub(crate) fn end_streams(&mut self, now: Micros, out: &mut Vec<Command>) {
        let running = self
            .requests
            .iter()
            .filter(|(_, open)| open.streaming.is_some() && !open.over);
        let running: Vec<RequestId> = running.map(|(id, _)| id).collect();
        for id in running {
            self.break_stream(id, out);
            self.end_unread_stream(now, id, out);
        }
    }

    /// Streams whose hosts have gone silent are ended, so that their clients can ask for the rest.
    pub(crate) fn break_stalled(&mut self, now: Micros, out: &mut Vec<Command>) {
        let held_up = |conn: Option<ConnId>| conn.is_some_and(|c| self.held_up.contains_key(&c));
        let stalled = self.requests.iter().filter(|(_, open)| {
            open.streaming.is_some_and(|at| now.since(at) >= STALL_S) && !held_up(open.client)
        });
        let stalled: Vec<RequestId> = stalled.map(|(id, _)| id).collect();
        for id in stalled {
            if let Some(was) = self.requests.get(id).and_then(|o| o.out) {
                self.drop_link(was.conn, out);
                self.attempt_failed(now, id, Outcome::TimedOut, out);
            }
        }
    }

    /// Lets go of requests that have their answer and nothing out.
    pub(crate) fn reap(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.call_waiting_releases(now, out);
        let done = std::mem::take(&mut self.touched);
        for id in done {
            let Some(open) = self.requests.get(id) else {
                continue;
            };
            if !open.over || open.out.is_some() {
                continue;
            }
            let Some(open) = self.requests.remove(id) else {
                continue;
            };
            let bytes = open.passed.as_ref().map_or(0, |p| p.body_bytes());
            self.held_bytes = self.held_bytes.saturating_sub(bytes);
        }
    }

    // ---- probes ----------------------------------------------------------------

    pub(crate) fn probe(&mut self, now: Micros, server: ServerId, out: &mut Vec<Command>) {
        let Some(to) = self.fleet.get(server).map(|t| (server, t.endpoint)) else {
            return self.probed(now, server, Outcome::ConnectFailed, Vec::new());
        };
        let call = b"GET /status/load HTTP/1.1\r\nHost: origin.svc\r\n\r\n".to_vec();
        if self
            .exchange(now, to, Use::Probe { server }, call, out)
            .is_none()
        {
            return self.probed(now, server, Outcome::NotSent, Vec::new());
        }
        self.probes.insert(server, now);
    }

    fn probed(&mut self, now: Micros, server: ServerId, outcome: Outcome, report: Vec<f64>) {
        let elapsed_s = self
            .probes
            .remove(&server)
            .map_or(0.0, |sent| now.since(sent));
        self.events.push_back(Event::ProbeEnded {
            server,
            outcome,
            elapsed_s,
            report,
        });
    }
}
