//! Callers of sessions: rights looked at for each request, proofs that end, keys that are withdrawn.
//!
//! A session whose proof no longer counts takes nothing new; what runs gets its final answer, and then the session is
//! closed with a code that says why. Checking signatures is not done here: the machine is told of callers whose proof
//! was checked, so that a record holds no token.

use bitternlatch_identity::rights::{Grant, Rights, Wish};
use bitternlatch_identity::Caller;
use bitternlatch_protocol::client::{self, BadRequest, Create};

use crate::machine::{log, Machine};
use crate::timers::Timer;
use crate::types::{Level, Micros, Output, SessionId};

/// Close code of a session whose proof of its caller has ended (private use, RFC 6455, 7.4.2).
pub const CLOSE_UNPROVEN: u16 = 4401;

/// Why a session takes nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    TokenEnded,
    KeyWithdrawn,
}

impl Ending {
    fn code(self) -> &'static str {
        match self {
            Ending::TokenEnded => "token_expired",
            Ending::KeyWithdrawn => "token_key_withdrawn",
        }
    }
}

fn refused(status: u16, code: &'static str, message: String, param: Option<&str>) -> BadRequest {
    BadRequest { status, code, message, param: param.map(str::to_string) }
}

impl Machine {
    /// What a session's caller is granted for a request; `None` where the installation knows no callers.
    pub(crate) fn granted(
        &self,
        now: Micros,
        session: SessionId,
        create: &Create,
        class: &str,
    ) -> Result<Option<Grant>, BadRequest> {
        if self.settings.identity.is_none() {
            return Ok(None);
        }
        let caller = self.sessions.caller(session);
        let Some(caller) = caller.filter(|c| now.0 / 1_000_000 < c.ends) else {
            return Err(refused(401, "token_expired", "the proof of the caller has ended".into(), None));
        };
        if let Some(ending) = self.sessions.ending(session) {
            return Err(refused(401, ending.code(), "the proof of the caller no longer counts".into(), None));
        }
        let wish = Wish {
            class,
            model: &create.model,
            max_output_tokens: create.max_output_tokens,
            tenant: create.metadata.get(client::META_TENANT).map(String::as_str),
        };
        let Some(rights) = &self.rights else {
            return Err(refused(403, "caller_unknown", "no rights are in force".into(), None));
        };
        match rights.may(caller, &wish) {
            Ok(grant) => Ok(Some(grant)),
            Err(denial) => Err(refused(403, denial.code(), denial.to_string(), denial.param())),
        }
    }

    pub(crate) fn on_rights(&mut self, text: &str, out: &mut Vec<Output>) {
        match Rights::parse(text) {
            Ok(rights) => {
                self.rights = Some(rights);
                log(out, Level::Info, "new rights are in force");
            }
            Err(why) => {
                log(out, Level::Error, format!("rights are not taken, the last good ones stay: {why}"))
            }
        }
    }

    /// A session's caller is known, or has renewed its proof.
    pub(crate) fn set_caller(&mut self, session: SessionId, caller: Caller) {
        let ends = Micros(caller.ends.saturating_mul(1_000_000));
        self.sessions.set_caller(session, caller);
        self.timers.set(ends, Timer::Caller { session });
    }

    pub(crate) fn on_renewed(&mut self, session: SessionId, caller: Caller, out: &mut Vec<Output>) {
        let Some(before) = self.sessions.caller(session) else { return };
        if before.subject != caller.subject {
            let why = "the token is another caller's; a session stays its caller's".to_string();
            let bad = refused(403, "subject_mismatch", why, Some("token"));
            return out.push(Output::Say { session, text: client::error(&bad, None, None) });
        }
        let ends = caller.ends;
        self.set_caller(session, caller);
        out.push(Output::Say { session, text: client::renewed(ends) });
    }

    pub(crate) fn on_renewal_refused(&self, session: SessionId, code: &str, out: &mut Vec<Output>) {
        if self.sessions.is_open(session) {
            let bad = refused(401, "token_refused", format!("the token is not taken: {code}"), Some("token"));
            out.push(Output::Say { session, text: client::error(&bad, None, None) });
        }
    }

    /// Keys that counted count no more: sessions proven by them end.
    pub(crate) fn on_keys_withdrawn(&mut self, ids: &[String], out: &mut Vec<Output>) {
        let hit = self.sessions.proven_by(ids);
        if !hit.is_empty() {
            log(out, Level::Warn, format!("{} sessions end: their key is withdrawn", hit.len()));
        }
        hit.into_iter().for_each(|session| self.sessions.end(session, Ending::KeyWithdrawn));
    }

    pub(crate) fn on_caller_time(&mut self, now: Micros, session: SessionId) {
        if self.sessions.caller(session).is_some_and(|c| c.ends <= now.0 / 1_000_000) {
            self.sessions.end(session, Ending::TokenEnded);
        }
    }

    /// Closes ending sessions that have nothing in hand any more.
    pub(crate) fn close_ended(&mut self, out: &mut Vec<Output>) {
        for (session, ending) in self.sessions.ended_and_idle() {
            self.sessions.close(session);
            out.push(Output::CloseSession {
                session,
                code: CLOSE_UNPROVEN,
                reason: ending.code().to_string(),
            });
        }
    }
}
