//! Client certificates: the caller that a certificate names, and certificate revocation lists (RFC 5280).
//!
//! The TLS handshake verifies that a certificate chains to a trusted authority and that the client holds its private key.
//! This module parses certificates that passed the handshake, and stores the revocation lists.

use std::collections::{BTreeMap, BTreeSet};

use x509_parser::certificate::X509Certificate;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::FromDer;
use x509_parser::revocation_list::CertificateRevocationList;

use crate::{Caller, Credential, CERTIFICATE_SUBJECT};

/// Maximum size of a certificate, bytes.
pub const MAX_CERTIFICATE_BYTES: usize = 16 * 1024;
/// Maximum size of a revocation list, bytes.
pub const MAX_LIST_BYTES: usize = 4 << 20;
/// Maximum number of entries of all revocation lists together.
pub const MAX_REVOKED_CERTIFICATES: usize = 100_000;
/// Maximum length of a name in a certificate, bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of groups (organizational units) in a certificate.
const MAX_GROUPS: usize = 32;

/// Why a certificate is rejected. The text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCertificate {
    #[error("the certificate cannot be read: {0}")]
    Malformed(&'static str),
    #[error("the certificate is too long")]
    TooLong,
    #[error("the certificate holds no URI, e-mail or DNS name")]
    NoName,
    #[error("the certificate holds several names of the kind that counts")]
    Ambiguous,
    #[error("the certificate is revoked")]
    Revoked,
    #[error("the certificate has ended or has not begun")]
    OutsideValidity,
}

impl InvalidCertificate {
    /// Error code for logs and clients.
    pub fn code(&self) -> &'static str {
        match self {
            InvalidCertificate::Malformed(_) | InvalidCertificate::TooLong => {
                "certificate_malformed"
            }
            InvalidCertificate::NoName | InvalidCertificate::Ambiguous => "certificate_name",
            InvalidCertificate::Revoked => "certificate_revoked",
            InvalidCertificate::OutsideValidity => "certificate_expired",
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Certificate id built from what a revocation list identifies a certificate by: issuer name and serial number.
fn certificate_id(issuer: &[u8], serial: &[u8]) -> String {
    // Leading zeros belong to the encoding, not to the number.
    let from = serial.iter().position(|b| *b != 0).unwrap_or(serial.len());
    format!(
        "x509:{}:{}",
        &blake3::hash(issuer).to_hex()[..32],
        hex(&serial[from..])
    )
}

/// The caller named by a certificate (DER) that the TLS handshake has verified, at `now` in Unix seconds.
///
/// The subject is the certificate's only URI name, otherwise its only e-mail name, otherwise its only DNS name. It is
/// prefixed with `cert:` and the kind, as in `cert:uri:...`, so that no token can claim it. The groups are the
/// certificate's organizational units.
///
/// # Errors
/// [`InvalidCertificate`]. Several names of the kind that is used are rejected, because the choice would be arbitrary.
pub fn caller_from_certificate(der: &[u8], now: u64) -> Result<Caller, InvalidCertificate> {
    if der.len() > MAX_CERTIFICATE_BYTES {
        return Err(InvalidCertificate::TooLong);
    }
    let (rest, cert) =
        X509Certificate::from_der(der).map_err(|_| InvalidCertificate::Malformed("its form"))?;
    if !rest.is_empty() {
        return Err(InvalidCertificate::Malformed("bytes after it"));
    }
    let validity = cert.validity();
    let (begins, ends) = (
        validity.not_before.timestamp(),
        validity.not_after.timestamp(),
    );
    let ends = u64::try_from(ends).map_err(|_| InvalidCertificate::OutsideValidity)?;
    if now >= ends || i64::try_from(now).is_ok_and(|n| n < begins) {
        return Err(InvalidCertificate::OutsideValidity);
    }
    Ok(Caller {
        subject: subject(&cert)?,
        groups: groups(&cert)?,
        key_id: certificate_id(cert.issuer().as_raw(), cert.raw_serial()),
        token_id: None,
        expires_at: ends,
        credential: Credential::Certificate,
    })
}

fn subject(cert: &X509Certificate<'_>) -> Result<String, InvalidCertificate> {
    let names = cert
        .subject_alternative_name()
        .map_err(|_| InvalidCertificate::Malformed("its names"))?;
    let names = names
        .map(|n| n.value.general_names.as_slice())
        .unwrap_or_default();
    let of_kind = |kind: &str| -> Vec<String> {
        let name = |n: &GeneralName<'_>| match (kind, n) {
            ("uri", GeneralName::URI(name)) => Some((*name).to_string()),
            ("email", GeneralName::RFC822Name(name)) => Some(name.to_lowercase()),
            ("dns", GeneralName::DNSName(name)) => Some(name.to_lowercase()),
            _ => None,
        };
        names.iter().filter_map(name).collect()
    };
    for kind in ["uri", "email", "dns"] {
        let found = of_kind(kind);
        match found.as_slice() {
            [] => {}
            [one]
                if one.is_empty()
                    || one.len() > MAX_NAME_BYTES
                    || !one.bytes().all(|b| b.is_ascii_graphic()) =>
            {
                return Err(InvalidCertificate::Malformed("its name"));
            }
            [one] => return Ok(format!("{CERTIFICATE_SUBJECT}{kind}:{one}")),
            _ => return Err(InvalidCertificate::Ambiguous),
        }
    }
    Err(InvalidCertificate::NoName)
}

fn groups(cert: &X509Certificate<'_>) -> Result<Vec<String>, InvalidCertificate> {
    let mut groups = Vec::new();
    for unit in cert.subject().iter_organizational_unit() {
        let text = unit
            .as_str()
            .map_err(|_| InvalidCertificate::Malformed("its units"))?;
        if text.len() > MAX_NAME_BYTES || groups.len() >= MAX_GROUPS {
            return Err(InvalidCertificate::Malformed("its units"));
        }
        groups.push(text.to_string());
    }
    Ok(groups)
}

/// Why a revocation list is rejected; the previous list stays in effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("list of revoked certificates: {0}")]
pub struct InvalidRevocationList(pub String);

#[derive(Clone, Debug, PartialEq, Eq)]
struct RevocationList {
    /// When the list was issued (`thisUpdate`), Unix seconds.
    issued_at: i64,
    /// When the next list is due (`nextUpdate`), Unix seconds.
    next_update: Option<i64>,
    /// Ids of the revoked certificates, see [`certificate_id`].
    revoked: BTreeSet<String>,
}

/// The revocation lists in effect, one per issuer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Revocations {
    lists: BTreeMap<String, RevocationList>,
}

