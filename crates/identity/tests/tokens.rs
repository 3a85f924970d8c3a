//! Tests of token verification, key rotation and key set parsing, with random inputs as well.

use base64::engine::general_purpose::URL_SAFE_NO_PAD as B64;
use base64::Engine;
use bitternlatch_identity::keys::{KeySet, KeyState};
use bitternlatch_identity::token::{key_id, verify_token, TokenError, TokenRules, MAX_TOKEN_BYTES};
use jsonwebtoken::jwk::Jwk;
use jsonwebtoken::{Algorithm, DecodingKey, EncodingKey, Header, Validation};
use proptest::prelude::*;
use ring::rand::SystemRandom;
use ring::signature::{EcdsaKeyPair, Ed25519KeyPair, KeyPair, ECDSA_P256_SHA256_FIXED_SIGNING};
use serde_json::{json, Value};

const NOW: u64 = 1_800_000_000;

enum Pair {
    Ed(Ed25519KeyPair),
    Es(EcdsaKeyPair),
}

/// Signs tokens with a different library than the one that verifies them.
struct Signer {
    id: &'static str,
    pair: Pair,
}

impl Signer {
    fn ed(id: &'static str) -> Signer {
        let made = Ed25519KeyPair::generate_pkcs8(&SystemRandom::new()).expect("a key");
        Signer {
            id,
            pair: Pair::Ed(Ed25519KeyPair::from_pkcs8(made.as_ref()).expect("a key")),
        }
    }

    fn es(id: &'static str) -> Signer {
        let rng = SystemRandom::new();
        let made =
            EcdsaKeyPair::generate_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, &rng).expect("a key");
        let pair = EcdsaKeyPair::from_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, made.as_ref(), &rng);
        Signer {
            id,
            pair: Pair::Es(pair.expect("a key")),
        }
    }

    fn alg(&self) -> &'static str {
        match self.pair {
            Pair::Ed(_) => "EdDSA",
            Pair::Es(_) => "ES256",
        }
    }

    fn public(&self, more: Value) -> Value {
        let mut value = match &self.pair {
            Pair::Ed(p) => {
                json!({ "kty": "OKP", "crv": "Ed25519", "x": B64.encode(p.public_key()) })
            }
            Pair::Es(p) => {
                let point = p.public_key().as_ref();
                let (x, y) = point[1..].split_at(32);
                json!({ "kty": "EC", "crv": "P-256", "x": B64.encode(x), "y": B64.encode(y) })
            }
        };
        value["kid"] = self.id.into();
        for (name, member) in more.as_object().into_iter().flatten() {
            value[name] = member.clone();
        }
        value
    }

    fn sign(&self, claims: &Value) -> String {
        let header = json!({ "alg": self.alg(), "kid": self.id, "typ": "JWT" });
        self.sign_raw(&header.to_string(), &claims.to_string())
    }

    /// Signs arbitrary header and claims texts.
    fn sign_raw(&self, header: &str, claims: &str) -> String {
        let message = format!("{}.{}", B64.encode(header), B64.encode(claims));
        let signature = match &self.pair {
            Pair::Ed(p) => p.sign(message.as_bytes()).as_ref().to_vec(),
            Pair::Es(p) => p
                .sign(&SystemRandom::new(), message.as_bytes())
                .expect("signed")
                .as_ref()
                .to_vec(),
        };
        format!("{message}.{}", B64.encode(signature))
    }
}

fn set(keys: &[Value]) -> KeySet {
    KeySet::parse(json!({ "keys": keys }).to_string().as_bytes()).expect("a key set")
}

fn rules() -> TokenRules {
    TokenRules {
        issuer: "https://issuer".into(),
        audience: "bitternlatch".into(),
        skew_s: 30,
    }
}

fn claims() -> Value {
    json!({ "iss": "https://issuer", "aud": "bitternlatch", "sub": "secretary", "exp": NOW + 600, "jti": "t1",
        "groups": ["office"] })
}

fn with(name: &str, value: Value) -> Value {
    let mut all = claims();
    all[name] = value;
    all
}

