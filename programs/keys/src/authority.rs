//! A small certificate authority in a directory: issues certificates for dispatchers, model servers and callers, and keeps
//! the list of revoked ones.
//!
//! `authority.pem` is the public certificate and `authority.key` the private key. `revoked.json` contains the serial numbers
//! of the revoked certificates and the times of revocation; `revoked.pem` is the signed revocation list made from it.

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

use crate::{write_atomically, KeyError};

/// A certificate authority and its directory.
pub struct Authority {
    dir: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

/// Contents of a certificate to be issued.
#[derive(Clone, Debug, Default)]
pub struct CertificateRequest {
    /// DNS names of the certificate's subject.
    pub dns: Vec<String>,
    /// IP addresses of the certificate's subject.
    pub ips: Vec<std::net::IpAddr>,
    /// URI of the caller that the certificate identifies.
    pub uri: Option<String>,
    /// Groups of the caller; a certificate can contain at most one.
    pub groups: Vec<String>,
    /// Start of validity, in seconds since the Unix epoch.
    pub not_before: u64,
    /// End of validity, in seconds since the Unix epoch.
    pub not_after: u64,
}

/// An issued certificate and its private key, both in PEM format.
pub struct IssuedCertificate {
    pub certificate: String,
    pub key: String,
}

/// Converts seconds since the Unix epoch.
fn date_time(seconds: u64) -> Result<OffsetDateTime, KeyError> {
    let seconds = i64::try_from(seconds).map_err(|e| e.to_string())?;
    OffsetDateTime::from_unix_timestamp(seconds).map_err(|e| e.to_string())
}

fn error_text(e: rcgen::Error) -> KeyError {
    e.to_string()
}

impl Authority {
    /// Creates an authority in a directory. Its certificate is valid for ten years and its revocation list is empty.
    ///
    /// # Errors
    /// The directory already contains an authority or cannot be written.
    pub fn create(dir: &Path, name: &str, now: u64) -> Result<Authority, KeyError> {
        if dir.join("authority.key").exists() {
            return Err(format!(
                "{}: the directory already contains an authority",
                dir.display()
            ));
        }
        std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let key = KeyPair::generate().map_err(error_text)?;
        let mut params = CertificateParams::default();
        params.distinguished_name = rcgen::DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.not_before = date_time(now)? - Duration::minutes(5);
        params.not_after = date_time(now)? + Duration::days(3650);
        let certificate = params.self_signed(&key).map_err(error_text)?;
        write_atomically(&dir.join("authority.key"), &key.serialize_pem(), true)?;
        write_atomically(&dir.join("authority.pem"), &certificate.pem(), false)?;
        let authority = Authority {
            dir: dir.to_path_buf(),
            issuer: Issuer::new(params, key),
        };
        authority.write_revocation_list(&BTreeMap::new(), now)?;
        Ok(authority)
    }

    /// Opens an existing authority.
    ///
    /// # Errors
    /// A file cannot be read or is damaged.
    pub fn open(dir: &Path) -> Result<Authority, KeyError> {
        let read = |file: &str| {
            let path = dir.join(file);
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
        };
        let key = KeyPair::from_pem(&read("authority.key")?).map_err(error_text)?;
        let issuer = Issuer::from_ca_cert_pem(&read("authority.pem")?, key).map_err(error_text)?;
        Ok(Authority {
            dir: dir.to_path_buf(),
            issuer,
        })
    }

