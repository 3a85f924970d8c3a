//! Callers of sessions: access rights, checked for each request, and credentials that expire or are revoked.
//!
//! A session whose credential is no longer valid accepts no new requests. Its requests in flight get their final
//! answers, and then the session is closed with a reason code. Signatures are verified outside the machine, which
//! receives only authenticated callers, so that a record contains no token.

use bitternlatch_identity::rights::{AccessRequest, AccessRights, Grant};
use bitternlatch_identity::{Caller, Credential};
use bitternlatch_protocol::client::{self, BadRequest, Create};

use crate::machine::{log, Machine};
use crate::timers::Timer;
use crate::types::{Level, Micros, Output, SessionId};

/// WebSocket close code of a session whose caller's credential has expired or is revoked (in the range for private use,
/// RFC 6455, 7.4.2).
pub const CLOSE_CREDENTIAL_EXPIRED: u16 = 4401;

/// Why a session accepts no new requests and is about to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    TokenExpired,
    TokenKeyRevoked,
    CertificateExpired,
    CertificateRevoked,
}

impl EndReason {
    /// The reason as a code for the client.
    fn code(self) -> &'static str {
        match self {
            EndReason::TokenExpired => "token_expired",
            EndReason::TokenKeyRevoked => "token_key_withdrawn",
            EndReason::CertificateExpired => "certificate_expired",
            EndReason::CertificateRevoked => "certificate_revoked",
        }
    }
}

/// An error for a request or message that the session's caller may not make.
fn caller_error(
    status: u16,
    code: &'static str,
    message: String,
    param: Option<&str>,
) -> BadRequest {
    BadRequest {
        status,
        code,
        message,
        param: param.map(str::to_string),
    }
}

impl Machine {
    /// What the rights grant a session's caller for a request; `None` where the settings have no `identity` table, so
    /// that callers are not authenticated.
    ///
    /// # Errors
    /// Status 401 for a credential that is not valid, 403 for a right that the caller lacks.
    pub(crate) fn check_rights(
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
        if let Some(reason) = self.sessions.end_reason(session) {
            return Err(caller_error(
                401,
                reason.code(),
                "the proof of the caller no longer counts".into(),
                None,
            ));
        }
        let credential_time_s = self.credential_time_s(now);
        let Some(caller) = caller.filter(|c| credential_time_s < c.expires_at) else {
            return Err(caller_error(
                401,
                "token_expired",
                "the proof of the caller has ended".into(),
                None,
            ));
        };
        let wish = AccessRequest {
            class,
            model: &create.model,
            max_output_tokens: create.max_output_tokens,
            tenant: create.metadata.get(client::META_TENANT).map(String::as_str),
        };
        let Some(rights) = &self.rights else {
            return Err(caller_error(
                403,
                "caller_unknown",
                "no rights are in force".into(),
                None,
            ));
        };
        match rights.authorize(caller, &wish) {
            Ok(grant) => Ok(Some(grant)),
            Err(denial) => Err(caller_error(
                403,
                denial.code(),
                denial.to_string(),
                denial.param(),
            )),
        }
    }

    /// Puts new access rights in force; rights that do not parse leave the previous ones in force.
    pub(crate) fn on_rights(&mut self, text: &str, out: &mut Vec<Output>) {
        match AccessRights::parse(text) {
            Ok(rights) => {
                self.rights = Some(rights);
                log(out, Level::Info, "new rights are in force");
            }
            Err(error) => log(
                out,
                Level::Error,
                format!("rights are not taken, the last good ones stay: {error}"),
            ),
        }
    }

    /// Sets the caller of a new session, or its renewed credential, and a timer for when the credential expires.
    pub(crate) fn set_caller(&mut self, session: SessionId, caller: Caller) {
        let expires_at = self.credential_expiry_time(caller.expires_at);
        self.sessions.set_caller(session, caller);
        self.timers
            .set(expires_at, Timer::CredentialExpiry { session });
    }

    /// The Unix time, in seconds, that credentials are checked against: the machine's clock plus the credential clock
    /// offset.
    fn credential_time_s(&self, now: Micros) -> u64 {
        now.0.saturating_add_signed(self.credential_clock_offset_us) / 1_000_000
    }

