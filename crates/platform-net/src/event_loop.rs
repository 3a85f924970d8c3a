//! The event loop: waits for readiness events, passes input to the node and runs its timers.

use std::io;
use std::time::Duration;

use bitternlatch_platform::types::{ConnId, Input};
use mio::event::Event;
use mio::Events;

use crate::{Driver, LISTENER, PEERS, SIGNALS};

/// Most events that one poll returns.
const EVENT_BATCH_SIZE: usize = 256;
/// Most polls in a row while each returns a full batch of events.
const MAX_EVENT_BATCHES: usize = 8;
/// Interval, in seconds, at which a long iteration polls for new events, so that a client that disconnects meanwhile is
/// noticed.
const REPOLL_INTERVAL_SECS: f64 = 0.005;
/// Longest delay of due timers within an iteration, in seconds. Until then, input that had arrived from servers and
/// clients when the timers became due is processed first.
const MAX_TIMER_DELAY_SECS: f64 = 0.01;

/// Order in which ready connections are served in one iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServiceOrder {
    /// A drain must be known before a response or a request starts an attempt.
    Discovery,
    /// A client with an open request can only disconnect or send a further request.
    WaitingClient,
    /// Before new requests, which must not be sent on a connection that its server has just closed.
    Server,
    OtherClient,
}

/// Readiness events collected by one or more polls.
#[derive(Default)]
struct Readiness {
    /// Connections that are ready to be read or written.
    ready: Vec<ConnId>,
    /// Clients that have disconnected.
    disconnected: Vec<ConnId>,
    /// Whether datagrams are waiting.
    peers: bool,
    /// Whether signals are waiting.
    signals: bool,
}

impl Driver {
    pub(crate) fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENT_BATCH_SIZE);
        self.run_commands();
        while !self.stopped {
            let mut wait = self.poll_timeout();
            // A signal interrupts the poll without events, and may have suspended the process for a while. The poll is
            // repeated without waiting, so that due timers do not act on outdated readiness.
            while let Err(e) = self.poll.poll(&mut events, Some(wait)) {
                if e.kind() != io::ErrorKind::Interrupted {
                    return Err(e);
                }
                wait = Duration::ZERO;
            }
            self.run_iteration(&mut events);
        }
        self.drain_lingering(&mut events);
        tracing::info!(counts = ?self.node.counts(), "stopped");
        Ok(())
    }

    /// How long the next poll may wait: until the earliest timer, and 0 while connections are to be read again.
    fn poll_timeout(&self) -> Duration {
        if !self.ready_again.is_empty() {
            return Duration::ZERO;
        }
        let due = [
            self.node.next_due(),
            self.acceptor.next_accept_at(),
            self.reloads.next_read_at(),
            self.next_linger_deadline(),
            self.connect_retries.next_retry_at(),
        ];
        let due = due.into_iter().flatten().min();
        due.map_or(Duration::from_secs(1), |at| self.clock.until(at))
    }

    fn run_iteration(&mut self, events: &mut Events) {
        let mut ready = self.poll_ready(events);
        ready.extend(std::mem::take(&mut self.ready_again));
        self.handle_signals();
        ready.sort_by_key(|conn| self.service_order(*conn));
        let iteration_start = self.observed_at;
        for conn in ready {
            self.repoll_if_due(events);
            if self.observed_at.since(iteration_start) >= MAX_TIMER_DELAY_SECS {
                self.run_due_timers();
            }
            self.serve_socket(conn);
        }
        self.repoll_if_due(events);
        self.retry_connects();
        self.accept();
        self.reload();
        self.close_expired_lingering();
        self.repoll_if_due(events);
        self.run_due_timers();
        if self.acceptor.take_close_request() {
            self.stop_listening();
        }
    }

    /// Order in which the connections that are ready are served.
    fn service_order(&self, conn: ConnId) -> ServiceOrder {
        let is_client = self
            .sockets
            .get(&conn)
            .is_some_and(|socket| socket.accepted);
        if self.node.is_discovery_watch(conn) {
            ServiceOrder::Discovery
        } else if !is_client {
            ServiceOrder::Server
        } else if self.node.has_open_request(conn) {
            ServiceOrder::WaitingClient
        } else {
            ServiceOrder::OtherClient
        }
    }

    /// Runs the timers of the node that are due.
    fn run_due_timers(&mut self) {
        if self
            .node
            .next_due()
            .is_some_and(|at| at <= self.observed_at)
        {
            self.step_node(Input::Tick);
        }
    }

    /// Processes the given events and all others that are available by now. Returns the connections that are ready.
    ///
    /// The node is notified of all disconnected clients first, and the last bytes of these clients are not read: no
    /// server response, timer or input of their own may start an attempt for them.
    fn poll_ready(&mut self, events: &mut Events) -> Vec<ConnId> {
        let found = self.collect_readiness(events);
        for conn in found.disconnected {
            self.remove_socket(conn);
            // Commands are executed only after the last of these inputs, because their results may run timers.
            self.node
                .step(self.observed_at, Input::Ended { conn }, &mut self.commands);
        }
        self.run_commands();
        if found.peers {
            self.read_datagrams();
        }
        if found.signals {
            self.handle_signals();
        }
        found.ready
    }

    /// Collects the given events and all others that are available by now.
    fn collect_readiness(&mut self, events: &mut Events) -> Readiness {
        let mut found = Readiness::default();
        for batch in 0..MAX_EVENT_BATCHES {
            for event in events.iter() {
                self.record_readiness(event, &mut found);
            }
            if batch > 0 && events.iter().count() < EVENT_BATCH_SIZE {
                break;
            }
            self.observed_at = self.clock.now();
            if self.poll.poll(events, Some(Duration::ZERO)).is_err() {
                break;
            }
        }
        found
    }

    fn record_readiness(&mut self, event: &Event, found: &mut Readiness) {
        match event.token() {
            LISTENER => self.acceptor.set_ready(),
            PEERS => found.peers = true,
            SIGNALS => found.signals = true,
            token => {
                let conn = ConnId(token.0 as u64);
                let Some(socket) = self.sockets.get_mut(&conn) else {
                    return;
                };
                socket.record_readiness(event);
                if socket.client_disconnected() {
                    found.disconnected.push(conn);
                } else {
                    found.ready.push(conn);
                }
            }
        }
    }

    /// Polls again if `REPOLL_INTERVAL_SECS` have passed since the last poll. Connections that are found ready are
    /// served in the next iteration.
    fn repoll_if_due(&mut self, events: &mut Events) {
        if self.clock.now().since(self.observed_at) < REPOLL_INTERVAL_SECS {
            return;
        }
        events.clear();
        let ready = self.poll_ready(events);
        self.ready_again.extend(ready);
    }
}
