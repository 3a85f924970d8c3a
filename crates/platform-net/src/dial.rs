//! Opens outbound connections to model servers and discovery. A connect that fails for lack of a local resource, such
//! as a file descriptor, is retried after a short delay, because it must not count as a failure of the other side.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_platform::types::ConnId;
use mio::net::TcpStream;

use crate::descriptors::EvictionReach;
use crate::transient_errors::is_transient;
use crate::{Driver, SocketEvent};

/// Retries of a connect. The delays start at `INITIAL_BACKOFF_SECS` and double each time, about 60 ms in total.
const MAX_RETRIES: u32 = 6;
/// Delay before the first retry of a connect, in seconds.
const INITIAL_BACKOFF_SECS: f64 = 0.001;
/// Tries of a connect before other connections are evicted to free a file descriptor, as the shortage may be brief.
const TRIES_BEFORE_EVICTION: u32 = 2;

/// A connect that is to be retried.
#[derive(Clone, Copy, Debug)]
struct ConnectRetry {
    to: SocketAddr,
    at: Micros,
    tries: u32,
}

/// Connects that failed with a transient error and are to be retried.
#[derive(Debug, Default)]
pub(crate) struct ConnectRetries(BTreeMap<ConnId, ConnectRetry>);

impl ConnectRetries {
    pub(crate) fn next_retry_at(&self) -> Option<Micros> {
        self.0.values().map(|r| r.at).min()
    }

    /// Cancels the retry of a connection that is no longer needed.
    pub(crate) fn cancel(&mut self, conn: ConnId) {
        self.0.remove(&conn);
    }
}

impl Driver {
    pub(crate) fn connect(&mut self, conn: ConnId, to: SocketAddr) {
        self.dial(conn, to, 0);
    }

    fn dial(&mut self, conn: ConnId, to: SocketAddr, tries: u32) {
        let opened = if tries < TRIES_BEFORE_EVICTION {
            TcpStream::connect(to)
        } else {
            let reach = if tries < MAX_RETRIES {
                EvictionReach::Resting
            } else {
                EvictionReach::Any
            };
            self.open_with_eviction(reach, || TcpStream::connect(to))
        };
        match opened.and_then(|stream| self.register_socket(conn, stream, false)) {
            Ok(()) => {}
            Err(e) if tries < MAX_RETRIES && is_transient(&e) => {
                let delay_secs = INITIAL_BACKOFF_SECS * f64::from(1u32 << tries);
                let at = self.clock.now().after(delay_secs);
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

    /// Retries the connects whose delay has passed.
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
            // Commands that follow from one connect may have closed another connection of this list.
            if self.connect_retries.0.remove(&conn).is_some() {
                self.dial(conn, retry.to, retry.tries);
                self.run_commands();
            }
        }
    }
}
