//! Links to servers: one each, kept open, reconnected with growing pauses, with a bounded queue until it greets.
//!
//! The table says truthfully what became of a message: still queued (it never left), or told (it may have arrived).

use std::collections::{BTreeMap, VecDeque};

use bitternlatch_policy::interface::ServerId;

use crate::types::{LinkId, Micros};

/// First pause before a link is connected again, seconds; each failure doubles it. A starting value of ours.
const MIN_RECONNECT_S: f64 = 0.05;
/// Longest such pause, seconds.
const MAX_RECONNECT_S: f64 = 2.0;
/// Messages queued for a link that has not greeted; past it a send counts as not connected.
const MAX_QUEUED_MESSAGES: usize = 64;

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// Dialled; the socket is not up yet.
    Connecting,
    /// Up, but the server has not greeted.
    AwaitingGreeting,
    Open,
    /// Waits to be reconnected.
    BackingOff,
}

/// A message that waits for its link.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct QueuedMessage {
    pub attempt: String,
    pub text: String,
}

struct Link {
    epoch: u32,
    stage: Stage,
    failures: u32,
    queue: VecDeque<QueuedMessage>,
    /// To be closed once nothing is out over it.
    closing: bool,
}

/// What became of a message given to a link.
#[derive(Debug, PartialEq)]
pub(crate) enum EnqueueResult {
    /// To be told now over this link.
    SendNow(LinkId, QueuedMessage),
    Queued(LinkId),
    /// There is no way to the server now.
    NotConnected,
}

#[derive(Default)]
pub(crate) struct Links {
    links: BTreeMap<ServerId, Link>,
    /// Epochs go on over a server's removal and return, so that no two links share an id.
    epochs: BTreeMap<ServerId, u32>,
}

impl Links {
    /// Begins a link, or dials it again; the caller sends the dial.
    pub(crate) fn connect(&mut self, server: ServerId) -> LinkId {
        let epoch = self.epochs.entry(server).or_default();
        *epoch += 1;
        let epoch = *epoch;
        let failures = self.links.get(&server).map_or(0, |l| l.failures);
        let queue = self
            .links
            .remove(&server)
            .map(|l| l.queue)
            .unwrap_or_default();
        self.links.insert(
            server,
            Link {
                epoch,
                stage: Stage::Connecting,
                failures,
                queue,
                closing: false,
            },
        );
        LinkId { server, epoch }
    }

    fn current(&mut self, link: LinkId) -> Option<&mut Link> {
        self.links
            .get_mut(&link.server)
            .filter(|l| l.epoch == link.epoch)
    }

    /// The socket is up; false for a link that is no longer wanted.
    pub(crate) fn mark_up(&mut self, link: LinkId) -> bool {
        self.current(link)
            .map(|l| l.stage = Stage::AwaitingGreeting)
            .is_some()
    }

    /// The server has greeted: gives what was queued, in order.
    pub(crate) fn mark_greeted(&mut self, link: LinkId) -> Vec<QueuedMessage> {
        let Some(l) = self
            .current(link)
            .filter(|l| l.stage == Stage::AwaitingGreeting)
        else {
            return Vec::new();
        };
        (l.stage, l.failures) = (Stage::Open, 0);
        l.queue.drain(..).collect()
    }

    /// The link failed or ended: gives what was still queued and the pause before it may be dialled again, or `None`
    /// where it was not wanted any more.
    pub(crate) fn mark_down(
        &mut self,
        link: LinkId,
        jitter: f64,
    ) -> Option<(Vec<QueuedMessage>, f64)> {
        let l = self
            .current(link)
            .filter(|l| l.stage != Stage::BackingOff)?;
        let queued = l.queue.drain(..).collect();
        if l.closing {
            self.links.remove(&link.server);
            return Some((queued, f64::INFINITY));
        }
        let pause = (MIN_RECONNECT_S * f64::from(1u32 << l.failures.min(16))).min(MAX_RECONNECT_S);
        (l.stage, l.failures) = (Stage::BackingOff, l.failures.saturating_add(1));
        Some((queued, pause * (0.5 + 0.5 * jitter)))
    }

    /// Whether a link in this epoch has not yet greeted.
    pub(crate) fn is_opening(&self, link: LinkId) -> bool {
        let opening = |l: &&Link| {
            l.epoch == link.epoch && matches!(l.stage, Stage::Connecting | Stage::AwaitingGreeting)
        };
        self.links.get(&link.server).filter(opening).is_some()
    }

    pub(crate) fn is_backing_off(&self, link: LinkId) -> bool {
        self.links
            .get(&link.server)
            .is_some_and(|l| l.epoch == link.epoch && l.stage == Stage::BackingOff)
    }

    pub(crate) fn is_current(&self, link: LinkId) -> bool {
        self.links
            .get(&link.server)
            .is_some_and(|l| l.epoch == link.epoch)
    }

    /// The open link to a server.
    pub(crate) fn open_link(&self, server: ServerId) -> Option<LinkId> {
        let l = self.links.get(&server).filter(|l| l.stage == Stage::Open)?;
        Some(LinkId {
            server,
            epoch: l.epoch,
        })
    }

    pub(crate) fn enqueue(&mut self, server: ServerId, message: QueuedMessage) -> EnqueueResult {
        let Some(l) = self.links.get_mut(&server) else {
            return EnqueueResult::NotConnected;
        };
        let link = LinkId {
            server,
            epoch: l.epoch,
        };
        match l.stage {
            Stage::Open => EnqueueResult::SendNow(link, message),
            Stage::Connecting | Stage::AwaitingGreeting
                if l.queue.len() < MAX_QUEUED_MESSAGES && !l.closing =>
            {
                l.queue.push_back(message);
                EnqueueResult::Queued(link)
            }
            _ => EnqueueResult::NotConnected,
        }
    }

    /// Takes one attempt's message out of its queue; false if it is not there.
    pub(crate) fn remove_queued(&mut self, server: ServerId, attempt: &str) -> bool {
        let Some(l) = self.links.get_mut(&server) else {
            return false;
        };
        let before = l.queue.len();
        l.queue.retain(|q| q.attempt != attempt);
        l.queue.len() < before
    }

    /// Takes all that is still queued for a server.
    pub(crate) fn take_queue(&mut self, server: ServerId) -> Vec<QueuedMessage> {
        self.links
            .get_mut(&server)
            .map(|l| l.queue.drain(..).collect())
            .unwrap_or_default()
    }

    /// The link is not wanted any more; gives it where it is to be hung up at once.
    pub(crate) fn close_when_idle(&mut self, server: ServerId, busy: bool) -> Option<LinkId> {
        let l = self.links.get_mut(&server)?;
        l.closing = true;
        let link = LinkId {
            server,
            epoch: l.epoch,
        };
        match (&l.stage, busy) {
            (Stage::Open, true) => None,
            (Stage::BackingOff, _) => {
                self.links.remove(&server);
                None
            }
            _ => Some(link),
        }
    }

    /// Links that are to be left.
    pub(crate) fn closing(&self) -> Vec<ServerId> {
        self.links
            .iter()
            .filter(|(_, l)| l.closing)
            .map(|(id, _)| *id)
            .collect()
    }

    pub(crate) fn open_count(&self) -> usize {
        self.links
            .values()
            .filter(|l| l.stage == Stage::Open)
            .count()
    }
}

/// A time at which a paused link is reconnected.
pub(crate) fn reconnect_at(now: Micros, pause_s: f64) -> Option<Micros> {
    pause_s.is_finite().then(|| now.after(pause_s))
}

#[cfg(test)]
mod tests;
