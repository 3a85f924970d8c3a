//! Callers of sessions: rights looked at for each request, proofs that end, keys that are withdrawn.
//!
//! A session whose proof no longer counts takes nothing new; what runs gets its final answer, and then the session is
//! closed with a code that says why. Checking signatures is not done here: the machine is told of callers whose proof
//! was checked, so that a record holds no token.

use bitternlatch_identity::rights::{Grant, Rights, Wish};
use bitternlatch_identity::{Caller, Proof};
use bitternlatch_protocol::client::{self, BadRequest, Create};

use crate::machine::{log, Machine};
use crate::timers::Timer;
use crate::types::{Level, Micros, Output, SessionId};

/// Close code of a session whose proof of its caller has ended (private use, RFC 6455, 7.4.2).
pub const CLOSE_CREDENTIAL_EXPIRED: u16 = 4401;

/// Why a session takes nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    TokenExpired,
    TokenKeyRevoked,
    CertificateExpired,
    CertificateRevoked,
}

impl Ending {
    fn code(self) -> &'static str {
        match self {
            Ending::TokenExpired => "token_expired",
            Ending::TokenKeyRevoked => "token_key_withdrawn",
            Ending::CertificateExpired => "certificate_expired",
            Ending::CertificateRevoked => "certificate_revoked",
        }
    }
}

fn refused(status: u16, code: &'static str, message: String, param: Option<&str>) -> BadRequest {
    BadRequest {
        status,
        code,
        message,
        param: param.map(str::to_string),
    }
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
        if let Some(ending) = self.sessions.ending(session) {
            return Err(refused(
                401,
                ending.code(),
                "the proof of the caller no longer counts".into(),
                None,
            ));
        }
        let credential_time_s = self.credential_time_s(now);
        let Some(caller) = caller.filter(|c| credential_time_s < c.ends) else {
            return Err(refused(
                401,
                "token_expired",
                "the proof of the caller has ended".into(),
                None,
            ));
        };
        let wish = Wish {
            class,
            model: &create.model,
            max_output_tokens: create.max_output_tokens,
            tenant: create.metadata.get(client::META_TENANT).map(String::as_str),
        };
        let Some(rights) = &self.rights else {
            return Err(refused(
                403,
                "caller_unknown",
                "no rights are in force".into(),
                None,
            ));
        };
        match rights.may(caller, &wish) {
            Ok(grant) => Ok(Some(grant)),
            Err(denial) => Err(refused(
                403,
                denial.code(),
                denial.to_string(),
                denial.param(),
            )),
        }
    }

    pub(crate) fn on_rights(&mut self, text: &str, out: &mut Vec<Output>) {
        match Rights::parse(text) {
            Ok(rights) => {
                self.rights = Some(rights);
                log(out, Level::Info, "new rights are in force");
            }
            Err(why) => log(
                out,
                Level::Error,
                format!("rights are not taken, the last good ones stay: {why}"),
            ),
        }
    }

    /// A session's caller is known, or has renewed its proof.
    pub(crate) fn set_caller(&mut self, session: SessionId, caller: Caller) {
        let ends = self.clock_at(caller.ends);
        self.sessions.set_caller(session, caller);
        self.timers.set(ends, Timer::CredentialExpiry { session });
    }

    /// Unix seconds by which proofs are judged.
    fn credential_time_s(&self, now: Micros) -> u64 {
        now.0.saturating_add_signed(self.credential_clock_offset_us) / 1_000_000
    }

    /// When the clock will show a time at which a proof ends.
    fn clock_at(&self, ends_s: u64) -> Micros {
        Micros(
            ends_s
                .saturating_mul(1_000_000)
                .saturating_sub_signed(self.credential_clock_offset_us),
        )
    }

    /// The judged time has moved against the clock: ends of proofs come sooner or later than they were to.
    pub(crate) fn on_credential_clock_offset(
        &mut self,
        now: Micros,
        ahead_us: i64,
        out: &mut Vec<Output>,
    ) {
        let by_s = ahead_us.saturating_sub(self.credential_clock_offset_us) as f64 / 1e6;
        log(
            out,
            Level::Warn,
            format!("the time of proofs moves by {by_s:.1} s"),
        );
        self.credential_clock_offset_us = ahead_us;
        for (session, ends_s) in self.sessions.ends() {
            self.timers
                .set(self.clock_at(ends_s), Timer::CredentialExpiry { session });
            self.on_credential_expiry(now, session);
        }
    }

    pub(crate) fn on_renewed(&mut self, session: SessionId, caller: Caller, out: &mut Vec<Output>) {
        let Some(before) = self.sessions.caller(session) else {
            return;
        };
        if before.subject != caller.subject {
            let why = "the token is another caller's; a session stays its caller's".to_string();
            let bad = refused(403, "subject_mismatch", why, Some("token"));
            return out.push(Output::SendToClient {
                session,
                text: client::error(&bad, None, None),
            });
        }
        let ends = caller.ends;
        self.set_caller(session, caller);
        out.push(Output::SendToClient {
            session,
            text: client::renewed(ends),
        });
    }

    pub(crate) fn on_renewal_rejected(
        &self,
        session: SessionId,
        code: &str,
        out: &mut Vec<Output>,
    ) {
        if self.sessions.is_open(session) {
            let bad = refused(
                401,
                "token_refused",
                format!("the token is not taken: {code}"),
                Some("token"),
            );
            out.push(Output::SendToClient {
                session,
                text: client::error(&bad, None, None),
            });
        }
    }

    /// Keys that counted count no more: sessions proven by them end.
    pub(crate) fn on_credentials_revoked(&mut self, ids: &[String], out: &mut Vec<Output>) {
        let hit = self.sessions.authenticated_by(ids);
        if !hit.is_empty() {
            log(
                out,
                Level::Warn,
                format!("{} sessions end: their proof is withdrawn", hit.len()),
            );
        }
        for session in hit {
            let by_certificate = self
                .sessions
                .caller(session)
                .is_some_and(|c| c.proof == Proof::Certificate);
            let why = if by_certificate {
                Ending::CertificateRevoked
            } else {
                Ending::TokenKeyRevoked
            };
            self.sessions.end(session, why);
        }
    }

    pub(crate) fn on_credential_expiry(&mut self, now: Micros, session: SessionId) {
        let credential_time_s = self.credential_time_s(now);
        let why = match self.sessions.caller(session) {
            Some(c) if c.ends <= credential_time_s && c.proof == Proof::Certificate => {
                Ending::CertificateExpired
            }
            Some(c) if c.ends <= credential_time_s => Ending::TokenExpired,
            _ => return,
        };
        self.sessions.end(session, why);
    }

    /// Closes ending sessions that have nothing in flight any more.
    pub(crate) fn close_ending_sessions(&mut self, out: &mut Vec<Output>) {
        for (session, ending) in self.sessions.ending_and_idle() {
            self.sessions.close(session);
            out.push(Output::CloseSession {
                session,
                code: CLOSE_CREDENTIAL_EXPIRED,
                reason: ending.code().to_string(),
            });
        }
    }
}
