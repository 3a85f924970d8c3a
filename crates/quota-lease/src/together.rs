//! One member whole: who is there, and what is agreed on, over one envelope.

use std::net::SocketAddrV4;
use std::time::Duration;

use bitternlatch_membership::{Event, Membership, NameKey, Output as Swim, Topic};

use crate::{Process, Shares, Told};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(SocketAddrV4, Vec<u8>),
    Member(Event),
    /// All but [`Told::Say`], which is carried out here.
    Agreed(Told),
    /// What a member said, for a machine that runs beside this one.
    Said {
        topic: Topic,
        from: Process,
        said: Vec<u8>,
    },
}

pub struct Together {
    pub member: Membership,
    pub shares: Shares,
    swim: Vec<Swim>,
}

impl Together {
    pub fn new(member: Membership, seed: u64, now: Duration) -> Together {
        let own = member.own();
        let shares = Shares::new(own.name, own.start.process, member.roster(), seed, now);
        Together {
            member,
            shares,
            swim: Vec::new(),
        }
    }

    pub fn wake_at(&self) -> Option<Duration> {
        // One that has given way to a later start says nothing more, and need not be woken for it.
        let member = self.member.wake_at()?;
        Some(self.shares.wake_at().map_or(member, |at| at.min(member)))
    }

    /// Takes a datagram that came from an address.
    pub fn datagram(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        self.member.datagram(now, from, bytes, &mut self.swim);
        self.carry(now, out);
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.member.wake(now, &mut self.swim);
        self.carry(now, out);
    }

    /// Says something of a machine beside this one to a member; `None` where it is not of the roster, or nothing is said any more.
    pub fn say(
        &mut self,
        topic: Topic,
        to: NameKey,
        said: &[u8],
    ) -> Option<(SocketAddrV4, Vec<u8>)> {
        let mut swim = Vec::new();
        self.member.say(topic, to, said, &mut swim);
        swim.into_iter().find_map(|output| match output {
            Swim::Send(at, bytes) => Some((at, bytes)),
            Swim::Event(_) | Swim::Said { .. } => None,
        })
    }

    /// Gives back what it has and says farewell, once nothing is used any more.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut told = Vec::new();
        self.shares.leave(now, &mut told);
        self.tell(told, out);
        self.member.leave(now, &mut self.swim);
        self.carry(now, out);
    }

    /// Carries out what the member wants, and does what is due of agreement: with datagrams too, as they may come so densely that
    /// nothing else wakes it. One that has given way to a later start agrees on nothing more.
    fn carry(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut told = Vec::new();
        if self.member.wake_at().is_some() {
            self.shares.wake(now, &mut told);
        }
        for output in std::mem::take(&mut self.swim) {
            match output {
                Swim::Send(to, bytes) => out.push(Output::Send(to, bytes)),
                Swim::Event(event) => out.push(Output::Member(event)),
                Swim::Said {
                    topic: Topic::Agreement,
                    name,
                    start,
                    said,
                } => self
                    .shares
                    .heard(now, Process { name, start }, &said, &mut told),
                Swim::Said {
                    topic,
                    name,
                    start,
                    said,
                } => out.push(Output::Said {
                    topic,
                    from: Process { name, start },
                    said,
                }),
            }
        }
        self.tell(told, out);
    }

    fn tell(&mut self, told: Vec<Told>, out: &mut Vec<Output>) {
        let mut swim = Vec::new();
        for one in told {
            match one {
                Told::Say(to, said) => self.member.say(Topic::Agreement, to, &said, &mut swim),
                other => out.push(Output::Agreed(other)),
            }
        }
        out.extend(swim.into_iter().filter_map(|output| match output {
            Swim::Send(to, bytes) => Some(Output::Send(to, bytes)),
            Swim::Event(_) | Swim::Said { .. } => None,
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
        let mut whole = Together::new(member, 1, ms(0));
        // Noise, and never a moment in which nothing is heard.
        for at in 0..500 {
            whole.datagram(ms(10 * at), address(1), b"noise", &mut Vec::new());
        }
        assert!(
            (whole.shares.part().lent - 0.9).abs() < 1e-9,
            "its own steward: {:?}",
            whole.shares.part()
        );
    }
}