    /// The time on the machine's clock at which a credential expires, given its expiry in Unix seconds.
    fn credential_expiry_time(&self, expiry_s: u64) -> Micros {
        Micros(
            expiry_s
                .saturating_mul(1_000_000)
                .saturating_sub_signed(self.credential_clock_offset_us),
        )
    }

    /// Handles a change of the offset between the clock that credentials are checked against and the machine's clock:
    /// all credentials expire sooner or later on the machine's clock, so their timers are set again.
    pub(crate) fn on_credential_clock_offset(
        &mut self,
        now: Micros,
        ahead_us: i64,
        out: &mut Vec<Output>,
    ) {
        let change_s = ahead_us.saturating_sub(self.credential_clock_offset_us) as f64 / 1e6;
        log(
            out,
            Level::Warn,
            format!("the time of proofs moves by {change_s:.1} s"),
        );
        self.credential_clock_offset_us = ahead_us;
        for (session, expiry_s) in self.sessions.credential_expiries() {
            self.timers.set(
                self.credential_expiry_time(expiry_s),
                Timer::CredentialExpiry { session },
            );
            self.on_credential_expiry(now, session);
        }
    }

    /// Handles a new credential that a client presented in its session. It must be the same caller's: a session never
    /// changes its caller.
    pub(crate) fn on_session_renewed(
        &mut self,
        session: SessionId,
        caller: Caller,
        out: &mut Vec<Output>,
    ) {
        let Some(current) = self.sessions.caller(session) else {
            return;
        };
        if current.subject != caller.subject {
            let message = "the token is another caller's; a session stays its caller's".to_string();
            let error = caller_error(403, "subject_mismatch", message, Some("token"));
            return out.push(Output::SendToClient {
                session,
                text: client::error(&error, None, None),
            });
        }
        let expiry_s = caller.expires_at;
        self.set_caller(session, caller);
        out.push(Output::SendToClient {
            session,
            text: client::renewed(expiry_s),
        });
    }

    /// Reports to a client that its new credential was rejected; the session keeps its previous one.
    pub(crate) fn on_renewal_rejected(
        &self,
        session: SessionId,
        code: &str,
        out: &mut Vec<Output>,
    ) {
        if self.sessions.is_open(session) {
            let error = caller_error(
                401,
                "token_refused",
                format!("the token is not taken: {code}"),
                Some("token"),
            );
            out.push(Output::SendToClient {
                session,
                text: client::error(&error, None, None),
            });
        }
    }

    /// Ends the sessions that were authenticated by signing keys or certificates that are now revoked.
    pub(crate) fn on_credentials_revoked(&mut self, ids: &[String], out: &mut Vec<Output>) {
        let affected = self.sessions.authenticated_by(ids);
        if !affected.is_empty() {
            log(
                out,
                Level::Warn,
                format!("{} sessions end: their proof is withdrawn", affected.len()),
            );
        }
        for session in affected {
            let by_certificate = self
                .sessions
                .caller(session)
                .is_some_and(|c| c.credential == Credential::Certificate);
            let reason = if by_certificate {
                EndReason::CertificateRevoked
            } else {
                EndReason::TokenKeyRevoked
            };
            self.sessions.begin_ending(session, reason);
        }
    }

    /// Ends a session if its caller's credential has expired by now.
    pub(crate) fn on_credential_expiry(&mut self, now: Micros, session: SessionId) {
        let credential_time_s = self.credential_time_s(now);
        let reason = match self.sessions.caller(session) {
            Some(c)
                if c.expires_at <= credential_time_s && c.credential == Credential::Certificate =>
            {
                EndReason::CertificateExpired
            }
            Some(c) if c.expires_at <= credential_time_s => EndReason::TokenExpired,
            _ => return,
        };
        self.sessions.begin_ending(session, reason);
    }

    /// Closes the sessions that are ending and have no requests in flight.
    pub(crate) fn close_ending_sessions(&mut self, out: &mut Vec<Output>) {
        for (session, reason) in self.sessions.idle_ending_sessions() {
            self.sessions.close(session);
            out.push(Output::CloseSession {
                session,
                code: CLOSE_CREDENTIAL_EXPIRED,
                reason: reason.code().to_string(),
            });
        }
    }
}
