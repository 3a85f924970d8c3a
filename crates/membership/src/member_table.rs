//! What is known of each other member: its state, since when, and the evidence of it.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use foca::Member;

use crate::member::{Id, NameKey};
use crate::view::State;

/// A suspect is given up after so long: the library forgets suspicions from before a rejoin of its own, and a suspect that
/// nobody notifies cannot refute the suspicion.
const MAX_SUSPICION: Duration = Duration::from_millis(2_000);

/// What is known of one member.
#[derive(Clone, Copy)]
pub(crate) struct MemberRecord {
    pub id: Option<Id>,
    pub state: State,
    pub since: Duration,
    pub evidence: &'static str,
}

/// A member whose state, address or start has changed.
pub(crate) struct MemberChange {
    pub id: Id,
    pub state: State,
}

/// Records of all members but this one.
pub(crate) struct MemberTable {
    records: BTreeMap<NameKey, MemberRecord>,
    /// When the oldest suspicion ends, if there is one.
    suspect_until: Option<Duration>,
}

fn evidence(state: State) -> &'static str {
    match state {
        State::Alive => "heard, by itself or by others",
        State::Suspect => "a probe went unanswered",
        State::Unheard | State::Down => "suspected in vain, or left",
    }
}

impl MemberTable {
    /// Members of the roster, none of which has been heard.
    pub(crate) fn unheard(members: impl Iterator<Item = NameKey>, now: Duration) -> MemberTable {
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

    /// Names of members that are present, in order.
    pub(crate) fn present(&self) -> impl Iterator<Item = NameKey> + '_ {
        let present = self
            .records
            .iter()
            .filter(|(_, record)| record.state.is_there());
        present.map(|(name, _)| *name)
    }

    /// The address that a member has announced.
    pub(crate) fn address(&self, name: NameKey) -> Option<SocketAddrV4> {
        let id = self.records.get(&name)?.id?;
        Some(id.address)
    }

    pub(crate) fn suspect_until(&self) -> Option<Duration> {
        self.suspect_until
    }

    /// Compares the failure detector's members with the records, and returns what has changed.
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

    /// Records a member's state, and returns since when it has been so.
    fn record(
        &mut self,
        now: Duration,
        id: Id,
        state: State,
        changes: &mut Vec<MemberChange>,
    ) -> Duration {
        let known = self
            .records
            .get(&id.name)
            .filter(|record| record.state == state && record.id == Some(id));
        if let Some(record) = known {
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

    /// Suspects that have not refuted the suspicion in time.
    pub(crate) fn expired_suspects(&self, now: Duration) -> Vec<Id> {
        self.records
            .values()
            .filter(|record| record.state == State::Suspect && now >= record.since + MAX_SUSPICION)
            .filter_map(|record| record.id)
            .collect()
    }

    /// Gives suspects more time.
    pub(crate) fn delay_suspicions(&mut self, by: Duration) {
        self.records
            .values_mut()
            .filter(|record| record.state == State::Suspect)
            .for_each(|record| record.since += by);
        self.suspect_until = self.suspect_until.map(|until| until + by);
    }
}
