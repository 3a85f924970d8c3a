//! Client certificates: whose one is by its names, and which are revoked (RFC 5280).
//!
//! That a certificate chains to an authority and that its owner holds the key is proven by the TLS handshake. Here a proven
//! one is read, and lists of revoked ones are kept.

use std::collections::{BTreeMap, BTreeSet};

use x509_parser::certificate::X509Certificate;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::FromDer;
use x509_parser::revocation_list::CertificateRevocationList;

use crate::{Caller, Proof, CERTIFICATE_SUBJECT};

/// Longest certificate and list that are read, bytes; most entries of all lists.
pub const CERTIFICATE_BYTES: usize = 16 * 1024;
pub const LIST_BYTES: usize = 4 << 20;
pub const ENTRIES_MOST: usize = 100_000;
/// Longest name, and most groups.
const NAME_BYTES: usize = 256;
const GROUPS_MOST: usize = 32;

/// Why a certificate names no caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCertificate {
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
    NotNow,
}

impl BadCertificate {
    /// A short word for logs and clients.
    pub fn code(&self) -> &'static str {
        match self {
            BadCertificate::Malformed(_) | BadCertificate::TooLong => "certificate_malformed",
            BadCertificate::NoName | BadCertificate::Ambiguous => "certificate_name",
            BadCertificate::Revoked => "certificate_revoked",
            BadCertificate::NotNow => "certificate_expired",
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Names a certificate by what a list of revoked ones names it by: its issuer's name and its serial number.
fn certificate_id(issuer: &[u8], serial: &[u8]) -> String {
    // Leading zeroes are a matter of encoding, not of the number.
    let from = serial.iter().position(|b| *b != 0).unwrap_or(serial.len());
    format!(
        "x509:{}:{}",
        &blake3::hash(issuer).to_hex()[..32],
        hex(&serial[from..])
    )
}

/// Whose a proven certificate is. The subject is its one URI name, else its one e-mail name, else its one DNS name, written
/// `cert:uri:...` and so on, so that no token can take it; its groups are its organisational units.
///
/// # Errors
/// [`BadCertificate`]; several names of the kind that counts are refused, as which one is meant would be the reader's choice.
pub fn caller_of(der: &[u8], now: u64) -> Result<Caller, BadCertificate> {
    if der.len() > CERTIFICATE_BYTES {
        return Err(BadCertificate::TooLong);
    }
    let (rest, cert) =
        X509Certificate::from_der(der).map_err(|_| BadCertificate::Malformed("its form"))?;
    if !rest.is_empty() {
        return Err(BadCertificate::Malformed("bytes after it"));
    }
    let validity = cert.validity();
    let (begins, ends) = (
        validity.not_before.timestamp(),
        validity.not_after.timestamp(),
    );
    let ends = u64::try_from(ends).map_err(|_| BadCertificate::NotNow)?;
    if now >= ends || i64::try_from(now).is_ok_and(|n| n < begins) {
        return Err(BadCertificate::NotNow);
    }
    Ok(Caller {
        subject: subject(&cert)?,
        groups: groups(&cert)?,
        key_id: certificate_id(cert.issuer().as_raw(), cert.raw_serial()),
        token_id: None,
        ends,
        proof: Proof::Certificate,
    })
}

fn subject(cert: &X509Certificate<'_>) -> Result<String, BadCertificate> {
    let names = cert
        .subject_alternative_name()
        .map_err(|_| BadCertificate::Malformed("its names"))?;
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
                    || one.len() > NAME_BYTES
                    || !one.bytes().all(|b| b.is_ascii_graphic()) =>
            {
                return Err(BadCertificate::Malformed("its name"));
            }
            [one] => return Ok(format!("{CERTIFICATE_SUBJECT}{kind}:{one}")),
            _ => return Err(BadCertificate::Ambiguous),
        }
    }
    Err(BadCertificate::NoName)
}

fn groups(cert: &X509Certificate<'_>) -> Result<Vec<String>, BadCertificate> {
    let mut groups = Vec::new();
    for unit in cert.subject().iter_organizational_unit() {
        let text = unit
            .as_str()
            .map_err(|_| BadCertificate::Malformed("its units"))?;
        if text.len() > NAME_BYTES || groups.len() >= GROUPS_MOST {
            return Err(BadCertificate::Malformed("its units"));
        }
        groups.push(text.to_string());
    }
    Ok(groups)
}

