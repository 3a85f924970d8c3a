//! Client sessions: which are open and which requests each listens to.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_policy::interface::RequestId;

use crate::types::SessionId;

#[derive(Default)]
pub(crate) struct Sessions {
    open: BTreeMap<SessionId, BTreeSet<RequestId>>,
}

impl Sessions {
    pub(crate) fn open(&mut self, session: SessionId) {
        self.open.entry(session).or_default();
    }

    /// Ends a session and gives the requests that it still listened to.
    pub(crate) fn close(&mut self, session: SessionId) -> BTreeSet<RequestId> {
        self.open.remove(&session).unwrap_or_default()
    }

    pub(crate) fn is_open(&self, session: SessionId) -> bool {
        self.open.contains_key(&session)
    }

    /// Requests in hand for a session.
    pub(crate) fn in_hand(&self, session: SessionId) -> usize {
        self.open.get(&session).map_or(0, BTreeSet::len)
    }

    pub(crate) fn listen(&mut self, session: SessionId, request: RequestId) {
        if let Some(set) = self.open.get_mut(&session) {
            set.insert(request);
        }
    }

    pub(crate) fn unlisten(&mut self, session: SessionId, request: RequestId) {
        if let Some(set) = self.open.get_mut(&session) {
            set.remove(&request);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn ids(&self) -> Vec<SessionId> {
        self.open.keys().copied().collect()
    }
}
