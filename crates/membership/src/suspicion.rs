//! A suspect is asked directly, by the one whose probe it failed to answer.
//!
//! The library tells of a suspicion with its news, a few random members at a time, and gives the suspect up at the one that
//! raised it unless a denial comes back the same way. With a datagram in twenty lost that failed now and then: the news had not come
//! to the suspect, or its denial not to the one that waits. The Lifeguard paper tells the suspect first ("buddy system");
//! here the one that waits asks again and again, and the answer is the denial itself.

use std::collections::BTreeMap;
use std::time::Duration;

use foca::Member;

use crate::datagram_auth::{word, Kind, RejectReason};
use crate::member::{NameKey, Start};
use crate::protocol::{Membership, Output};

/// Between two questions to one suspect.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// Suspects asked at once; a member whose own network fails may suspect all, and would be no judge of any.
const ASKED_MOST: usize = 32;

/// Suspects found by own probes, and when each is asked next.
#[derive(Default)]
pub(crate) struct SuspicionConfirmations {
    due: BTreeMap<NameKey, Duration>,
}

impl SuspicionConfirmations {
    pub(crate) fn begin(&mut self, now: Duration, suspect: NameKey) {
        if self.due.len() < ASKED_MOST {
            self.due.entry(suspect).or_insert(now);
        }
    }

    pub(crate) fn end(&mut self, name: NameKey) {
        self.due.remove(&name);
    }

    pub(crate) fn next(&self) -> Option<Duration> {
        self.due.values().min().copied()
    }

    fn take_due(&mut self, now: Duration) -> Vec<NameKey> {
        let due = self.due.iter_mut().filter(|(_, at)| **at <= now);
        due.map(|(name, at)| {
            *at = now + ASK_EVERY;
            *name
        })
        .collect()
    }
}

/// What question and denial hold: of which start, and under which incarnation.
fn written(start: Start, incarnation: u16) -> Vec<u8> {
    let words = [
        &start.process.to_le_bytes()[..],
        &start.comeback.to_le_bytes(),
        &incarnation.to_le_bytes(),
    ];
    words.concat()
}

fn read(said: &[u8]) -> Result<(Start, u16), RejectReason> {
    if said.len() != 12 {
        return Err(RejectReason::Unreadable);
    }
    let start = Start {
        process: word(&said[..8]),
        comeback: word(&said[8..10]) as u16,
    };
    Ok((start, word(&said[10..]) as u16))
}

impl Membership {
    /// Asks those suspects whose turn it is.
    pub(crate) fn ask_suspects(&mut self, now: Duration, out: &mut Vec<Output>) {
        for name in self.confirmations.take_due(now) {
            let known = self
                .detector
                .iter_membership_state()
                .find(|m| m.id().name == name);
            match known.map(|m| (*m.id(), m.incarnation())) {
                Some((id, incarnation)) => {
                    let said = written(id.start, incarnation);
                    out.push(Output::Send(
                        id.address,
                        self.signer.sign(Kind::Doubted, &said),
                    ));
                }
                None => self.confirmations.end(name),
            }
        }
    }

    /// This one is suspected: it denies, to all by the library's news, and to the one that asks at once.
    pub(crate) fn refute_suspicion(
        &mut self,
        by: NameKey,
        said: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let (start, incarnation) = read(said)?;
        let me = *self.detector.identity();
        // Of another start of this name: that one has gone, and a denial of this one says nothing of it.
        if start != me.start || incarnation == u16::MAX {
            return Ok(());
        }
        let suspected = Member::new(me, incarnation, foca::State::Suspect);
        let denied = self
            .detector
            .apply_many(std::iter::once(suspected), true, &mut self.runtime);
        denied.map_err(|_| RejectReason::Unreadable)?;
        // After it the own incarnation is one more than the suspected one, or higher still.
        if let Some(to) = self.roster_address(by) {
            let said = written(start, incarnation + 1);
            out.push(Output::Send(to, self.signer.sign(Kind::Denied, &said)));
        }
        Ok(())
    }

    /// A suspect's own word.
    pub(crate) fn on_suspicion_refuted(
        &mut self,
        name: NameKey,
        said: &[u8],
    ) -> Result<(), RejectReason> {
        let (start, incarnation) = read(said)?;
        let known = self
            .detector
            .iter_membership_state()
            .find(|m| m.id().name == name && m.id().start == start);
        let Some(id) = known.map(|m| *m.id()) else {
            return Ok(());
        };
        let alive = Member::new(id, incarnation, foca::State::Alive);
        let taken = self
            .detector
            .apply_many(std::iter::once(alive), true, &mut self.runtime);
        taken.map_err(|_| RejectReason::Unreadable)
    }
}

#[cfg(test)]
mod tests;
