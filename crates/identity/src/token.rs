//! One token checked: bounds first, then form, key, signature, and claims against a given clock.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use jsonwebtoken::{Algorithm, Validation};
use serde::Deserialize;

use crate::keys::KeySet;
use crate::{strict, Caller, Proof, CERTIFICATE_SUBJECT};

/// Longest token, bytes; checked before anything is parsed.
pub const TOKEN_BYTES: usize = 8 * 1024;
/// Groups in one token, and the longest text claim, bytes.
pub const GROUPS_MOST: usize = 64;
pub const CLAIM_BYTES: usize = 256;

/// What tokens must say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRules {
    pub issuer: String,
    pub audience: String,
    /// Seconds between clocks that are allowed.
    pub skew_s: u64,
}

/// Why a token is refused. The text is for logs and clients and holds nothing of the token but its key's id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("the token is longer than {TOKEN_BYTES} bytes")]
    TooLong,
    #[error("the token is malformed: {0}")]
    Malformed(&'static str),
    #[error("the token's algorithm is not that of its key")]
    Algorithm,
    #[error("the token names a key that is not known: '{0}'")]
    UnknownKey(String),
    #[error("the token's key is withdrawn or does not count yet: '{0}'")]
    KeyWithdrawn(String),
    #[error("the token's signature is wrong")]
    Signature,
    #[error("the token is of another issuer")]
    Issuer,
    #[error("the token is for another audience")]
    Audience,
    #[error("the token has ended")]
    Expired,
    #[error("the token does not count yet")]
    NotYet,
}

impl Refusal {
    /// A short word for logs and clients.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::TooLong => "token_too_long",
            Refusal::Malformed(_) => "token_malformed",
            Refusal::Algorithm => "token_algorithm",
            Refusal::UnknownKey(_) => "token_key_unknown",
            Refusal::KeyWithdrawn(_) => "token_key_withdrawn",
            Refusal::Signature => "token_signature",
            Refusal::Issuer => "token_issuer",
            Refusal::Audience => "token_audience",
            Refusal::Expired => "token_expired",
            Refusal::NotYet => "token_not_yet",
        }
    }
}

