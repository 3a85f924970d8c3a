//! Unit tests of `choice/slow_start.rs`.

use super::*;

const NOW: f64 = 1_000.0;

fn limiter() -> SlowStartLimiter {
    SlowStartLimiter::new(SlowStart {
        start_capacity: 0.25,
        overload_factor: 2.5,
        window_s: 3.0,
        warm_after_s: 10.0,
    })
}

fn input(draw: f64) -> SlowStartInput {
    SlowStartInput {
        role: Role::Decode,
        start_learned_at: NOW,
        role_capacity: RoleCapacity {
            live_servers: 10.0,
            warm_equivalents: 9.25,
        },
        replicas_per_key: 2,
        recent_key_fraction: 0.0,
        is_replica: false,
        draw,
    }
}

#[test]
fn capacity_grows_linearly_from_the_start() {
    let limiter = limiter();
    assert_eq!(limiter.capacity(0.0, NOW), 1.0, "started long ago");
    assert_eq!(limiter.capacity(NOW, NOW), 0.25);
    assert_eq!(limiter.capacity(NOW, NOW + 4.0), 0.55);
    assert_eq!(limiter.capacity(NOW, NOW + 10.0), 1.0);
}

#[test]
fn admitted_fraction_grows_with_server_age() {
    let limiter = limiter();
    let admitted = |age_s: f64| {
        let draws = (0..1000).map(|draw| f64::from(draw) / 1000.0);
        draws
            .filter(|draw| limiter.admits(input(*draw), NOW + age_s))
            .count()
    };
    // 0.588 responses per choice over 9.25 warm equivalents, times the overload budget of 2.5 *
    // 0.8, times the start capacity of 0.25: 0.0318 of all requests.
    assert_eq!(admitted(0.0), 32);
    assert!(admitted(5.0) > admitted(0.0));
}
