//! States that nobody will take are let go of, until that has certainly arrived.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{ServerId, Standing};

use crate::discovery::Fleet;
use crate::pool::Pool;

/// Calls for one request; each goes to another host, as any of them lets go of all that is held.
const MOST_CALLS: usize = 6;
/// A call that has no answer after this is made again elsewhere, seconds.
pub const ANSWER_S: f64 = 0.15;
/// Most requests whose states are being let go of at once; past them the oldest is given up.
const MOST: usize = 1024;
/// What the platform allows for a release beyond the limit of the settings, seconds.
const SLACK_S: f64 = 0.3;

/// A state to let go of.
#[derive(Debug)]
pub struct Release {
    pub request: String,
    /// Where it is believed to be.
    pub holder: Option<ServerId>,
    pub asked: Vec<ServerId>,
    pub begun: Micros,
}

impl Release {
    /// A line for the log once a host has confirmed it, where that took longer than the platform allows.
    pub fn late_line(&self, now: Micros, server: ServerId) -> Option<String> {
        let (took_s, calls) = (now.since(self.begun), self.asked.len());
        let line =
            || format!("state of {} released late: {took_s:.3} s, call {calls}, by {server}", self.request);
        (took_s > SLACK_S).then(line)
    }

    /// A line for the log where no host has confirmed it.
    pub fn unconfirmed_line(&self, now: Micros, why: &str) -> String {
        let (took_s, calls) = (now.since(self.begun), self.asked.len());
        format!("state of {} may still be held: {why} after {took_s:.3} s and {calls} calls", self.request)
    }
}

/// All that are under way.
#[derive(Debug, Default)]
pub struct Releases {
    open: BTreeMap<u64, Release>,
    /// Those whose call found all connections in use.
    waiting: VecDeque<u64>,
    last: u64,
}

impl Releases {
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Begins one; gives its number, and the one that had to give way at the table's bound.
    pub fn put(&mut self, now: Micros, request: String, holder: Option<ServerId>) -> (u64, Option<Release>) {
        let dropped = if self.open.len() >= MOST { self.open.pop_first() } else { None };
        self.last += 1;
        self.open.insert(self.last, Release { request, holder, asked: Vec::new(), begun: now });
        (self.last, dropped.map(|d| d.1))
    }

    pub fn get(&self, id: u64) -> Option<&Release> {
        self.open.get(&id)
    }

    pub fn done(&mut self, id: u64) -> Option<Release> {
        self.open.remove(&id)
    }

    /// A call could not go out: its host is not asked yet, and it waits for a connection.
    pub fn wait(&mut self, id: u64) {
        if let Some(release) = self.open.get_mut(&id) {
            release.asked.pop();
            self.waiting.push_back(id);
        }
    }

    /// The one that has waited longest.
    pub fn next_waiting(&mut self) -> Option<u64> {
        self.waiting.pop_front()
    }

    /// The next host to call, and what to say; `None` once enough were called or none is left.
    pub fn next_call(
        &mut self,
        id: u64,
        now: Micros,
        fleet: &Fleet,
        pool: &Pool,
    ) -> Option<(ServerId, SocketAddr, Vec<u8>)> {
        let release = self.open.get_mut(&id)?;
        let fresh = |s: &ServerId| !release.asked.contains(s);
        let rank = |(server, to, standing): (ServerId, SocketAddr, Standing)| {
            // A kept connection carries it at once, and a host that has answered of late is likeliest to answer: time
            // runs on while hosts are silent. The holder is as good as any other, and likelier near.
            let heard = pool.kept(now, to).and_then(|conn| pool.get(conn)).map(|link| link.since);
            (Reverse(heard), standing != Standing::Ready, Some(server) != release.holder, server, to)
        };
        let hosts = fleet.iter().map(|(id, t)| (id, t.endpoint, t.standing)).filter(|h| fresh(&h.0));
        let best = hosts.map(rank).min().filter(|_| release.asked.len() < MOST_CALLS)?;
        let (_, _, _, server, to) = best;
        release.asked.push(server);
        let call =
            format!("DELETE /bootstrap/rooms/{} HTTP/1.1\r\nHost: origin.svc\r\n\r\n", release.request);
        Some((server, to, call.into_bytes()))
    }
}
