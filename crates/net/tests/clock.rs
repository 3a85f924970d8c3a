//! A wall clock that jumps under a guard that serves.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternlatch_core::settings::Identity;
use bitternlatch_core::Input;
use bitternlatch_keys::Ring;
use bitternlatch_net::driver::{events, Event};
use bitternlatch_net::guard::{self, unix, Guard};
use crossbeam_channel::Receiver;
use serde_json::json;

const RIGHTS: &str = include_str!("../../../deploy/rights.toml");

/// The next move of the judged time that the loop is told, in whole seconds.
fn told(from: &Receiver<Event>) -> i64 {
    let by = Instant::now() + Duration::from_secs(20);
    while let Ok(event) = from.recv_deadline(by) {
        if let Event::Input(Input::CredentialClockOffset { ahead_us }) = event {
            return (ahead_us as f64 / 1e6).round() as i64;
        }
    }
    panic!("no move was told");
}

fn code(guard: &Guard, token: &str) -> &'static str {
    guard.check(token).map_or_else(|r| r.code(), |_| "good")
}

#[test]
fn a_jump_is_doubted_first_and_followed_when_it_stays() {
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("clock");
    std::fs::create_dir_all(&dir).expect("a folder");
    let mut ring = Ring::default();
    ring.announce(unix() as u64 - 10_000).expect("a key");
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
    let wall: guard::Wall = Arc::new(move || unix() + by.load(Ordering::SeqCst) as f64);
    let (to, from) = events();
    let guard = guard::start(&identity, &dir, None, wall, to).expect("a guard");
    let token = |ends_in: i64| {
        let ends = (unix() as i64 + ends_in) as u64;
        ring.sign(
            unix() as u64,
            &json!({ "iss": "i", "aud": "a", "sub": "ann", "exp": ends }),
        )
        .expect("a token")
    };
    let (good, ended) = (token(1000), token(-1000));
    assert_eq!(
        (code(&guard, &good), code(&guard, &ended)),
        ("good", "token_expired")
    );

    // Set back: what has ended does not come back while the jump may be an error.
    ahead.store(-5000, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(
        (code(&guard, &good), code(&guard, &ended)),
        ("good", "token_expired")
    );
    // It was one: nothing is told, and a jump forward that stays is.
    ahead.store(0, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(600));
    ahead.store(5000, Ordering::SeqCst);
    assert_eq!(code(&guard, &good), "good", "not at once");
    assert_eq!(told(&from), 5000);
    assert_eq!(code(&guard, &good), "token_expired");
}
