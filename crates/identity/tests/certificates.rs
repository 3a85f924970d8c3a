//! Tests of client certificates and revocation lists, including corrupted ones.

use std::sync::Arc;
use std::time::Duration;

use bitternlatch_identity::certificates::{caller_from_certificate, Revocations};
use bitternlatch_identity::Credential;
use proptest::prelude::*;
use rcgen::{
    BasicConstraints, CertificateParams, CertificateRevocationListParams, DnType, IsCa, Issuer,
    KeyIdMethod, KeyPair, KeyUsagePurpose, RevokedCertParams, SanType, SerialNumber,
};
use rustls::pki_types::UnixTime;
use rustls::server::WebPkiClientVerifier;
use rustls::RootCertStore;

const NOW: u64 = 1_800_000_000;

struct Ca {
    issuer: Issuer<'static, KeyPair>,
    der: Vec<u8>,
}

impl Ca {
    fn new(name: &str) -> Ca {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::default();
        params.distinguished_name = rcgen::DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let der = params
            .self_signed(&key)
            .expect("a certificate")
            .der()
            .to_vec();
        Ca {
            issuer: Issuer::new(params, key),
            der,
        }
    }

    fn issue(&self, serial: u8, names: Vec<SanType>, unit: Option<&str>) -> Vec<u8> {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::default();
        params.subject_alt_names = names;
        params.distinguished_name = rcgen::DistinguishedName::new();
        if let Some(unit) = unit {
            params
                .distinguished_name
                .push(DnType::OrganizationalUnitName, unit);
        }
        params.serial_number = Some(SerialNumber::from_slice(&[serial, 0, 7]));
        params.not_before = at(NOW - 100);
        params.not_after = at(NOW + 100);
        params
            .signed_by(&key, &self.issuer)
            .expect("a certificate")
            .der()
            .to_vec()
    }

    fn list(&self, serials: &[u8], issued_at: u64) -> Vec<u8> {
        let one = |s: &u8| RevokedCertParams {
            serial_number: SerialNumber::from_slice(&[*s, 0, 7]),
            revocation_time: at(issued_at),
            reason_code: None,
            invalidity_date: None,
        };
        let params = CertificateRevocationListParams {
            this_update: at(issued_at),
            next_update: at(issued_at + 50),
            crl_number: SerialNumber::from(issued_at),
            issuing_distribution_point: None,
            revoked_certs: serials.iter().map(one).collect(),
            key_identifier_method: KeyIdMethod::Sha256,
        };
        params
            .signed_by(&self.issuer)
            .expect("a list")
            .der()
            .to_vec()
    }
}

fn at(seconds: u64) -> time::OffsetDateTime {
    time::OffsetDateTime::from_unix_timestamp(seconds as i64).expect("a time")
}

fn uri(name: &str) -> SanType {
    SanType::URI(name.try_into().expect("a name"))
}

fn dns(name: &str) -> SanType {
    SanType::DnsName(name.try_into().expect("a name"))
}

#[test]
fn certificate_names_one_caller_or_is_rejected() {
    let ca = Ca::new("ca");
    let both = caller_from_certificate(
        &ca.issue(
            1,
            vec![dns("A.example.org"), uri("urn:c:ann")],
            Some("desk"),
        ),
        NOW,
    );
    let both = both.expect("a caller");
    assert_eq!(
        (both.subject.as_str(), both.groups.as_slice()),
        ("cert:uri:urn:c:ann", &["desk".to_string()][..])
    );
    assert_eq!(
        (both.expires_at, both.credential),
        (NOW + 100, Credential::Certificate)
    );
    let host = caller_from_certificate(&ca.issue(1, vec![dns("A.example.org")], None), NOW)
        .expect("a caller");
    assert_eq!(
        (host.subject.as_str(), host.key_id),
        ("cert:dns:a.example.org", both.key_id),
        "same issuer and serial, same id"
    );
    let code = |der: &[u8], now| {
        caller_from_certificate(der, now)
            .expect_err("no caller")
            .code()
    };
    assert_eq!(code(&ca.issue(1, vec![], None), NOW), "certificate_name");
    assert_eq!(
        code(&ca.issue(1, vec![uri("urn:a"), uri("urn:b")], None), NOW),
        "certificate_name"
    );
    let good = ca.issue(1, vec![uri("urn:a")], None);
    assert_eq!(code(&good, NOW + 100), "certificate_expired");
    assert_eq!(
        code(&good, NOW - 101),
        "certificate_expired",
        "not valid yet"
    );
    assert_eq!(code(&good[..good.len() - 1], NOW), "certificate_malformed");
    assert_eq!(
        code(&[good.as_slice(), &[0]].concat(), NOW),
        "certificate_malformed"
    );
    assert_eq!(code(&vec![0x30; 20_000], NOW), "certificate_malformed");
}

