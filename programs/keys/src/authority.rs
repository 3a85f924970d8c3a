//! A small authority in a folder: certificates for dispatchers, hosts and callers, and the list of revoked ones.
//!
//! `authority.pem` is public; `authority.key` is private; `revoked.json` says what was revoked and when, and `revoked.pem` is the signed
//! list made from it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, CertificateRevocationListParams, DnType,
    ExtendedKeyUsagePurpose, IsCa, Issuer, KeyIdMethod, KeyPair, KeyUsagePurpose,
    RevokedCertParams, SanType, SerialNumber,
};
use ring::rand::{SecureRandom, SystemRandom};
use time::{Duration, OffsetDateTime};
use x509_parser::prelude::parse_x509_pem;

use crate::{put, Fault};

/// An authority's folder.
pub struct Authority {
    dir: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

/// What a certificate is to hold.
#[derive(Clone, Debug, Default)]
pub struct Wanted {
    /// Names that it proves.
    pub dns: Vec<String>,
    pub ips: Vec<std::net::IpAddr>,
    /// The caller that it names, as a URI.
    pub uri: Option<String>,
    /// Groups of that caller.
    pub groups: Vec<String>,
    /// Unix seconds.
    pub begins: u64,
    pub ends: u64,
}

/// A certificate and its private key, PEM.
pub struct Issued {
    pub certificate: String,
    pub key: String,
}

fn at(seconds: u64) -> Result<OffsetDateTime, Fault> {
    let seconds = i64::try_from(seconds).map_err(|e| e.to_string())?;
    OffsetDateTime::from_unix_timestamp(seconds).map_err(|e| e.to_string())
}

fn fault(e: rcgen::Error) -> Fault {
    e.to_string()
}

impl Authority {
    /// Makes one in an empty folder, for ten years, with an empty list of revoked certificates.
    ///
    /// # Errors
    /// A folder that holds one already or cannot be written.
    pub fn make(dir: &Path, name: &str, now: u64) -> Result<Authority, Fault> {
        if dir.join("authority.key").exists() {
            return Err(format!("{}: an authority is there already", dir.display()));
        }
        std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let key = KeyPair::generate().map_err(fault)?;
        let mut params = CertificateParams::default();
        params.distinguished_name = rcgen::DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.not_before = at(now)? - Duration::minutes(5);
        params.not_after = at(now)? + Duration::days(3650);
        let certificate = params.self_signed(&key).map_err(fault)?;
        put(&dir.join("authority.key"), &key.serialize_pem(), true)?;
        put(&dir.join("authority.pem"), &certificate.pem(), false)?;
        let made = Authority {
            dir: dir.to_path_buf(),
            issuer: Issuer::new(params, key),
        };
        made.list(&BTreeMap::new(), now)?;
        Ok(made)
    }

    /// Opens one that was made.
    ///
    /// # Errors
    /// Files that cannot be read or are damaged.
    pub fn open(dir: &Path) -> Result<Authority, Fault> {
        let read = |file: &str| {
            let path = dir.join(file);
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
        };
        let key = KeyPair::from_pem(&read("authority.key")?).map_err(fault)?;
        let issuer = Issuer::from_ca_cert_pem(&read("authority.pem")?, key).map_err(fault)?;
        Ok(Authority {
            dir: dir.to_path_buf(),
            issuer,
        })
    }

