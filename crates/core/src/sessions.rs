//! Client sessions: which are open, whose they are, and which requests each listens to.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_identity::Caller;
use bitternlatch_policy::interface::RequestId;

use crate::callers::EndReason;
use crate::types::SessionId;

#[derive(Default)]
struct OpenSession {
    requests: BTreeSet<RequestId>,
    caller: Option<Caller>,
}

#[derive(Default)]
pub(crate) struct Sessions {
    open: BTreeMap<SessionId, OpenSession>,
    /// Sessions that take nothing new and are closed once they are idle.
    ending: BTreeMap<SessionId, EndReason>,
}

impl Sessions {
    pub(crate) fn open(&mut self, session: SessionId) {
        self.open.entry(session).or_default();
    }

    /// Ends a session and gives the requests that it still listened to.
    pub(crate) fn close(&mut self, session: SessionId) -> BTreeSet<RequestId> {
        self.ending.remove(&session);
        self.open
            .remove(&session)
            .map(|o| o.requests)
            .unwrap_or_default()
    }

    pub(crate) fn is_open(&self, session: SessionId) -> bool {
        self.open.contains_key(&session)
    }

    pub(crate) fn caller(&self, session: SessionId) -> Option<&Caller> {
        self.open.get(&session)?.caller.as_ref()
    }

    /// Sets whose a session is; a proof that counts again takes back its ending.
    pub(crate) fn set_caller(&mut self, session: SessionId, caller: Caller) {
        if let Some(open) = self.open.get_mut(&session) {
            open.caller = Some(caller);
            self.ending.remove(&session);
        }
    }

    pub(crate) fn authenticated_by(&self, keys: &[String]) -> Vec<SessionId> {
        let keys: BTreeSet<&str> = keys.iter().map(String::as_str).collect();
        let by = |o: &OpenSession| {
            o.caller
                .as_ref()
                .is_some_and(|c| keys.contains(c.key_id.as_str()))
        };
        self.open
            .iter()
            .filter(|(_, o)| by(o))
            .map(|(id, _)| *id)
            .collect()
    }

    /// When the proof of each session's caller ends, Unix seconds.
    pub(crate) fn credential_expiries(&self) -> Vec<(SessionId, u64)> {
        self.open
            .iter()
            .filter_map(|(id, o)| Some((*id, o.caller.as_ref()?.ends)))
            .collect()
    }

    pub(crate) fn begin_ending(&mut self, session: SessionId, why: EndReason) {
        if self.open.contains_key(&session) {
            self.ending.entry(session).or_insert(why);
        }
    }

    pub(crate) fn end_reason(&self, session: SessionId) -> Option<EndReason> {
        self.ending.get(&session).copied()
    }

    pub(crate) fn idle_ending_sessions(&self) -> Vec<(SessionId, EndReason)> {
        self.ending
            .iter()
            .filter(|(s, _)| self.in_flight(**s) == 0)
            .map(|(s, e)| (*s, *e))
            .collect()
    }

    /// Requests in flight for a session.
    pub(crate) fn in_flight(&self, session: SessionId) -> usize {
        self.open.get(&session).map_or(0, |o| o.requests.len())
    }

    pub(crate) fn listen(&mut self, session: SessionId, request: RequestId) {
        if let Some(open) = self.open.get_mut(&session) {
            open.requests.insert(request);
        }
    }

    pub(crate) fn unlisten(&mut self, session: SessionId, request: RequestId) {
        if let Some(open) = self.open.get_mut(&session) {
            open.requests.remove(&request);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }
}