#[test]
fn revocation_lists_must_be_complete_signed_and_newer() {
    let (ca, other) = (Ca::new("ca"), Ca::new("other"));
    let impostor = Ca::new("ca");
    let trusted = [ca.der.clone(), other.der.clone()];
    let id = |ca: &Ca, serial| {
        caller_from_certificate(&ca.issue(serial, vec![uri("urn:a")], None), NOW)
            .expect("one")
            .key_id
    };
    let none = Revocations::default();
    let first = none
        .with_lists(&[ca.list(&[1], NOW), other.list(&[2], NOW)], &trusted, NOW)
        .expect("accepted");
    assert!(first.is_revoked(&id(&ca, 1)) && first.is_revoked(&id(&other, 2)));
    assert!(
        !first.is_revoked(&id(&ca, 2)) && !first.is_revoked(&id(&other, 1)),
        "serials are per issuer"
    );

    let second = first
        .with_lists(&[ca.list(&[1, 3], NOW + 1)], &trusted, NOW + 1)
        .expect("accepted");
    assert_eq!(second.newly_revoked(&first), [id(&ca, 3)]);
    assert!(
        second.is_revoked(&id(&other, 2)),
        "an issuer without a new list keeps its current one"
    );
    let fault = |lists: &[Vec<u8>], now| {
        second
            .with_lists(lists, &trusted, now)
            .expect_err("rejected")
            .to_string()
    };
    assert!(
        fault(&[ca.list(&[], NOW)], NOW + 2).contains("before the one in effect"),
        "an older list is replayed"
    );
    assert!(fault(&[impostor.list(&[], NOW + 2)], NOW + 2)
        .contains("not signed by a trusted authority"));
    assert!(fault(&[ca.list(&[], NOW + 900)], NOW + 2).contains("in the future"));
    assert!(
        fault(&[ca.list(&[], NOW + 2), ca.list(&[9], NOW + 2)], NOW + 2)
            .contains("two lists of one issuer")
    );
    let good = ca.list(&[4], NOW + 2);
    assert!(fault(&[good[..good.len() - 1].to_vec()], NOW + 2).contains("cannot be read"));
    assert_eq!(
        (second.overdue(NOW + 10), second.overdue(NOW + 52)),
        (0, 2),
        "overdue lists stay in effect"
    );
}

/// Default number of property test cases; `PROPTEST_CASES` overrides it.
const CASES: u32 = 1_000;

#[test]
fn corrupted_certificates_and_lists_are_rejected_without_panic() {
    let ca = Ca::new("ca");
    let trusted = [ca.der.clone()];
    let good = ca.issue(
        1,
        vec![uri("urn:c:ann"), dns("a.example.org")],
        Some("desk"),
    );
    let list = ca.list(&[1, 2], NOW);
    let known = Revocations::default()
        .with_lists(std::slice::from_ref(&list), &trusted, NOW)
        .expect("accepted");
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|c| c.parse().ok())
        .unwrap_or(CASES);
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let edits = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3u8), 1..4);
    let read = std::cell::Cell::new(0u32);
    let named = &caller_from_certificate(&good, NOW).expect("a caller");
    let mut roots = RootCertStore::empty();
    roots.add(ca.der.clone().into()).expect("a root");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider).build();
    let verifier = verifier.expect("a verifier");
    let at_now = UnixTime::since_unix_epoch(Duration::from_secs(NOW));
    let handshake_accepts = |der: &[u8]| {
        verifier
            .verify_client_cert(&der.to_vec().into(), &[], at_now)
            .is_ok()
    };
    assert!(handshake_accepts(&good));
    runner
        .run(&(edits, any::<bool>()), |(edits, edit_list)| {
            let whole = if edit_list { &list } else { &good };
            let mut bytes = whole.clone();
            for (at, value, kind) in edits {
                let i = at.index(bytes.len());
                match kind {
                    0 => bytes[i] = value,
                    1 => drop(bytes.remove(i)),
                    _ => bytes.insert(i, value),
                }
            }
            if edit_list {
                let taken = known.with_lists(std::slice::from_ref(&bytes), &trusted, NOW);
                prop_assert!(
                    taken.as_ref().is_err() || taken == Ok(known.clone()),
                    "a corrupted list is accepted"
                );
                return Ok(());
            }
            if let Ok(caller) = caller_from_certificate(&bytes, NOW) {
                read.set(read.get() + 1);
                // A caller is trusted only after the handshake's verification, which must pass no corrupted certificate.
                prop_assert!(
                    !handshake_accepts(&bytes) || caller == *named,
                    "{}",
                    caller.subject
                );
            }
            Ok(())
        })
        .expect("no case fails");
    assert!(
        read.get() > 10,
        "too few corrupted certificates can be parsed: {}",
        read.get()
    );
}
