//! Direct notification of a suspected member by the member whose probe it did not acknowledge.
//!
//! `foca` gossips a suspicion to a few random members at a time, and the member that raised it declares the suspect down
//! unless a refutation arrives by gossip. With 5% of datagrams lost, live members were sometimes declared down: either the
//! suspicion had not reached the suspect or the refutation had not reached the member that waited for it. The Lifeguard
//! paper notifies the suspect first ("buddy system"). Here the member that raised the suspicion notifies the suspect
//! repeatedly, and the suspect replies with the refutation.

use std::collections::BTreeMap;
use std::time::Duration;

use foca::Member;

use crate::datagram_auth::{word, Kind, RejectReason};
use crate::member::{NameKey, Start};
use crate::protocol::{Membership, Output};

/// Time between two notifications of the same suspect.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of suspects that are notified at the same time. A member that suspects more probably has a network fault
/// of its own.
const MAX_NOTIFIED: usize = 32;

/// The members that did not acknowledge a probe of this member, and the time of the next notification to each.
#[derive(Default)]
pub(crate) struct SuspectNotifications {
    due: BTreeMap<NameKey, Duration>,
}

impl SuspectNotifications {
    pub(crate) fn begin(&mut self, now: Duration, suspect: NameKey) {
        if self.due.len() < MAX_NOTIFIED {
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
            *at = now + NOTIFY_INTERVAL;
            *name
        })
        .collect()
    }
}

/// Encodes the payload of a suspicion or a refutation: the suspect's start and incarnation.
fn encode(start: Start, incarnation: u16) -> Vec<u8> {
    let words = [
        &start.process.to_le_bytes()[..],
        &start.rejoins.to_le_bytes(),
        &incarnation.to_le_bytes(),
    ];
    words.concat()
}

/// Decodes the payload of a suspicion or a refutation.
fn decode(payload: &[u8]) -> Result<(Start, u16), RejectReason> {
    if payload.len() != 12 {
        return Err(RejectReason::Unreadable);
    }
    let start = Start {
        process: word(&payload[..8]),
        rejoins: word(&payload[8..10]) as u16,
    };
    Ok((start, word(&payload[10..]) as u16))
}

impl Membership {
    /// Notifies the suspects whose next notification is due.
    pub(crate) fn notify_suspects(&mut self, now: Duration, out: &mut Vec<Output>) {
        for name in self.suspect_notifications.take_due(now) {
            let known = self
                .detector
                .iter_membership_state()
                .find(|m| m.id().name == name);
            match known.map(|m| (*m.id(), m.incarnation())) {
                Some((id, incarnation)) => {
                    let payload = encode(id.start, incarnation);
                    out.push(Output::Send(
                        id.address,
                        self.signer.sign(Kind::Suspicion, &payload),
                    ));
                }
                None => self.suspect_notifications.end(name),
            }
        }
    }

    /// Handles a notification that this member is suspected: refutes the suspicion to all members by gossip, and directly to
    /// the sender.
    pub(crate) fn refute_suspicion(
        &mut self,
        by: NameKey,
        payload: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let (start, incarnation) = decode(payload)?;
        let me = *self.detector.identity();
        // A suspicion of another start of this name is not refuted: that process has ended. The maximum incarnation cannot
        // be exceeded.
        if start != me.start || incarnation == u16::MAX {
            return Ok(());
        }
        let suspected = Member::new(me, incarnation, foca::State::Suspect);
        let applied = self
            .detector
            .apply_many(std::iter::once(suspected), true, &mut self.runtime);
        applied.map_err(|_| RejectReason::Unreadable)?;
        // The own incarnation is now at least the suspected one plus 1.
        if let Some(to) = self.roster_address(by) {
            let payload = encode(start, incarnation + 1);
            out.push(Output::Send(
                to,
                self.signer.sign(Kind::Refutation, &payload),
            ));
        }
        Ok(())
    }

    /// Handles a refutation: marks the suspect alive under its new incarnation.
    pub(crate) fn on_suspicion_refuted(
        &mut self,
        name: NameKey,
        payload: &[u8],
    ) -> Result<(), RejectReason> {
        let (start, incarnation) = decode(payload)?;
        let known = self
            .detector
            .iter_membership_state()
            .find(|m| m.id().name == name && m.id().start == start);
        let Some(id) = known.map(|m| *m.id()) else {
            return Ok(());
        };
        let alive = Member::new(id, incarnation, foca::State::Alive);
        let applied = self
            .detector
            .apply_many(std::iter::once(alive), true, &mut self.runtime);
        applied.map_err(|_| RejectReason::Unreadable)
    }
}

#[cfg(test)]
mod tests;