fn without(name: &str) -> Value {
    let mut all = claims();
    all.as_object_mut().expect("an object").remove(name);
    all
}

#[test]
fn each_token_is_accepted_or_rejected_with_its_code() {
    for signer in [Signer::ed("k1"), Signer::es("k1")] {
        let keys = set(&[signer.public(json!({}))]);
        let result = |token: &str| {
            verify_token(token, &keys, &rules(), NOW)
                .map(|c| c.subject)
                .map_err(|r| r.code())
        };
        let good = Ok("secretary".to_string());
        let signed = |c: Value| result(&signer.sign(&c));
        assert_eq!(signed(claims()), good);
        assert_eq!(signed(with("aud", json!(["other", "bitternlatch"]))), good);
        assert_eq!(signed(with("aud", json!("other"))), Err("token_audience"));
        assert_eq!(
            signed(with("iss", json!("https://else"))),
            Err("token_issuer")
        );
        assert_eq!(
            signed(with("exp", json!(NOW - 29))),
            good,
            "within the tolerated clock skew"
        );
        assert_eq!(signed(with("exp", json!(NOW - 30))), Err("token_expired"));
        assert_eq!(signed(with("nbf", json!(NOW + 30))), good);
        assert_eq!(signed(with("nbf", json!(NOW + 31))), Err("token_not_yet"));
        assert_eq!(signed(with("exp", json!(-1))), Err("token_malformed"));
        assert_eq!(signed(with("exp", json!(u64::MAX))), good);
        assert_eq!(signed(with("sub", json!(""))), Err("token_malformed"));
        assert_eq!(
            signed(with("sub", json!("line\nbreak"))),
            Err("token_malformed")
        );
        assert_eq!(
            signed(with("groups", json!(vec!["g"; 65]))),
            Err("token_malformed")
        );
        for name in ["iss", "aud", "exp", "sub"] {
            assert_eq!(signed(without(name)), Err("token_malformed"), "{name}");
        }
        let alg = signer.alg();
        let raw = |header: String, claims: &str| result(&signer.sign_raw(&header, claims));
        let text = claims().to_string();
        let twice = text.replacen('{', "{\"sub\":\"director\",", 1);
        let head = |more: &str| format!("{{\"alg\":\"{alg}\",\"kid\":\"k1\"{more}}}");
        assert_eq!(raw(head(""), &text), good);
        assert_eq!(
            raw(head(""), &twice),
            Err("token_malformed"),
            "a duplicate claim"
        );
        assert_eq!(
            raw(head(",\"kid\":\"k1\""), &text),
            Err("token_malformed"),
            "a duplicate header member"
        );
        assert_eq!(
            raw(head(",\"crit\":[\"exp\"]"), &text),
            Err("token_malformed")
        );
        assert_eq!(
            raw(head(",\"jku\":\"http://127.0.0.1/\""), &text),
            Err("token_malformed")
        );
        assert_eq!(
            raw(head(",\"typ\":\"secevent+jwt\""), &text),
            Err("token_malformed")
        );
        assert_eq!(
            raw(format!("{{\"alg\":\"{alg}\"}}"), &text),
            Err("token_malformed"),
            "no key id"
        );
        assert_eq!(
            raw(format!("{{\"alg\":\"{alg}\",\"kid\":\"k2\"}}"), &text),
            Err("token_key_unknown")
        );
        for alg in ["none", "None", "HS256", "RS256", "ES384", ""] {
            let header = format!("{{\"alg\":\"{alg}\",\"kid\":\"k1\"}}");
            assert_eq!(raw(header, &text), Err("token_algorithm"), "{alg}");
        }
        let message = format!(
            "{}.{}",
            B64.encode("{\"alg\":\"none\",\"kid\":\"k1\"}"),
            B64.encode(&text)
        );
        assert_eq!(
            result(&format!("{message}.")),
            Err("token_algorithm"),
            "algorithm none, without a signature"
        );
        // A token signed by HMAC with the public key as the secret (algorithm confusion).
        let public = signer.public(json!({})).to_string();
        let secret = EncodingKey::from_secret(public.as_bytes()).expect("a secret");
        let header = Header {
            kid: Some("k1".into()),
            ..Header::new(Algorithm::HS256)
        };
        let hmac = jsonwebtoken::encode(&header, &claims(), &secret).expect("a token");
        assert_eq!(result(&hmac), Err("token_algorithm"));
        let token = signer.sign(&claims());
        let (body, signature) = token.rsplit_once('.').expect("a signature");
        let other = Signer::ed("k1").sign(&claims());
        assert_eq!(
            result(&format!(
                "{body}.{}",
                other.rsplit('.').next().expect("one")
            )),
            Err("token_signature")
        );
        assert_eq!(
            result(&format!("{body}.{}", &signature[1..])),
            Err("token_signature")
        );
        assert_eq!(result(&format!("{body}.")), Err("token_signature"));
        for broken in [
            "",
            ".",
            "..",
            "a.b.c",
            "a.b.c.d",
            &format!("{token}.x"),
            &format!(" {token}"),
        ] {
            assert_eq!(result(broken), Err("token_malformed"), "{broken}");
        }
        assert_eq!(
            result(&"a".repeat(MAX_TOKEN_BYTES + 1)),
            Err("token_too_long")
        );
        assert_eq!(key_id(&token).as_deref(), Some("k1"));
    }
}