    /// Generates a key and issues a certificate for it.
    ///
    /// # Errors
    /// A name that a certificate cannot contain, more than one group, or an invalid time.
    pub fn issue(&self, request: &CertificateRequest) -> Result<IssuedCertificate, KeyError> {
        let key = KeyPair::generate().map_err(error_text)?;
        let mut params = CertificateParams::new(request.dns.clone()).map_err(error_text)?;
        params
            .subject_alt_names
            .extend(request.ips.iter().map(|ip| SanType::IpAddress(*ip)));
        if let Some(uri) = &request.uri {
            let uri = uri.as_str().try_into().map_err(error_text)?;
            params.subject_alt_names.push(SanType::URI(uri));
        }
        params.distinguished_name = rcgen::DistinguishedName::new();
        // The library writes only one organizational unit per certificate. A caller in several groups needs an access rule by name.
        if let Some(group) = request.groups.first() {
            params
                .distinguished_name
                .push(DnType::OrganizationalUnitName, group.as_str());
        }
        if request.groups.len() > 1 {
            return Err("a certificate can contain only one group".to_string());
        }
        let mut serial = [0; 16];
        SystemRandom::new()
            .fill(&mut serial)
            .map_err(|_| "no random numbers from the system")?;
        // A serial number must be positive and must not start with a zero byte.
        serial[0] = serial[0] & 0x7f | 0x40;
        params.serial_number = Some(SerialNumber::from_slice(&serial));
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        (params.not_before, params.not_after) = (
            date_time(request.not_before)?,
            date_time(request.not_after)?,
        );
        let certificate = params.signed_by(&key, &self.issuer).map_err(error_text)?;
        Ok(IssuedCertificate {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Writes an issued certificate to `NAME.pem` and its private key, readable only by the owner, to `NAME.key`.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn write(dir: &Path, name: &str, issued: &IssuedCertificate) -> Result<(), KeyError> {
        write_atomically(&dir.join(format!("{name}.key")), &issued.key, true)?;
        write_atomically(&dir.join(format!("{name}.pem")), &issued.certificate, false)
    }

    /// Revokes a certificate (PEM) and writes the new revocation list.
    ///
    /// # Errors
    /// The certificate is invalid or was issued by another authority, or a file cannot be written.
    pub fn revoke(&self, certificate: &str, now: u64) -> Result<(), KeyError> {
        let (_, pem) = parse_x509_pem(certificate.as_bytes()).map_err(|e| e.to_string())?;
        let parsed = pem.parse_x509().map_err(|e| e.to_string())?;
        let ca_pem = std::fs::read(self.dir.join("authority.pem")).map_err(|e| e.to_string())?;
        let (_, ca_pem) = parse_x509_pem(&ca_pem).map_err(|e| e.to_string())?;
        let ca = ca_pem.parse_x509().map_err(|e| e.to_string())?;
        if parsed.verify_signature(Some(ca.public_key())).is_err() {
            return Err("the certificate was issued by another authority".to_string());
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
        self.write_revocation_list(&revoked, now)
    }

    /// Writes `revoked.json` and the signed `revoked.pem`, which is valid for seven days.
    fn write_revocation_list(
        &self,
        revoked: &BTreeMap<String, u64>,
        now: u64,
    ) -> Result<(), KeyError> {
        let entry = |(serial, revoked_at): (&String, &u64)| -> Result<RevokedCertParams, KeyError> {
            let byte = |i: usize| {
                serial
                    .get(i..i + 2)
                    .and_then(|s| u8::from_str_radix(s, 16).ok())
            };
            let bytes: Option<Vec<u8>> = (0..serial.len()).step_by(2).map(byte).collect();
            Ok(RevokedCertParams {
                serial_number: SerialNumber::from_slice(&bytes.ok_or("a damaged serial number")?),
                revocation_time: date_time(*revoked_at)?,
                reason_code: None,
                invalidity_date: None,
            })
        };
        let params = CertificateRevocationListParams {
            this_update: date_time(now)?,
            next_update: date_time(now)? + Duration::days(7),
            crl_number: SerialNumber::from_slice(&now.to_be_bytes()),
            issuing_distribution_point: None,
            revoked_certs: revoked.iter().map(entry).collect::<Result<_, _>>()?,
            key_identifier_method: KeyIdMethod::Sha256,
        };
        let list = params.signed_by(&self.issuer).map_err(error_text)?;
        let text = serde_json::to_string_pretty(revoked).map_err(|e| e.to_string())?;
        write_atomically(&self.dir.join("revoked.json"), &text, false)?;
        write_atomically(
            &self.dir.join("revoked.pem"),
            &list.pem().map_err(error_text)?,
            false,
        )
    }
}
