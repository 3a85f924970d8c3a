//! Heartbeats: reports of this replica's incarnation and number of changes, which the other members remember in order to detect
//! that the replica has lost state.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use super::Replica;
use crate::message::Message;
use crate::recovery::RecoveryState;
use crate::Output;

/// Interval between heartbeats. A heartbeat sends a report only to members that received a different one last.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of heartbeats after which the report is repeated to all members, as frames may be lost, and the metadata with the reports
/// of other members are stored on disk.
const HEARTBEATS_PER_REPEAT: u32 = 10;
/// Time after which lost registers are treated as obsolete and may be used again. It is the maximum duration of a workflow.
const LOSS_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// A report of this replica's incarnation and number of durable changes.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Report {
    incarnation: u64,
    count: u64,
}

/// Schedule of heartbeats and the last report sent to each member.
pub(super) struct Heartbeats {
    next_at: Duration,
    /// Number of heartbeats since the report was last repeated to all members.
    since_repeat: u32,
    /// Report that was last sent to each member.
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

    /// Time at which the next heartbeat is due.
    pub(super) fn next_at(&self) -> Duration {
        self.next_at
    }

    /// Begins a heartbeat if one is due, and returns whether it is.
    fn begin(&mut self, now: Duration) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + HEARTBEAT_INTERVAL;
            self.since_repeat += 1;
        }
        is_due
    }

    /// If a repeat is due, forgets which reports were sent, so that the next one goes to all members. Returns whether it is due.
    fn begin_repeat(&mut self) -> bool {
        let is_due = self.since_repeat >= HEARTBEATS_PER_REPEAT;
        if is_due {
            self.since_repeat = 0;
            self.reported.clear();
        }
        is_due
    }

    /// Records that a report is sent to a member. Returns whether it differs from the last one that was sent to it, if any.
    fn record(&mut self, name: NameKey, report: Report) -> bool {
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
        self.expire_loss(now);
        self.send_heartbeats(out);
    }

    /// Makes lost registers usable again after [`LOSS_RETENTION`], when the workflows that they held are obsolete.
    fn expire_loss(&mut self, now: Duration) {
        let is_expired = |since: Duration| now >= since + LOSS_RETENTION;
        if self.lost_since.is_some_and(is_expired) {
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
            if self.heartbeats.record(name, report) {
                let message = Message::Heartbeat {
                    incarnation: report.incarnation,
                    count: report.count,
                };
                self.send(name, message, out);
            }
        }
    }
}
