//! Connections of the dispatcher's own, to model servers and discovery. One that cannot be opened for want of something
//! on this machine is tried again soon: it must not look like the other side's failure.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_platform::types::ConnId;
use mio::net::TcpStream;

use crate::transient_errors::is_transient;
use crate::{Driver, SocketEvent};

/// Further tries, the first after a pause of so many seconds, each next one after twice as long: 60 ms together.
const MAX_TRIES: u32 = 6;
const FIRST_PAUSE_SECS: f64 = 0.001;
/// Tries before others are evicted for want of a descriptor: it may have been for a moment alone.
const PATIENT_TRIES: u32 = 2;

/// A connection that is to be tried again.
#[derive(Clone, Copy, Debug)]
struct ConnectRetry {
    to: SocketAddr,
    at: Micros,
    tries: u32,
}

/// Connections that could not be opened yet.
#[derive(Debug, Default)]
pub(crate) struct ConnectRetries(BTreeMap<ConnId, ConnectRetry>);

impl ConnectRetries {
    pub(crate) fn next(&self) -> Option<Micros> {
        self.0.values().map(|r| r.at).min()
    }

    /// It is not wanted any more.
    pub(crate) fn forget(&mut self, conn: ConnId) {
        self.0.remove(&conn);
    }
}

impl Driver {
    pub(crate) fn connect(&mut self, conn: ConnId, to: SocketAddr) {
        self.dial(conn, to, 0);
    }

    fn dial(&mut self, conn: ConnId, to: SocketAddr, tries: u32) {
        let opened = if tries < PATIENT_TRIES {
            TcpStream::connect(to)
        } else {
            self.evicting_for_descriptor(|| TcpStream::connect(to))
        };
        match opened.and_then(|stream| self.put(conn, stream, false)) {
            Ok(()) => {}
            Err(e) if tries < MAX_TRIES && is_transient(&e) => {
                let pause_s = FIRST_PAUSE_SECS * f64::from(1u32 << tries);
                let at = self.clock.now().after(pause_s);
                self.connect_retries.0.insert(
                    conn,
                    ConnectRetry {
                        to,
                        at,
                        tries: tries + 1,
                    },
                );
            }
            Err(_) => self.socket_events.push_back(SocketEvent::Ended { conn }),
        }
    }

    /// Tries those again whose pause is over.
    pub(crate) fn retry_connects(&mut self) {
        let now = self.clock.now();
        let due: Vec<(ConnId, ConnectRetry)> = self
            .connect_retries
            .0
            .iter()
            .filter(|(_, r)| r.at <= now)
            .map(|(conn, r)| (*conn, *r))
            .collect();
        for (conn, retry) in due {
            // What one of them brings may have closed another.
            if self.connect_retries.0.remove(&conn).is_some() {
                self.dial(conn, retry.to, retry.tries);
                self.run_commands();
            }
        }
    }
}
