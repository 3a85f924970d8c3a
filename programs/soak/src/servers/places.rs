//! What a server has room for: requests at work, and requests that wait.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use super::Server;

/// One of a server's count, until it is dropped.
pub(super) struct Place {
    server: Arc<Server>,
    count: fn(&Server) -> &AtomicUsize,
}

impl Place {
    /// Takes one more.
    pub(super) fn take(server: &Arc<Server>, count: fn(&Server) -> &AtomicUsize) -> Place {
        count(server).fetch_add(1, Ordering::SeqCst);
        Place {
            server: Arc::clone(server),
            count,
        }
    }

    /// Takes one where fewer than so many are taken.
    pub(super) fn take_below(
        most: usize,
        server: &Arc<Server>,
        count: fn(&Server) -> &AtomicUsize,
    ) -> Option<Place> {
        let is_free = |taken: usize| (taken < most).then_some(taken + 1);
        let taken = count(server).fetch_update(Ordering::SeqCst, Ordering::SeqCst, is_free);
        taken.ok().map(|_| Place {
            server: Arc::clone(server),
            count,
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        (self.count)(&self.server).fetch_sub(1, Ordering::SeqCst);
    }
}
