//! One member of the cluster: membership and quota leases over one datagram format.

use std::net::SocketAddrV4;
use std::time::Duration;

use bitternlatch_membership::{Event, Membership, NameKey, Output as MembershipOutput, Topic};

use crate::{Action, Process, QuotaMember};

/// An output of [`ClusterMember`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Sends a datagram to an address.
    Send(SocketAddrV4, Vec<u8>),
    /// What has changed in the membership.
    Member(Event),
    /// An action other than [`Action::Send`], which is carried out here.
    Quota(Action),
    /// A message for a [`crate::ClusterService`].
    Message {
        /// Which service it is for.
        topic: Topic,
        /// Who sent it.
        from: Process,
        /// What it holds.
        payload: Vec<u8>,
    },
}

/// A signed datagram and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The receiver's address.
    pub to: SocketAddrV4,
    /// The signed bytes.
    pub bytes: Vec<u8>,
}

/// Membership and quota state of one process.
pub struct ClusterMember {
    membership: Membership,
    quota: QuotaMember,
    pending: Vec<MembershipOutput>,
}

impl ClusterMember {
    /// The state of a process that starts now, by its own clock.
    pub fn new(membership: Membership, seed: u64, now: Duration) -> ClusterMember {
        let own = membership.own();
        let roster = membership.roster();
        let quota = QuotaMember::new(own.name, own.start.process, roster, seed, now);
        ClusterMember {
            membership,
            quota,
            pending: Vec::new(),
        }
    }

    /// Which members are present.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Leader and quota lease.
    pub fn quota(&self) -> &QuotaMember {
        &self.quota
    }

    /// Leader and quota lease, to set what this process observes.
    pub fn quota_mut(&mut self) -> &mut QuotaMember {
        &mut self.quota
    }

    /// When [`ClusterMember::wake`] is due at the latest; `None` once this member has left or was superseded by a later
    /// start.
    pub fn wake_at(&self) -> Option<Duration> {
        let membership_at = self.membership.wake_at()?;
        let quota_at = self.quota.wake_at();
        Some(quota_at.map_or(membership_at, |at| at.min(membership_at)))
    }

    /// Takes a datagram that came from an address.
    pub fn handle_datagram(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        self.membership
            .handle_datagram(now, from, bytes, &mut self.pending);
        self.step(now, out);
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.membership.wake(now, &mut self.pending);
        self.step(now, out);
    }

    /// Signs a message of a service to a member; `None` where that is not of the roster, or nothing is sent any more.
    pub fn sign_message(&mut self, topic: Topic, to: NameKey, payload: &[u8]) -> Option<Datagram> {
        let mut signed = Vec::new();
        self.membership.send(topic, to, payload, &mut signed);
        signed.into_iter().find_map(|output| match output {
            MembershipOutput::Send(to, bytes) => Some(Datagram { to, bytes }),
            MembershipOutput::Event(_) | MembershipOutput::Message { .. } => None,
        })
    }

    /// Releases vote and lease and announces that this member leaves, once it uses no quota any more.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.quota.leave(now, &mut actions);
        self.apply(actions, out);
        self.membership.leave(now, &mut self.pending);
        self.step(now, out);
    }

    /// Carries out the membership's outputs, and wakes the quota member where that is due: with datagrams too, as they may
    /// come so densely that nothing else wakes it. A process that was superseded by a later start takes no part any more.
    fn step(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        if self.membership.wake_at().is_some() {
            self.quota.wake(now, &mut actions);
        }
        for output in std::mem::take(&mut self.pending) {
            match output {
                MembershipOutput::Send(to, bytes) => out.push(Output::Send(to, bytes)),
                MembershipOutput::Event(event) => out.push(Output::Member(event)),
                MembershipOutput::Message {
                    topic,
                    name,
                    start,
                    payload,
                } => {
                    let from = Process { name, start };
                    if topic == Topic::QuotaLease {
                        self.quota.handle_message(now, from, &payload, &mut actions);
                    } else {
                        out.push(Output::Message {
                            topic,
                            from,
                            payload,
                        });
                    }
                }
            }
        }
        self.apply(actions, out);
    }

    fn apply(&mut self, actions: Vec<Action>, out: &mut Vec<Output>) {
        let mut datagrams = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, payload } => {
                    datagrams.extend(self.sign_message(Topic::QuotaLease, to, &payload));
                }
                other => out.push(Output::Quota(other)),
            }
        }
        let sent = datagrams.into_iter();
        out.extend(sent.map(|datagram| Output::Send(datagram.to, datagram.bytes)));
    }
}

#[cfg(test)]
mod tests;