#[test]
fn old_key_is_valid_during_the_overlap_and_not_after() {
    let (old, new) = (Signer::ed("old"), Signer::ed("new"));
    let rotation = NOW + 100;
    let keys = set(&[
        old.public(json!({ "exp": rotation + 60 })),
        new.public(json!({ "nbf": rotation })),
    ]);
    let rules = TokenRules {
        skew_s: 0,
        ..rules()
    };
    let at = |signer: &Signer, t: u64| {
        let mut claims = claims();
        claims["exp"] = (t + 10).into();
        verify_token(&signer.sign(&claims), &keys, &rules, t)
            .map(|c| c.key_id)
            .map_err(|r| r.code())
    };
    assert_eq!(at(&old, rotation - 1), Ok("old".into()));
    assert_eq!(
        at(&new, rotation - 1),
        Err("token_key_withdrawn"),
        "published, not valid yet"
    );
    assert_eq!(
        at(&old, rotation + 1),
        Ok("old".into()),
        "a second after the rotation"
    );
    assert_eq!(at(&new, rotation + 1), Ok("new".into()));
    assert_eq!(at(&old, rotation + 60), Err("token_key_withdrawn"));
    let states = |t| [keys.state("old", t), keys.state("new", t)].map(|s| s.expect("in the set"));
    assert_eq!(
        states(rotation - 1),
        [KeyState::Signing, KeyState::Announced]
    );
    assert_eq!(states(rotation), [KeyState::Accepted, KeyState::Signing]);
    assert_eq!(
        states(rotation + 60),
        [KeyState::Withdrawn, KeyState::Signing]
    );
    let revoked = set(&[
        old.public(json!({ "revoked": { "revoked_at": NOW } })),
        new.public(json!({})),
    ]);
    let token = old.sign(&claims());
    assert_eq!(
        verify_token(&token, &revoked, &rules, NOW)
            .map_err(|r| r.code())
            .err(),
        Some("token_key_withdrawn")
    );
}