/// Why a list is not taken; the one before it stays.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("list of revoked certificates: {0}")]
pub struct BadList(pub String);

#[derive(Clone, Debug, PartialEq, Eq)]
struct List {
    /// Unix seconds at which it was made, and by which the next was promised.
    made: i64,
    next: Option<i64>,
    revoked: BTreeSet<String>,
}

/// The lists in force, one an issuer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Revocations {
    lists: BTreeMap<String, List>,
}

impl Revocations {
    /// The lists that follow these when new ones (DER) are offered, each signed by one of the authorities (DER). An issuer whose list
    /// is missing from the offer keeps the one that it had: a file that is gone frees nobody.
    ///
    /// # Errors
    /// A list that is broken, too long, made in the future, signed by none of the authorities, or older than the one in force
    /// (an attacker who replays an old one would free whom it lacks). Then nothing changes.
    pub fn with(
        &self,
        lists: &[Vec<u8>],
        authorities: &[Vec<u8>],
        now: u64,
    ) -> Result<Revocations, BadList> {
        let mut next = self.clone();
        let mut offered = BTreeSet::new();
        for der in lists {
            let (issuer, list) = read_list(der, authorities)?;
            if !offered.insert(issuer.clone()) {
                return Err(BadList("two of one issuer".to_string()));
            }
            if i64::try_from(now).is_ok_and(|n| list.made > n.saturating_add(300)) {
                return Err(BadList(format!(
                    "made at {}, which has not come",
                    list.made
                )));
            }
            if let Some(before) = self.lists.get(&issuer).filter(|b| b.made > list.made) {
                let why = format!(
                    "made at {}, before the one in force ({})",
                    list.made, before.made
                );
                return Err(BadList(why));
            }
            next.lists.insert(issuer, list);
        }
        let entries: usize = next.lists.values().map(|l| l.revoked.len()).sum();
        if entries > ENTRIES_MOST {
            return Err(BadList(format!(
                "{entries} entries, more than {ENTRIES_MOST}"
            )));
        }
        Ok(next)
    }

    /// Whether a certificate is revoked, by its caller's `key_id`.
    pub fn revoked(&self, key_id: &str) -> bool {
        self.lists.values().any(|l| l.revoked.contains(key_id))
    }

    /// What is revoked here and was not before.
    pub fn since(&self, before: &Revocations) -> Vec<String> {
        let all = self.lists.values().flat_map(|l| &l.revoked);
        all.filter(|id| !before.revoked(id)).cloned().collect()
    }

    /// How many lists should have been followed by a newer one by now. They still count: an issuer that is down
    /// must not shut all callers out.
    pub fn overdue(&self, now: u64) -> usize {
        let late = |l: &&List| {
            l.next
                .is_some_and(|n| i64::try_from(now).is_ok_and(|now| now > n))
        };
        self.lists.values().filter(late).count()
    }
}

fn read_list(der: &[u8], authorities: &[Vec<u8>]) -> Result<(String, List), BadList> {
    let bad = |why: &str| BadList(why.to_string());
    if der.len() > LIST_BYTES {
        return Err(BadList(format!(
            "{} bytes, more than {LIST_BYTES}",
            der.len()
        )));
    }
    let (rest, list) =
        CertificateRevocationList::from_der(der).map_err(|_| bad("cannot be read"))?;
    if !rest.is_empty() {
        return Err(bad("bytes after it"));
    }
    let signed = authorities.iter().any(|authority| {
        X509Certificate::from_der(authority).is_ok_and(|(_, a)| {
            a.subject().as_raw() == list.issuer().as_raw()
                && list.verify_signature(a.public_key()).is_ok()
        })
    });
    if !signed {
        return Err(bad("signed by none of the authorities"));
    }
    let issuer = list.issuer().as_raw();
    let revoked = list
        .iter_revoked_certificates()
        .map(|r| certificate_id(issuer, r.raw_serial()));
    let found = List {
        made: list.last_update().timestamp(),
        next: list.next_update().map(|t| t.timestamp()),
        revoked: revoked.collect(),
    };
    Ok((hex(issuer), found))
}