impl Revocations {
    /// Returns these lists updated by new ones (DER), each of which must be signed by one of `authorities` (DER).
    /// `now` is in Unix seconds. An issuer without a new list keeps its current one, so that a missing file does not
    /// reinstate revoked certificates.
    ///
    /// # Errors
    /// A list that is malformed, too long, issued in the future, not signed by an authority, or older than the one in
    /// effect: replaying an old list would reinstate certificates that were revoked since. No list is changed then.
    pub fn with_lists(
        &self,
        lists: &[Vec<u8>],
        authorities: &[Vec<u8>],
        now: u64,
    ) -> Result<Revocations, InvalidRevocationList> {
        let mut next = self.clone();
        let mut issuers = BTreeSet::new();
        for der in lists {
            let (issuer, list) = read_list(der, authorities)?;
            if !issuers.insert(issuer.clone()) {
                return Err(InvalidRevocationList("two lists of one issuer".to_string()));
            }
            if i64::try_from(now).is_ok_and(|n| list.issued_at > n.saturating_add(300)) {
                return Err(InvalidRevocationList(format!(
                    "issued at {}, which is in the future",
                    list.issued_at
                )));
            }
            if let Some(before) = self
                .lists
                .get(&issuer)
                .filter(|b| b.issued_at > list.issued_at)
            {
                let why = format!(
                    "issued at {}, before the one in effect ({})",
                    list.issued_at, before.issued_at
                );
                return Err(InvalidRevocationList(why));
            }
            next.lists.insert(issuer, list);
        }
        let entries: usize = next.lists.values().map(|l| l.revoked.len()).sum();
        if entries > MAX_REVOKED_CERTIFICATES {
            return Err(InvalidRevocationList(format!(
                "{entries} entries, more than {MAX_REVOKED_CERTIFICATES}"
            )));
        }
        Ok(next)
    }

    /// Whether the certificate with this id, the `key_id` of its [`Caller`], is revoked.
    pub fn is_revoked(&self, key_id: &str) -> bool {
        self.lists.values().any(|l| l.revoked.contains(key_id))
    }

    /// Ids of the certificates that are revoked here and not in `previous`.
    pub fn newly_revoked(&self, previous: &Revocations) -> Vec<String> {
        let all = self.lists.values().flat_map(|l| &l.revoked);
        all.filter(|id| !previous.is_revoked(id)).cloned().collect()
    }

    /// Number of lists whose next update is overdue at `now`, Unix seconds. They stay in effect: a failure of the issuer
    /// must not lock out all callers.
    pub fn overdue(&self, now: u64) -> usize {
        let late = |l: &&RevocationList| {
            l.next_update
                .is_some_and(|n| i64::try_from(now).is_ok_and(|now| now > n))
        };
        self.lists.values().filter(late).count()
    }
}

fn read_list(
    der: &[u8],
    authorities: &[Vec<u8>],
) -> Result<(String, RevocationList), InvalidRevocationList> {
    let invalid = |cause: &str| InvalidRevocationList(cause.to_string());
    if der.len() > MAX_LIST_BYTES {
        return Err(InvalidRevocationList(format!(
            "{} bytes, more than {MAX_LIST_BYTES}",
            der.len()
        )));
    }
    let (rest, list) =
        CertificateRevocationList::from_der(der).map_err(|_| invalid("cannot be read"))?;
    if !rest.is_empty() {
        return Err(invalid("has trailing bytes"));
    }
    let is_signed = authorities.iter().any(|authority| {
        X509Certificate::from_der(authority).is_ok_and(|(_, a)| {
            a.subject().as_raw() == list.issuer().as_raw()
                && list.verify_signature(a.public_key()).is_ok()
        })
    });
    if !is_signed {
        return Err(invalid("not signed by a trusted authority"));
    }
    let issuer = list.issuer().as_raw();
    let revoked = list
        .iter_revoked_certificates()
        .map(|r| certificate_id(issuer, r.raw_serial()));
    let found = RevocationList {
        issued_at: list.last_update().timestamp(),
        next_update: list.next_update().map(|t| t.timestamp()),
        revoked: revoked.collect(),
    };
    Ok((hex(issuer), found))
}
