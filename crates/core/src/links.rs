//! Links to model servers: one persistent connection per server, reconnected with exponential backoff, with a bounded
//! message queue until the server's hello message is received.
//!
//! The table distinguishes messages that are still queued, which were never sent, from messages that were sent and may
//! have arrived.

use std::collections::{BTreeMap, VecDeque};

use bitternlatch_policy::interface::ServerId;

use crate::types::{LinkId, Micros};

/// Delay before the first reconnect of a link, seconds; each further failure doubles it.
const MIN_RECONNECT_S: f64 = 0.05;
/// Longest delay before a link is reconnected, seconds.
const MAX_RECONNECT_S: f64 = 2.0;
/// Messages queued for a link whose server has not sent its hello message; a message beyond this limit is handled as if
/// the server were not connected.
const MAX_QUEUED_MESSAGES: usize = 64;

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// The connection was requested and is not established yet.
    Connecting,
    /// The connection is established, but the server's hello message has not been received.
    AwaitingHello,
    Open,
    /// Waits for the reconnect delay to pass.
    BackingOff,
}

/// A message for a link, with the wire id of the attempt it belongs to.
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
    /// The link is closed once no attempt is in flight over it.
    closing: bool,
}

/// The result of passing a message to a server's link.
#[derive(Debug, PartialEq)]
pub(crate) enum EnqueueResult {
    /// The caller has to send the message now over this link.
    SendNow(LinkId, QueuedMessage),
    /// The message waits until the server's hello message is received.
    Queued(LinkId),
    /// The server has no usable connection, or the link's queue is full.
    NotConnected,
}

#[derive(Default)]
pub(crate) struct Links {
    links: BTreeMap<ServerId, Link>,
    /// The last epoch used for each server. It is kept when a server is removed, so that no two links share an id.
    epochs: BTreeMap<ServerId, u32>,
}

impl Links {
    /// Starts a link to a server or reconnects it, with the next epoch. The caller emits the connect output.
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

    /// Marks a link as connected. Returns `false` if the link is obsolete and has to be closed.
    pub(crate) fn mark_up(&mut self, link: LinkId) -> bool {
        self.current(link)
            .map(|l| l.stage = Stage::AwaitingHello)
            .is_some()
    }

    /// Marks a link as open after its server's hello message was received. Returns the queued messages, in order.
    pub(crate) fn mark_open(&mut self, link: LinkId) -> Vec<QueuedMessage> {
        let Some(l) = self
            .current(link)
            .filter(|l| l.stage == Stage::AwaitingHello)
        else {
            return Vec::new();
        };
        (l.stage, l.failures) = (Stage::Open, 0);
        l.queue.drain(..).collect()
    }

    /// Marks a link as failed or closed. Returns the messages that were still queued and the delay before it is
    /// reconnected, seconds, or infinity if it is not to be reconnected; `None` if the link is obsolete. `jitter` is a
    /// random number from 0 to 1 that spreads the delay.
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
        let delay_s =
            (MIN_RECONNECT_S * f64::from(1u32 << l.failures.min(16))).min(MAX_RECONNECT_S);
        (l.stage, l.failures) = (Stage::BackingOff, l.failures.saturating_add(1));
        Some((queued, delay_s * (0.5 + 0.5 * jitter)))
    }

    /// Whether a link is its server's current one, is being established and has not received the hello message.
    pub(crate) fn is_opening(&self, link: LinkId) -> bool {
        let opening = |l: &&Link| {
            l.epoch == link.epoch && matches!(l.stage, Stage::Connecting | Stage::AwaitingHello)
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

    /// The link to a server, if it is open.
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
            Stage::Connecting | Stage::AwaitingHello
                if l.queue.len() < MAX_QUEUED_MESSAGES && !l.closing =>
            {
                l.queue.push_back(message);
                EnqueueResult::Queued(link)
            }
            _ => EnqueueResult::NotConnected,
        }
    }

    /// Removes one attempt's message from its server's queue; returns `false` if it is not queued.
    pub(crate) fn remove_queued(&mut self, server: ServerId, attempt: &str) -> bool {
        let Some(l) = self.links.get_mut(&server) else {
            return false;
        };
        let before = l.queue.len();
        l.queue.retain(|q| q.attempt != attempt);
        l.queue.len() < before
    }

    /// Removes and returns all messages that are queued for a server.
    pub(crate) fn take_queue(&mut self, server: ServerId) -> Vec<QueuedMessage> {
        self.links
            .get_mut(&server)
            .map(|l| l.queue.drain(..).collect())
            .unwrap_or_default()
    }

    /// Marks a server's link for closing. Returns the link if it has to be closed now, `None` if it is busy and closes
    /// later or has no connection.
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

    /// Servers whose links are marked for closing.
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

/// The time at which a link with this reconnect delay (seconds) is reconnected; `None` for an infinite delay, which
/// means never.
pub(crate) fn reconnect_at(now: Micros, delay_s: f64) -> Option<Micros> {
    delay_s.is_finite().then(|| now.after(delay_s))
}

#[cfg(test)]
mod tests;