#[test]
fn invalid_key_sets_are_rejected() {
    let (one, two) = (Signer::ed("k"), Signer::es("k"));
    let fault = |document: String| {
        KeySet::parse(document.as_bytes())
            .expect_err(&document)
            .to_string()
    };
    let document = |keys: &[Value]| json!({ "keys": keys }).to_string();
    let duplicate = document(&[one.public(json!({})), two.public(json!({}))]);
    assert!(fault(duplicate).contains("two keys have the id 'k'"));
    assert!(fault(document(&[one.public(json!({ "d": "AA" }))])).contains("private"));
    assert!(
        fault(document(&[one.public(json!({ "nbf": 9, "exp": 9 }))]))
            .contains("expires before it becomes valid")
    );
    assert!(fault(document(&[one.public(json!({ "kid": "" }))])).contains("no id"));
    assert!(fault(document(&[])).contains("no Ed25519"));
    assert!(fault(document(&vec![one.public(json!({})); 33])).contains("33 keys"));
    assert!(fault("{\"keys\":[],\"keys\":[]}".into()).contains("duplicate member 'keys'"));
    assert!(fault("<html>".into()).contains("key set"));
    assert!(fault(" ".repeat(70_000)).contains("70000 bytes"));
    let oct = json!({ "kty": "oct", "kid": "h", "k": "AA" });
    let mixed = set(&[
        oct,
        one.public(json!({ "use": "enc", "kid": "e" })),
        two.public(json!({})),
    ]);
    assert_eq!(
        mixed.ids().collect::<Vec<_>>(),
        ["k"],
        "unsupported key types are ignored"
    );
}

/// Whether the library accepts the token with one of the keys. Its time checks use the system clock and are disabled.
fn library_accepts(token: &str, keys: &[(&str, Algorithm, DecodingKey)]) -> bool {
    keys.iter().any(|(_, algorithm, key)| {
        let mut v = Validation::new(*algorithm);
        v.validate_exp = false;
        v.set_audience(&["bitternlatch"]);
        v.set_issuer(&["https://issuer"]);
        v.set_required_spec_claims(&["iss", "aud", "sub"]);
        jsonwebtoken::decode::<Value>(token, key, &v).is_ok()
    })
}

/// Default number of property test cases; `PROPTEST_CASES` overrides it.
const CASES: u32 = 1_500;

#[test]
fn no_token_is_accepted_that_the_library_rejects() {
    let (ed, es) = (Signer::ed("ed"), Signer::es("es"));
    let publics = [ed.public(json!({})), es.public(json!({}))];
    let keys = set(&publics);
    let jwk = |v: &Value| serde_json::from_value::<Jwk>(v.clone()).expect("a key");
    let library = [
        (
            "ed",
            Algorithm::EdDSA,
            DecodingKey::from_jwk(&jwk(&publics[0])).expect("a key"),
        ),
        (
            "es",
            Algorithm::ES256,
            DecodingKey::from_jwk(&jwk(&publics[1])).expect("a key"),
        ),
    ];
    let seeds = [
        ed.sign(&claims()),
        es.sign(&claims()),
        ed.sign(&with("aud", json!("other"))),
    ];
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|c| c.parse().ok())
        .unwrap_or(CASES);
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let edits = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..4u8), 0..4);
    let (mut accepted, mut rejected) = (0u64, 0u64);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let strategy = (0..seeds.len() + 1, edits, "\\PC{0,60}");
    let counts = std::cell::RefCell::new((&mut accepted, &mut rejected));
    runner
        .run(&strategy, |(which, edits, noise)| {
            let mut bytes = seeds
                .get(which)
                .map_or(noise.into_bytes(), |s| s.clone().into_bytes());
            for (at, value, kind) in edits {
                if bytes.is_empty() {
                    break;
                }
                let i = at.index(bytes.len());
                match kind {
                    0 => bytes[i] = value,
                    1 => bytes[i] ^= 1 << (value % 7),
                    2 => drop(bytes.remove(i)),
                    _ => bytes.insert(i, b"AZaz09-_.="[usize::from(value) % 10]),
                }
            }
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let ours = verify_token(&text, &keys, &rules(), NOW);
            key_id(&text);
            let mut counts = counts.borrow_mut();
            match &ours {
                Ok(_) => {
                    *counts.0 += 1;
                    prop_assert!(library_accepts(&text, &library), "{text}");
                }
                Err(TokenError::TooLong) => prop_assert!(text.len() > MAX_TOKEN_BYTES),
                Err(_) => *counts.1 += 1,
            }
            Ok(())
        })
        .expect("no case fails");
    assert!(
        accepted > 50 && rejected > 50,
        "{accepted} accepted, {rejected} rejected"
    );
}
