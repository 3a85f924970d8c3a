//! The event loop: waits for readiness, hands it to the node, and lets timers act.

use std::io;
use std::time::Duration;

use bitternlatch_platform::types::{ConnId, Input};
use mio::event::Event;
use mio::Events;

use crate::{Driver, LISTENER, PEERS, SIGNALS};

/// Events taken from the system at once, and how often in a row while there are as many.
const BATCH: usize = 256;
const MAX_BATCHES: usize = 8;
/// Within a turn the system is asked for further events after this, seconds: a client that goes meanwhile is heard.
const POLL_AGAIN_SECS: f64 = 0.005;
/// Timers wait for what servers and clients have said by the time at which they are due, but in a turn no longer than
/// this, seconds.
const MAX_TIMER_DELAY_SECS: f64 = 0.01;

/// What the system has told in one poll.
#[derive(Default)]
struct Readiness {
    /// Connections that may be read or written.
    ready: Vec<ConnId>,
    /// Clients that have disconnected.
    disconnected: Vec<ConnId>,
    /// Datagrams wait.
    peers: bool,
    /// Signals wait.
    signals: bool,
}

impl Driver {
    pub(crate) fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(BATCH);
        self.run_commands();
        while !self.stopped {
            let mut wait = self.wait();
            // A signal ends the wait with nothing told, also one that stops the process for a while: due timers must not
            // act on what was known before.
            while let Err(e) = self.poll.poll(&mut events, Some(wait)) {
                if e.kind() != io::ErrorKind::Interrupted {
                    return Err(e);
                }
                wait = Duration::ZERO;
            }
            self.turn(&mut events);
        }
        self.drain_lingering(&mut events);
        tracing::info!(counts = ?self.node.counts(), "stopped");
        Ok(())
    }

    /// How long nothing has to be done without an event.
    fn wait(&self) -> Duration {
        if !self.ready_again.is_empty() {
            return Duration::ZERO;
        }
        let due = [
            self.node.next_due(),
            self.acceptor.next(),
            self.reloads.next(),
            self.next_linger_deadline(),
            self.connect_retries.next(),
        ];
        let due = due.into_iter().flatten().min();
        due.map_or(Duration::from_secs(1), |at| self.clock.until(at))
    }

    fn turn(&mut self, events: &mut Events) {
        let mut ready = self.poll_ready(events);
        ready.extend(std::mem::take(&mut self.ready_again));
        self.handle_signals();
        // Clients with a request open first: all that they can say is that they have gone, or what comes next. Then
        // servers: a connection that has just ended must not be chosen for what a client has just asked.
        let rank = |conn: &ConnId| match self.sockets.get(conn) {
            Some(socket) if socket.accepted => {
                if self.node.has_open_request(*conn) {
                    0
                } else {
                    2
                }
            }
            _ => 1,
        };
        ready.sort_by_key(rank);
        let began = self.observed_at;
        for conn in ready {
            self.poll_again(events);
            if self.observed_at.since(began) >= MAX_TIMER_DELAY_SECS {
                self.tick();
            }
            self.serve_socket(conn);
        }
        self.poll_again(events);
        self.retry_connects();
        self.accept();
        self.reload();
        self.cut_lingering();
        self.poll_again(events);
        self.tick();
        if self.acceptor.take_close_request() {
            self.stop_listening();
        }
    }

    /// Lets timers that are due act.
    fn tick(&mut self) {
        if self
            .node
            .next_due()
            .is_some_and(|at| at <= self.observed_at)
        {
            self.input(Input::Tick);
        }
    }

    /// Takes in what the system has told, and all else that it has to tell by now. Gives the connections that are ready.
    ///
    /// The node hears first of the clients that have gone, of all of them, and without what they said last: neither a
    /// server's answer nor a timer nor their own words may begin an attempt for them.
    fn poll_ready(&mut self, events: &mut Events) -> Vec<ConnId> {
        let found = self.collect_readiness(events);
        for conn in found.disconnected {
            self.forget(conn);
            // No command is carried out in between: what comes of it may let timers act.
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

    /// Takes the events at hand and all that the system has by now.
    fn collect_readiness(&mut self, events: &mut Events) -> Readiness {
        let mut found = Readiness::default();
        for batch in 0..MAX_BATCHES {
            for event in events.iter() {
                self.record_readiness(event, &mut found);
            }
            if batch > 0 && events.iter().count() < BATCH {
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
                if socket.client_gone() {
                    found.disconnected.push(conn);
                } else {
                    found.ready.push(conn);
                }
            }
        }
    }

    /// In a long turn, asks the system again; connections that are ready are served in the next one.
    fn poll_again(&mut self, events: &mut Events) {
        if self.clock.now().since(self.observed_at) < POLL_AGAIN_SECS {
            return;
        }
        events.clear();
        let ready = self.poll_ready(events);
        self.ready_again.extend(ready);
    }
}
