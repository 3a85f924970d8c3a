//! One member of the cluster: the membership protocol and the quota leases, which share one datagram format.

use std::net::SocketAddrV4;
use std::time::Duration;

use bitternlatch_membership::{Event, Membership, NameKey, Output as MembershipOutput, Topic};

use crate::{Action, Process, QuotaMember};

/// An output of [`ClusterMember`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Sends a datagram to an address.
    Send(SocketAddrV4, Vec<u8>),
    /// Reports a change of membership.
    Member(Event),
    /// Reports an action of the quota member other than [`Action::Send`], which [`ClusterMember`] applies itself.
    Quota(Action),
    /// Delivers a message to a [`crate::ClusterService`].
    Message {
        /// The service that the message is for.
        topic: Topic,
        /// The process that sent it.
        from: Process,
        /// The message.
        payload: Vec<u8>,
    },
}

/// A signed datagram and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The receiver's address.
    pub to: SocketAddrV4,
    /// The datagram with header and authentication tag.
    pub bytes: Vec<u8>,
}

/// The state of one process in the membership protocol, the leader election and the quota leases.
pub struct ClusterMember {
    membership: Membership,
    quota: QuotaMember,
    /// Outputs of the membership protocol that are not yet applied.
    pending: Vec<MembershipOutput>,
}

impl ClusterMember {
    /// Creates the state of a process that starts at `now`, by its own clock.
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

    /// The state of the membership protocol.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The state of leader election and quota leases.
    pub fn quota(&self) -> &QuotaMember {
        &self.quota
    }

    /// The state of leader election and quota leases, mutable, for setting this process's observations of model servers.
    pub fn quota_mut(&mut self) -> &mut QuotaMember {
        &mut self.quota
    }

    /// When [`ClusterMember::wake`] is due at the latest; `None` once this member has left or is fenced by a later start
    /// under its name.
    pub fn wake_at(&self) -> Option<Duration> {
        let membership_at = self.membership.wake_at()?;
        let quota_at = self.quota.wake_at();
        Some(quota_at.map_or(membership_at, |at| at.min(membership_at)))
    }

    /// Handles a datagram that was received from an address.
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

    /// Runs all timers that are due.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.membership.wake(now, &mut self.pending);
        self.step(now, out);
    }

    /// Signs a message of a service to a member. Returns `None` where the receiver is not in the roster, or this member has
    /// left or is fenced.
    pub fn sign_message(&mut self, topic: Topic, to: NameKey, payload: &[u8]) -> Option<Datagram> {
        let mut signed = Vec::new();
        self.membership.send(topic, to, payload, &mut signed);
        signed.into_iter().find_map(|output| match output {
            MembershipOutput::Send(to, bytes) => Some(Datagram { to, bytes }),
            MembershipOutput::Event(_) | MembershipOutput::Message { .. } => None,
        })
    }

    /// Releases the vote and the lease, and announces that this member leaves. To be called once the process no longer uses
    /// any quota.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.quota.leave(now, &mut actions);
        self.apply(actions, out);
        self.membership.leave(now, &mut self.pending);
        self.step(now, out);
    }

    /// Applies the outputs of the membership protocol, and wakes the quota member where that is due.
    ///
    /// It is woken on datagrams too, because they may arrive so densely that [`ClusterMember::wake`] is never called. In a
    /// process that has left or is fenced the quota member is not woken.
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

    /// Signs the messages of the quota member, and passes its other actions on before them.
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
