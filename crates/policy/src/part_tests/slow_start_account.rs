//! Unit tests of `choice/slow_start_account.rs`.

use super::*;

fn grant(turn_probability: f64) -> Grant {
    Grant {
        turn_probability,
        work: 0.1,
        progress: 0.0,
        first_turn: 0.5,
    }
}

#[test]
fn turns_come_at_even_distances() {
    let mut account = SlowStartAccount::default();
    let turns: Vec<bool> = (0..12).map(|_| account.grant(grant(0.25))).collect();
    let at: Vec<usize> = (0..12).filter(|n| turns[*n]).collect();
    assert_eq!(at, [1, 5, 9], "from an offset of 0.5 every fourth request");
}

/// Requests that come out of turn, such as retries, use up what the server may receive.
#[test]
fn every_attempt_uses_the_allowance() {
    let mut account = SlowStartAccount::default();
    account.record_sent(1.0);
    assert!(account.has_allowance(), "two may be sent");
    account.record_sent(1.0);
    assert!(!account.has_allowance());
    (0..11).for_each(|_| {
        account.grant(grant(0.0));
    });
    assert!(account.has_allowance(), "granted again");
    account.record_sent(5.0);
    (0..30).for_each(|_| {
        account.grant(grant(0.0));
    });
    assert!(
        !account.has_allowance(),
        "a heavy request counts by its work"
    );
}

#[test]
fn unused_allowance_is_bounded() {
    let mut account = SlowStartAccount::default();
    (0..1000).for_each(|_| {
        account.grant(grant(0.0));
    });
    (0..2).for_each(|_| account.record_sent(1.0));
    assert!(!account.has_allowance());
}

#[test]
fn work_is_earned_with_time_and_not_with_requests() {
    let mut account = SlowStartAccount::default();
    let mut granted = 0.0;
    for n in 0..1000 {
        granted += account.earn(2.0, 1.0, 0.01 * f64::from(n));
    }
    assert!((granted - 2.0 * 9.99).abs() < 1e-6, "{granted}");
    assert_eq!(account.earn(2.0, 100.0, 1_000.0), MAX_EARNED);
}

/// Guards against attempts that never arrived counting as warm-up.
#[test]
fn attempts_that_reach_no_server_warm_nothing_up() {
    let progress = |received: bool| {
        let mut account = SlowStartAccount::default();
        for _ in 0..20 {
            account.grant(Grant {
                work: 1.0,
                progress: 0.05,
                ..grant(1.0)
            });
            account.record_sent(1.0);
            if !received {
                account.record_not_received(1.0);
            }
        }
        account.progress()
    };
    assert!(progress(true) > 0.9, "{}", progress(true));
    assert!(progress(false) < 0.1, "{}", progress(false));
}
