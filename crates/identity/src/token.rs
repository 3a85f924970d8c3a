//! Verification of a token: size limits first, then format, key, signature, and claims at a given time.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use jsonwebtoken::{Algorithm, Validation};
use serde::Deserialize;

use crate::keys::KeySet;
use crate::{strict, Caller, Credential, CERTIFICATE_SUBJECT};

/// Maximum size of a token, bytes; checked before parsing.
pub const MAX_TOKEN_BYTES: usize = 8 * 1024;
/// Maximum number of groups in a token.
pub const MAX_GROUPS: usize = 64;
/// Maximum length of a text claim, bytes.
pub const MAX_CLAIM_BYTES: usize = 256;

/// Requirements on the claims of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRules {
    /// Required issuer (`iss`).
    pub issuer: String,
    /// Required audience (`aud`).
    pub audience: String,
    /// Tolerated difference between clocks, seconds.
    pub skew_s: u64,
}

/// Why a token is rejected. The text is sent to the client and logged; of the token it contains only the key id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    #[error("the token is longer than {MAX_TOKEN_BYTES} bytes")]
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
    NotYetValid,
}

impl TokenError {
    /// Error code for logs and clients.
    pub fn code(&self) -> &'static str {
        match self {
            TokenError::TooLong => "token_too_long",
            TokenError::Malformed(_) => "token_malformed",
            TokenError::Algorithm => "token_algorithm",
            TokenError::UnknownKey(_) => "token_key_unknown",
            TokenError::KeyWithdrawn(_) => "token_key_withdrawn",
            TokenError::Signature => "token_signature",
            TokenError::Issuer => "token_issuer",
            TokenError::Audience => "token_audience",
            TokenError::Expired => "token_expired",
            TokenError::NotYetValid => "token_not_yet",
        }
    }
}

#[derive(Deserialize)]
struct RawHeader {
    alg: String,
    kid: Option<String>,
    typ: Option<String>,
    crit: Option<serde_json::Value>,
    // A token with an embedded or referenced key is rejected (RFC 8725, section 3.10).
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

fn decode_json_part(encoded: &str, name: &'static str) -> Result<Vec<u8>, TokenError> {
    let bytes = URL_SAFE_NO_PAD
        .decode(encoded)
        .map_err(|_| TokenError::Malformed(name))?;
    strict::check(&bytes).map_err(|_| TokenError::Malformed(name))?;
    Ok(bytes)
}

fn parse_header(encoded: &str) -> Result<RawHeader, TokenError> {
    const INVALID: TokenError = TokenError::Malformed("its header");
    let header: RawHeader =
        serde_json::from_slice(&decode_json_part(encoded, "its header")?).map_err(|_| INVALID)?;
    let forbidden = [
        &header.crit,
        &header.jwk,
        &header.jku,
        &header.x5u,
        &header.x5c,
        &header.zip,
    ];
    if forbidden.iter().any(|b| b.is_some()) {
        return Err(TokenError::Malformed(
            "its header has members that are not taken",
        ));
    }
    let kind = header.typ.as_deref().unwrap_or("JWT").to_ascii_lowercase();
    match kind.as_str() {
        "jwt" | "at+jwt" | "application/at+jwt" => Ok(header),
        _ => Err(TokenError::Malformed("its type")),
    }
}

/// The key id in the header of a token, without verifying the token; `None` if the header is malformed or has no id.
pub fn key_id(token: &str) -> Option<String> {
    let head = token
        .get(..token.find('.')?)
        .filter(|h| h.len() < MAX_TOKEN_BYTES)?;
    parse_header(head).ok()?.kid
}

/// Verifies a token at `now`, Unix seconds.
///
/// # Errors
/// The first [`TokenError`] found. Sizes are checked before parsing, and the key before the claims.
pub fn verify_token(
    token: &str,
    keys: &KeySet,
    rules: &TokenRules,
    now: u64,
) -> Result<Caller, TokenError> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(TokenError::TooLong);
    }
    let parts: Vec<&str> = token.split('.').collect();
    let [head, claims, _] = parts[..] else {
        return Err(TokenError::Malformed("three parts are expected"));
    };
    let header = parse_header(head)?;
    let id = header
        .kid
        .filter(|k| !k.is_empty())
        .ok_or(TokenError::Malformed("it names no key"))?;
    if id.len() > crate::keys::MAX_KEY_ID_BYTES || id.chars().any(char::is_control) {
        return Err(TokenError::Malformed("its key id"));
    }
    let Some(key) = keys.get(&id) else {
        return Err(TokenError::UnknownKey(id));
    };
    let algorithm = match key.algorithm {
        Algorithm::EdDSA => "EdDSA",
        _ => "ES256",
    };
    if header.alg != algorithm {
        return Err(TokenError::Algorithm);
    }
    if !key.is_valid(now, rules.skew_s) {
        return Err(TokenError::KeyWithdrawn(id));
    }
    let bytes = decode_json_part(claims, "its claims")?;
    let claims = serde_json::from_slice(&bytes).map_err(|_| TokenError::Malformed("its claims"))?;
    // `validate_claims` checks the times against `now`; the library would use the system clock.
    let mut validation = Validation::new(key.algorithm);
    (
        validation.validate_exp,
        validation.validate_nbf,
        validation.validate_aud,
    ) = (false, false, false);
    validation.required_spec_claims.clear();
    let verified = jsonwebtoken::decode::<serde_json::Value>(token, &key.decoding_key, &validation);
    verified.map_err(|_| TokenError::Signature)?;
    validate_claims(claims, id, rules, now)
}

fn validate_claims(
    claims: RawClaims,
    key_id: String,
    rules: &TokenRules,
    now: u64,
) -> Result<Caller, TokenError> {
    let audience_matches = match &claims.aud {
        Audience::One(a) => *a == rules.audience,
        Audience::Many(list) => list.contains(&rules.audience),
    };
    let is_invalid = |t: &String| t.len() > MAX_CLAIM_BYTES || t.chars().any(char::is_control);
    if claims.iss != rules.issuer {
        return Err(TokenError::Issuer);
    }
    if !audience_matches {
        return Err(TokenError::Audience);
    }
    if claims.sub.is_empty()
        || is_invalid(&claims.sub)
        || claims.jti.as_ref().is_some_and(is_invalid)
    {
        return Err(TokenError::Malformed("its subject or id"));
    }
    if claims.sub.starts_with(CERTIFICATE_SUBJECT) {
        return Err(TokenError::Malformed(
            "its subject, which is a certificate's",
        ));
    }
    if claims.groups.len() > MAX_GROUPS || claims.groups.iter().any(is_invalid) {
        return Err(TokenError::Malformed("its groups"));
    }
    if now >= claims.exp.saturating_add(rules.skew_s) {
        return Err(TokenError::Expired);
    }
    if claims
        .nbf
        .is_some_and(|nbf| nbf > now.saturating_add(rules.skew_s))
    {
        return Err(TokenError::NotYetValid);
    }
    Ok(Caller {
        subject: claims.sub,
        groups: claims.groups,
        key_id,
        token_id: claims.jti,
        expires_at: claims.exp.saturating_add(rules.skew_s),
        credential: Credential::Token,
    })
}
