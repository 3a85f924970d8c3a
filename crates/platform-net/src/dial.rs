//! Connections of the dispatcher's own, to model hosts and discovery. One that cannot be opened for want of something
//! on this machine is tried again soon: it must not look like the other side's failure.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_platform::types::ConnId;
use mio::net::TcpStream;

use crate::momentary::is_momentary;
use crate::{Driver, Told};

/// Further tries, the first after a pause of so many seconds, each next one after twice as long: 60 ms together.
const MOST_TRIES: u32 = 6;
const FIRST_PAUSE_S: f64 = 0.001;
/// Tries before others give way for the want of a descriptor: it may have been for a moment alone.
const PATIENT_TRIES: u32 = 2;

/// A connection that is to be tried again.
#[derive(Clone, Copy, Debug)]
struct Redial {
    to: SocketAddr,
    at: Micros,
    tries: u32,
}

/// Connections that could not be opened yet.
#[derive(Debug, Default)]
pub(crate) struct Redials(BTreeMap<ConnId, Redial>);

impl Redials {
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
            self.with_descriptor(|| TcpStream::connect(to))
        };
        match opened.and_then(|stream| self.put(conn, stream, false)) {
            Ok(()) => {}
            Err(e) if tries < MOST_TRIES && is_momentary(&e) => {
                let pause_s = FIRST_PAUSE_S * f64::from(1u32 << tries);
                let at = self.clock.now().after(pause_s);
                self.redials.0.insert(
                    conn,
                    Redial {
                        to,
                        at,
                        tries: tries + 1,
                    },
                );
            }
            Err(_) => self.told.push_back(Told::Ended(conn)),
        }
    }

    /// Tries those again whose pause is over.
    pub(crate) fn redial(&mut self) {
        let now = self.clock.now();
        let due: Vec<(ConnId, Redial)> = self
            .redials
            .0
            .iter()
            .filter(|(_, r)| r.at <= now)
            .map(|(conn, r)| (*conn, *r))
            .collect();
        for (conn, redial) in due {
            // What one of them brings may have closed another.
            if self.redials.0.remove(&conn).is_some() {
                self.dial(conn, redial.to, redial.tries);
                self.carry_out();
            }
        }
    }
}