#[derive(Deserialize)]
struct RawHeader {
    alg: String,
    kid: Option<String>,
    typ: Option<String>,
    crit: Option<serde_json::Value>,
    // Keys that a token brings along are never looked at (RFC 8725, 3.10).
    jwk: Option<serde_json::Value>,
    jku: Option<serde_json::Value>,
    x5u: Option<serde_json::Value>,
    x5c: Option<serde_json::Value>,
    zip: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Audience {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct RawClaims {
    iss: String,
    sub: String,
    aud: Audience,
    exp: u64,
    nbf: Option<u64>,
    jti: Option<String>,
    #[serde(default)]
    groups: Vec<String>,
}

fn part(encoded: &str, what: &'static str) -> Result<Vec<u8>, Refusal> {
    let bytes = URL_SAFE_NO_PAD
        .decode(encoded)
        .map_err(|_| Refusal::Malformed(what))?;
    strict::check(&bytes).map_err(|_| Refusal::Malformed(what))?;
    Ok(bytes)
}

fn header(encoded: &str) -> Result<RawHeader, Refusal> {
    const WRONG: Refusal = Refusal::Malformed("its header");
    let header: RawHeader =
        serde_json::from_slice(&part(encoded, "its header")?).map_err(|_| WRONG)?;
    let brings = [
        &header.crit,
        &header.jwk,
        &header.jku,
        &header.x5u,
        &header.x5c,
        &header.zip,
    ];
    if brings.iter().any(|b| b.is_some()) {
        return Err(Refusal::Malformed(
            "its header has members that are not taken",
        ));
    }
    let kind = header.typ.as_deref().unwrap_or("JWT").to_ascii_lowercase();
    match kind.as_str() {
        "jwt" | "at+jwt" | "application/at+jwt" => Ok(header),
        _ => Err(Refusal::Malformed("its type")),
    }
}

/// Id of the key that a token names, where it is well formed; for a look whether the key is known.
pub fn key_id(token: &str) -> Option<String> {
    let head = token
        .get(..token.find('.')?)
        .filter(|h| h.len() < TOKEN_BYTES)?;
    header(head).ok()?.kid
}

/// Checks a token at a time, Unix seconds.
///
/// # Errors
/// The first [`Refusal`] found; bounds come before parsing, the key before the claims.
pub fn check(token: &str, keys: &KeySet, rules: &TokenRules, now: u64) -> Result<Caller, Refusal> {
    if token.len() > TOKEN_BYTES {
        return Err(Refusal::TooLong);
    }
    let parts: Vec<&str> = token.split('.').collect();
    let [head, claims, _] = parts[..] else {
        return Err(Refusal::Malformed("three parts are expected"));
    };
    let header = header(head)?;
    let id = header
        .kid
        .filter(|k| !k.is_empty())
        .ok_or(Refusal::Malformed("it names no key"))?;
    if id.len() > crate::keys::KEY_ID_BYTES || id.chars().any(char::is_control) {
        return Err(Refusal::Malformed("its key id"));
    }
    let Some(key) = keys.get(&id) else {
        return Err(Refusal::UnknownKey(id));
    };
    let named = match key.algorithm {
        Algorithm::EdDSA => "EdDSA",
        _ => "ES256",
    };
    if header.alg != named {
        return Err(Refusal::Algorithm);
    }
    if !key.counts(now, rules.skew_s) {
        return Err(Refusal::KeyWithdrawn(id));
    }
    let bytes = part(claims, "its claims")?;
    let claims = serde_json::from_slice(&bytes).map_err(|_| Refusal::Malformed("its claims"))?;
    // Times are checked below against the given clock; the library would read its own.
    let mut validation = Validation::new(key.algorithm);
    (
        validation.validate_exp,
        validation.validate_nbf,
        validation.validate_aud,
    ) = (false, false, false);
    validation.required_spec_claims.clear();
    let verified = jsonwebtoken::decode::<serde_json::Value>(token, &key.verifies, &validation);
    verified.map_err(|_| Refusal::Signature)?;
    judge(claims, id, rules, now)
}

fn judge(
    claims: RawClaims,
    key_id: String,
    rules: &TokenRules,
    now: u64,
) -> Result<Caller, Refusal> {
    let for_us = match &claims.aud {
        Audience::One(a) => *a == rules.audience,
        Audience::Many(list) => list.contains(&rules.audience),
    };
    let long = |t: &String| t.len() > CLAIM_BYTES || t.chars().any(char::is_control);
    if claims.iss != rules.issuer {
        return Err(Refusal::Issuer);
    }
    if !for_us {
        return Err(Refusal::Audience);
    }
    if claims.sub.is_empty() || long(&claims.sub) || claims.jti.as_ref().is_some_and(long) {
        return Err(Refusal::Malformed("its subject or id"));
    }
    if claims.sub.starts_with(CERTIFICATE_SUBJECT) {
        return Err(Refusal::Malformed("its subject, which is a certificate's"));
    }
    if claims.groups.len() > GROUPS_MOST || claims.groups.iter().any(long) {
        return Err(Refusal::Malformed("its groups"));
    }
    if now >= claims.exp.saturating_add(rules.skew_s) {
        return Err(Refusal::Expired);
    }
    if claims
        .nbf
        .is_some_and(|nbf| nbf > now.saturating_add(rules.skew_s))
    {
        return Err(Refusal::NotYet);
    }
    Ok(Caller {
        subject: claims.sub,
        groups: claims.groups,
        key_id,
        token_id: claims.jti,
        ends: claims.exp.saturating_add(rules.skew_s),
        proof: Proof::Token,
    })
}
