//! Routes messages from peers to the services of this process by topic.

use std::collections::BTreeMap;
use std::sync::Mutex;

use bitternlatch_membership::Topic;
use bitternlatch_net::lock;
use bitternlatch_quota_lease::{Peers, Process};

/// A message for a service.
#[derive(Clone, Debug)]
pub(crate) enum Incoming {
    Datagram { from: Process, payload: Vec<u8> },
    Frame { from: Process, payload: Vec<u8> },
    Peers(Peers),
}

type Route = Box<dyn Fn(Incoming) + Send>;

/// The receivers of the services of this process, by topic.
#[derive(Default)]
pub(crate) struct Routes(Mutex<BTreeMap<Topic, Route>>);

impl Routes {
    pub(crate) fn add(&self, topic: Topic, route: Route) {
        lock(&self.0).insert(topic, route);
    }

    /// Passes a message to the service of its topic. A message of a topic without a service is dropped.
    pub(crate) fn send(&self, topic: Topic, message: Incoming) {
        if let Some(route) = lock(&self.0).get(&topic) {
            route(message);
        }
    }

    pub(crate) fn send_peers_to_all(&self, peers: &Peers) {
        lock(&self.0)
            .values()
            .for_each(|route| route(Incoming::Peers(peers.clone())));
    }
}
