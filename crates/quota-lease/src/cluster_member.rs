//! One member whole: who is there, and what is agreed on, over one envelope.

use std::net::SocketAddrV4;
use std::time::Duration;

use bitternlatch_membership::{Event, Membership, NameKey, Output as Swim, Topic};

use crate::{Action, Process, QuotaMember};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(SocketAddrV4, Vec<u8>),
    Member(Event),
    /// All but [`Action::Send`], which is carried out here.
    Quota(Action),
    /// What a member said, for a machine that runs beside this one.
    Message {
        topic: Topic,
        from: Process,
        said: Vec<u8>,
    },
}

pub struct ClusterMember {
    pub member: Membership,
    pub quota: QuotaMember,
    swim: Vec<Swim>,
}

impl ClusterMember {
    pub fn new(member: Membership, seed: u64, now: Duration) -> ClusterMember {
        let own = member.own();
        let quota = QuotaMember::new(own.name, own.start.process, member.roster(), seed, now);
        ClusterMember {
            member,
            quota,
            swim: Vec::new(),
        }
    }

    pub fn wake_at(&self) -> Option<Duration> {
        // One that has given way to a later start says nothing more, and need not be woken for it.
        let member = self.member.wake_at()?;
        Some(self.quota.wake_at().map_or(member, |at| at.min(member)))
    }

    /// Takes a datagram that came from an address.
    pub fn handle_datagram(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        self.member
            .handle_datagram(now, from, bytes, &mut self.swim);
        self.carry(now, out);
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.member.wake(now, &mut self.swim);
        self.carry(now, out);
    }

    /// Says something of a machine beside this one to a member; `None` where it is not of the roster, or nothing is said any more.
    pub fn sign_message(
        &mut self,
        topic: Topic,
        to: NameKey,
        said: &[u8],
    ) -> Option<(SocketAddrV4, Vec<u8>)> {
        let mut swim = Vec::new();
        self.member.send(topic, to, said, &mut swim);
        swim.into_iter().find_map(|output| match output {
            Swim::Send(at, bytes) => Some((at, bytes)),
            Swim::Event(_) | Swim::Message { .. } => None,
        })
    }

    /// Gives back what it has and says farewell, once nothing is used any more.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.quota.leave(now, &mut actions);
        self.apply(actions, out);
        self.member.leave(now, &mut self.swim);
        self.carry(now, out);
    }

    /// Carries out what the member wants, and does what is due of agreement: with datagrams too, as they may come so densely that
    /// nothing else wakes it. One that has given way to a later start agrees on nothing more.
    fn carry(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        if self.member.wake_at().is_some() {
            self.quota.wake(now, &mut actions);
        }
        for output in std::mem::take(&mut self.swim) {
            match output {
                Swim::Send(to, bytes) => out.push(Output::Send(to, bytes)),
                Swim::Event(event) => out.push(Output::Member(event)),
                Swim::Message {
                    topic: Topic::QuotaLease,
                    name,
                    start,
                    said,
                } => self
                    .quota
                    .heard(now, Process { name, start }, &said, &mut actions),
                Swim::Message {
                    topic,
                    name,
                    start,
                    said,
                } => out.push(Output::Message {
                    topic,
                    from: Process { name, start },
                    said,
                }),
            }
        }
        self.apply(actions, out);
    }

    fn apply(&mut self, actions: Vec<Action>, out: &mut Vec<Output>) {
        let mut swim = Vec::new();
        for action in actions {
            match action {
                Action::Send(to, said) => self.member.send(Topic::QuotaLease, to, &said, &mut swim),
                other => out.push(Output::Quota(other)),
            }
        }
        out.extend(swim.into_iter().filter_map(|output| match output {
            Swim::Send(to, bytes) => Some(Output::Send(to, bytes)),
            Swim::Event(_) | Swim::Message { .. } => None,
        }));
    }
}

#[cfg(test)]
mod tests {
    use bitternlatch_membership::simulated::{address, ms, name, roster};
    use bitternlatch_membership::{Roster, Secret};

    use super::*;

    #[test]
    fn datagrams_that_come_densely_keep_nothing_that_is_due_from_being_done() {
        let all = Roster::new(&name(0), &roster(1)).expect("a roster");
        let member = Membership::new(&name(0), 1, all, Secret::new("hall", b"secret"), 1, ms(0));
        let mut whole = ClusterMember::new(member, 1, ms(0));
        // Noise, and never a moment in which nothing is heard.
        for at in 0..500 {
            whole.handle_datagram(ms(10 * at), address(1), b"noise", &mut Vec::new());
        }
        assert!(
            (whole.quota.lease().lent - 0.9).abs() < 1e-9,
            "its own leader: {:?}",
            whole.quota.lease()
        );
    }
}
