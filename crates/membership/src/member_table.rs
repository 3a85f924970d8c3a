//! The state of each other member, the time since when it holds, and the evidence for it.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use foca::Member;

use crate::member::{Id, NameKey};
use crate::view::State;

/// Time after which a suspected member is declared down even if the failure detector has not done so. `foca` drops its
/// suspicion timers when this member rejoins, and a suspect that is never notified cannot refute the suspicion.
const MAX_SUSPICION: Duration = Duration::from_millis(2_000);

/// The recorded state of one member.
#[derive(Clone, Copy)]
pub(crate) struct MemberRecord {
    /// The member's identity; `None` until something is received from it or about it.
    pub id: Option<Id>,
    pub state: State,
    /// Time since when the member has been in this state, by this process's clock.
    pub since: Duration,
    /// Why the member is in this state, as text for operators.
    pub evidence: &'static str,
}

/// A member whose state, address or start has changed.
pub(crate) struct MemberChange {
    pub id: Id,
    pub state: State,
}

/// The records of all members other than this one.
pub(crate) struct MemberTable {
    records: BTreeMap<NameKey, MemberRecord>,
    /// When the first of the current suspicions expires; `None` where no member is suspected.
    suspect_until: Option<Duration>,
}

/// The evidence text for a state. Status pages show these texts, so they are part of the interface.
fn evidence(state: State) -> &'static str {
    match state {
        State::Alive => "heard, by itself or by others",
        State::Suspect => "a probe went unanswered",
        State::Unheard | State::Down => "suspected in vain, or left",
    }
}

impl MemberTable {
    /// Creates the table with the given members of the roster, from none of which anything has been received.
    pub(crate) fn new(members: impl Iterator<Item = NameKey>, now: Duration) -> MemberTable {
        let record = MemberRecord {
            id: None,
            state: State::Unheard,
            since: now,
            evidence: "never heard",
        };
        MemberTable {
            records: members.map(|name| (name, record)).collect(),
            suspect_until: None,
        }
    }

    pub(crate) fn get(&self, name: NameKey) -> Option<&MemberRecord> {
        self.records.get(&name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&NameKey, &MemberRecord)> {
        self.records.iter()
    }

    /// Names of the members that are present, in ascending order.
    pub(crate) fn present(&self) -> impl Iterator<Item = NameKey> + '_ {
        let present = self
            .records
            .iter()
            .filter(|(_, record)| record.state.is_present());
        present.map(|(name, _)| *name)
    }

    /// The address that a member has announced; `None` where nothing has been received from it.
    pub(crate) fn address(&self, name: NameKey) -> Option<SocketAddrV4> {
        let id = self.records.get(&name)?.id?;
        Some(id.address)
    }

    pub(crate) fn suspect_until(&self) -> Option<Duration> {
        self.suspect_until
    }

    /// Updates the records from the members of the failure detector, and returns the changes.
    pub(crate) fn update<'a>(
        &mut self,
        now: Duration,
        own: NameKey,
        members: impl Iterator<Item = &'a Member<Id>>,
    ) -> Vec<MemberChange> {
        self.suspect_until = None;
        let mut changes = Vec::new();
        for member in members.filter(|member| member.id().name != own) {
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down => State::Down,
            };
            let since = self.record(now, *member.id(), state, &mut changes);
            if state == State::Suspect {
                let until = since + MAX_SUSPICION;
                let first = self.suspect_until.map_or(until, |first| first.min(until));
                self.suspect_until = Some(first);
            }
        }
        changes
    }

    /// Records a member's state, and returns the time since when the member has been in it.
    fn record(
        &mut self,
        now: Duration,
        id: Id,
        state: State,
        changes: &mut Vec<MemberChange>,
    ) -> Duration {
        let unchanged = self
            .records
            .get(&id.name)
            .filter(|record| record.state == state && record.id == Some(id));
        if let Some(record) = unchanged {
            return record.since;
        }
        let record = MemberRecord {
            id: Some(id),
            state,
            since: now,
            evidence: evidence(state),
        };
        self.records.insert(id.name, record);
        changes.push(MemberChange { id, state });
        now
    }

    /// Suspected members that have not refuted the suspicion within [`MAX_SUSPICION`].
    pub(crate) fn expired_suspects(&self, now: Duration) -> Vec<Id> {
        self.records
            .values()
            .filter(|record| record.state == State::Suspect && now >= record.since + MAX_SUSPICION)
            .filter_map(|record| record.id)
            .collect()
    }

    /// Extends all current suspicions, so that a pause of this process does not make them expire.
    pub(crate) fn delay_suspicions(&mut self, by: Duration) {
        self.records
            .values_mut()
            .filter(|record| record.state == State::Suspect)
            .for_each(|record| record.since += by);
        self.suspect_until = self.suspect_until.map(|until| until + by);
    }
}
