//! Who in this process hears what peers say on each topic.

use std::collections::BTreeMap;
use std::sync::Mutex;

use bitternlatch_membership::Topic;
use bitternlatch_net::lock;
use bitternlatch_quota_lease::{Peers, Process};

/// What a machine beside the runtime hears.
#[derive(Clone, Debug)]
pub(crate) enum Heard {
    Said { from: Process, said: Vec<u8> },
    Frame { from: Process, said: Vec<u8> },
    Peers(Peers),
}

type Route = Box<dyn Fn(Heard) + Send>;

/// The machines of this process, by topic.
#[derive(Default)]
pub(crate) struct Routes(Mutex<BTreeMap<Topic, Route>>);

impl Routes {
    pub(crate) fn add(&self, topic: Topic, route: Route) {
        lock(&self.0).insert(topic, route);
    }

    /// To one; where nobody listens on its topic it is dropped.
    pub(crate) fn tell(&self, topic: Topic, heard: Heard) {
        if let Some(route) = lock(&self.0).get(&topic) {
            route(heard);
        }
    }

    pub(crate) fn tell_all(&self, peers: &Peers) {
        lock(&self.0)
            .values()
            .for_each(|route| route(Heard::Peers(peers.clone())));
    }
}
