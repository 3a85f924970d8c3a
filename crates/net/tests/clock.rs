//! Jumps of the wall clock while the authenticator checks credentials.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternlatch_core::settings::Identity;
use bitternlatch_core::Input;
use bitternlatch_keys::Ring;
use bitternlatch_net::driver::{event_queue, Event};
use bitternlatch_net::guard::{self, unix_seconds, Authenticator};
use crossbeam_channel::Receiver;
use serde_json::json;

const RIGHTS: &str = include_str!("../../../deploy/rights.toml");

/// Waits for the next offset of the credential time sent to the event loop; returns it rounded to seconds.
fn next_offset_s(from: &Receiver<Event>) -> i64 {
    let by = Instant::now() + Duration::from_secs(20);
    while let Ok(event) = from.recv_deadline(by) {
        if let Event::Input(Input::CredentialClockOffset { ahead_us }) = event {
            return (ahead_us as f64 / 1e6).round() as i64;
        }
    }
    panic!("no clock offset was sent");
}

/// The error code with which the token is rejected, or "good" if it is accepted.
fn code(authenticator: &Authenticator, token: &str) -> &'static str {
    authenticator
        .check_token(token)
        .map_or_else(|r| r.code(), |_| "good")
}

#[test]
fn clock_jump_is_ignored_at_first_and_followed_once_it_persists() {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("clock");
    std::fs::create_dir_all(&dir).expect("a folder");
    let mut ring = Ring::default();
    ring.announce(unix_seconds() as u64 - 10_000)
        .expect("a key");
    ring.write(&dir.join("ring.json"), &dir.join("jwks.json"))
        .expect("files");
    std::fs::write(dir.join("rights.toml"), RIGHTS).expect("a file");
    let identity = Identity {
        issuer: "i".into(),
        audience: "a".into(),
        clock_skew_s: 0,
        keys: Some("jwks.json".into()),
        cache_file: None,
        rights: "rights.toml".into(),
        refresh_interval_s: 60.0,
        cache_lifetime_s: 3600.0,
    };
    let ahead = Arc::new(AtomicI64::new(0));
    let by = Arc::clone(&ahead);
    let wall: guard::WallClock =
        Arc::new(move || unix_seconds() + by.load(Ordering::SeqCst) as f64);
    let (to, from) = event_queue();
    let authenticator = guard::start(&identity, &dir, None, wall, to).expect("an authenticator");
    let token = |ends_in: i64| {
        let ends = (unix_seconds() as i64 + ends_in) as u64;
        ring.sign(
            unix_seconds() as u64,
            &json!({ "iss": "i", "aud": "a", "sub": "ann", "exp": ends }),
        )
        .expect("a token")
    };
    let (good, ended) = (token(1000), token(-1000));
    assert_eq!(
        (code(&authenticator, &good), code(&authenticator, &ended)),
        ("good", "token_expired")
    );

    // After a jump back, an expired token stays rejected while the jump is unconfirmed.
    ahead.store(-5000, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(
        (code(&authenticator, &good), code(&authenticator, &ended)),
        ("good", "token_expired")
    );
    // The clock returns, so no offset is sent for the jump back. A later jump forward that persists is sent.
    ahead.store(0, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(600));
    ahead.store(5000, Ordering::SeqCst);
    assert_eq!(
        code(&authenticator, &good),
        "good",
        "the jump is not followed at once"
    );
    assert_eq!(next_offset_s(&from), 5000);
    assert_eq!(code(&authenticator, &good), "token_expired");
}
