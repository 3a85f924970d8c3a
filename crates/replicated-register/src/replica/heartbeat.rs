//! Reports of the own incarnation and its number of changes, for other members to remember.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use super::Replica;
use crate::message::Message;
use crate::recovery::RecoveryState;
use crate::Output;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// After so many the report is repeated to all, as frames are lost, and what others reported is stored.
const HEARTBEATS_PER_REPEAT: u32 = 10;
/// After this the lost registers are taken to have ended: the longest time that a workflow lasts.
const LOSS_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// What a member was told last.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Report {
    incarnation: u64,
    count: u64,
}

/// When the next heartbeat is due, and what was reported to whom.
pub(super) struct Heartbeats {
    next_at: Duration,
    since_repeat: u32,
    reported: BTreeMap<NameKey, Report>,
}

impl Heartbeats {
    pub(super) fn new(now: Duration) -> Heartbeats {
        Heartbeats {
            next_at: now,
            since_repeat: 0,
            reported: BTreeMap::new(),
        }
    }

    pub(super) fn next_at(&self) -> Duration {
        self.next_at
    }

    /// Begins a heartbeat where one is due; returns whether it is.
    fn begin(&mut self, now: Duration) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + HEARTBEAT_INTERVAL;
            self.since_repeat += 1;
        }
        is_due
    }

    /// Makes the next reports go to all members where a repeat is due; returns whether it is.
    fn begin_repeat(&mut self) -> bool {
        let is_due = self.since_repeat >= HEARTBEATS_PER_REPEAT;
        if is_due {
            self.since_repeat = 0;
            self.reported.clear();
        }
        is_due
    }

    /// Notes a report; returns whether the member was told another one last, or none.
    fn note(&mut self, name: NameKey, report: Report) -> bool {
        self.reported.insert(name, report) != Some(report)
    }
}

impl Replica {
    pub(super) fn run_due_heartbeat(&mut self, now: Duration, out: &mut Vec<Output>) {
        if !self.heartbeats.begin(now) {
            return;
        }
        if self.heartbeats.begin_repeat() && self.settings.durable {
            self.store_metadata(vec![], out);
        }
        self.end_loss(now);
        self.send_heartbeats(out);
    }

    /// Lets lost registers be used again once nothing of what they held matters.
    fn end_loss(&mut self, now: Duration) {
        let is_over = |since: Duration| now >= since + LOSS_RETENTION;
        if self.lost_since.is_some_and(is_over) {
            self.lost_since = None;
            self.recovery
                .iter_mut()
                .for_each(RecoveryState::assume_complete);
        }
    }

    fn send_heartbeats(&mut self, out: &mut Vec<Output>) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        let report = Report {
            incarnation: recovery.incarnation,
            count: self.persistence.durable_changes(),
        };
        let own = self.own.name;
        let others: Vec<NameKey> = self.roster.iter().copied().filter(|n| *n != own).collect();
        for name in others {
            if self.heartbeats.note(name, report) {
                let message = Message::Heartbeat {
                    incarnation: report.incarnation,
                    count: report.count,
                };
                self.send(name, message, out);
            }
        }
    }
}
