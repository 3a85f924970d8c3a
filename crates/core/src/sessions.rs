//! Open client sessions, their callers, and the requests whose events each receives.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_identity::Caller;
use bitternlatch_policy::interface::RequestId;

use crate::callers::EndReason;
use crate::types::SessionId;

#[derive(Default)]
struct OpenSession {
    /// Requests that the session listens to and that are not answered.
    requests: BTreeSet<RequestId>,
    /// The authenticated caller; `None` where callers are not authenticated.
    caller: Option<Caller>,
}

#[derive(Default)]
pub(crate) struct Sessions {
    open: BTreeMap<SessionId, OpenSession>,
    /// Sessions that accept no new requests and are closed once none of theirs are in flight.
    ending: BTreeMap<SessionId, EndReason>,
}

impl Sessions {
    pub(crate) fn open(&mut self, session: SessionId) {
        self.open.entry(session).or_default();
    }

    /// Removes a session and returns the requests that it still listened to.
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

    /// Sets the caller of an open session. A session that was ending stays open, as its renewed credential is valid.
    pub(crate) fn set_caller(&mut self, session: SessionId, caller: Caller) {
        if let Some(open) = self.open.get_mut(&session) {
            open.caller = Some(caller);
            self.ending.remove(&session);
        }
    }

    /// The sessions whose callers were authenticated by one of these signing keys or certificates.
    pub(crate) fn authenticated_by(&self, key_ids: &[String]) -> Vec<SessionId> {
        let key_ids: BTreeSet<&str> = key_ids.iter().map(String::as_str).collect();
        let is_authenticated_by = |o: &OpenSession| {
            o.caller
                .as_ref()
                .is_some_and(|c| key_ids.contains(c.key_id.as_str()))
        };
        self.open
            .iter()
            .filter(|(_, o)| is_authenticated_by(o))
            .map(|(id, _)| *id)
            .collect()
    }

    /// When the credential of each session's caller expires, Unix seconds.
    pub(crate) fn credential_expiries(&self) -> Vec<(SessionId, u64)> {
        self.open
            .iter()
            .filter_map(|(id, o)| Some((*id, o.caller.as_ref()?.expires_at)))
            .collect()
    }

    /// Marks an open session as ending; a session that is ending already keeps its first reason.
    pub(crate) fn begin_ending(&mut self, session: SessionId, reason: EndReason) {
        if self.open.contains_key(&session) {
            self.ending.entry(session).or_insert(reason);
        }
    }

    /// Why a session is ending; `None` where it is not.
    pub(crate) fn end_reason(&self, session: SessionId) -> Option<EndReason> {
        self.ending.get(&session).copied()
    }

    /// The ending sessions that have no requests in flight, each with its reason.
    pub(crate) fn idle_ending_sessions(&self) -> Vec<(SessionId, EndReason)> {
        self.ending
            .iter()
            .filter(|(s, _)| self.in_flight(**s) == 0)
            .map(|(s, e)| (*s, *e))
            .collect()
    }

    /// Number of requests in flight that a session listens to.
    pub(crate) fn in_flight(&self, session: SessionId) -> usize {
        self.open.get(&session).map_or(0, |o| o.requests.len())
    }

    /// Adds a request to those that a session listens to.
    pub(crate) fn listen(&mut self, session: SessionId, request: RequestId) {
        if let Some(open) = self.open.get_mut(&session) {
            open.requests.insert(request);
        }
    }

    /// Removes a request from those that a session listens to.
    pub(crate) fn unlisten(&mut self, session: SessionId, request: RequestId) {
        if let Some(open) = self.open.get_mut(&session) {
            open.requests.remove(&request);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }
}