    /// A new key with a certificate for it.
    ///
    /// # Errors
    /// Names that no certificate can hold; times that are none.
    pub fn issue(&self, wanted: &Wanted) -> Result<Issued, Fault> {
        let key = KeyPair::generate().map_err(fault)?;
        let mut params = CertificateParams::new(wanted.dns.clone()).map_err(fault)?;
        params
            .subject_alt_names
            .extend(wanted.ips.iter().map(|ip| SanType::IpAddress(*ip)));
        if let Some(uri) = &wanted.uri {
            let uri = uri.as_str().try_into().map_err(fault)?;
            params.subject_alt_names.push(SanType::URI(uri));
        }
        params.distinguished_name = rcgen::DistinguishedName::new();
        // One unit a certificate is what the library writes; callers of several groups have a rule by name.
        if let Some(group) = wanted.groups.first() {
            params
                .distinguished_name
                .push(DnType::OrganizationalUnitName, group.as_str());
        }
        if wanted.groups.len() > 1 {
            return Err("a certificate holds one group".to_string());
        }
        let mut serial = [0; 16];
        SystemRandom::new()
            .fill(&mut serial)
            .map_err(|_| "no randomness")?;
        // Positive, and never with a leading zero byte.
        serial[0] = serial[0] & 0x7f | 0x40;
        params.serial_number = Some(SerialNumber::from_slice(&serial));
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        (params.not_before, params.not_after) = (at(wanted.begins)?, at(wanted.ends)?);
        let certificate = params.signed_by(&key, &self.issuer).map_err(fault)?;
        Ok(Issued {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Writes what was issued as `NAME.pem` and, for its owner alone, `NAME.key`.
    ///
    /// # Errors
    /// Files that cannot be written.
    pub fn write(dir: &Path, name: &str, issued: &Issued) -> Result<(), Fault> {
        put(&dir.join(format!("{name}.key")), &issued.key, true)?;
        put(&dir.join(format!("{name}.pem")), &issued.certificate, false)
    }

    /// Revokes a certificate (PEM) and writes the new list.
    ///
    /// # Errors
    /// One that cannot be read or is another authority's; files that cannot be written.
    pub fn revoke(&self, certificate: &str, now: u64) -> Result<(), Fault> {
        let (_, pem) = parse_x509_pem(certificate.as_bytes()).map_err(|e| e.to_string())?;
        let parsed = pem.parse_x509().map_err(|e| e.to_string())?;
        let own = std::fs::read(self.dir.join("authority.pem")).map_err(|e| e.to_string())?;
        let (_, own) = parse_x509_pem(&own).map_err(|e| e.to_string())?;
        let own = own.parse_x509().map_err(|e| e.to_string())?;
        if parsed.verify_signature(Some(own.public_key())).is_err() {
            return Err("the certificate is another authority's".to_string());
        }
        let serial: String = parsed
            .raw_serial()
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        let path = self.dir.join("revoked.json");
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut revoked: BTreeMap<String, u64> =
            serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        revoked.entry(serial).or_insert(now);
        self.list(&revoked, now)
    }

    fn list(&self, revoked: &BTreeMap<String, u64>, now: u64) -> Result<(), Fault> {
        let entry = |(serial, when): (&String, &u64)| -> Result<RevokedCertParams, Fault> {
            let byte = |i: usize| {
                serial
                    .get(i..i + 2)
                    .and_then(|s| u8::from_str_radix(s, 16).ok())
            };
            let bytes: Option<Vec<u8>> = (0..serial.len()).step_by(2).map(byte).collect();
            Ok(RevokedCertParams {
                serial_number: SerialNumber::from_slice(&bytes.ok_or("a damaged serial number")?),
                revocation_time: at(*when)?,
                reason_code: None,
                invalidity_date: None,
            })
        };
        let params = CertificateRevocationListParams {
            this_update: at(now)?,
            next_update: at(now)? + Duration::days(7),
            crl_number: SerialNumber::from_slice(&now.to_be_bytes()),
            issuing_distribution_point: None,
            revoked_certs: revoked.iter().map(entry).collect::<Result<_, _>>()?,
            key_identifier_method: KeyIdMethod::Sha256,
        };
        let list = params.signed_by(&self.issuer).map_err(fault)?;
        let text = serde_json::to_string_pretty(revoked).map_err(|e| e.to_string())?;
        put(&self.dir.join("revoked.json"), &text, false)?;
        put(
            &self.dir.join("revoked.pem"),
            &list.pem().map_err(fault)?,
            false,
        )
    }
}
