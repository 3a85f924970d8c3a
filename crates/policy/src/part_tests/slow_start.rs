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

fn input(cost: f64) -> SlowStartInput {
    SlowStartInput {
        role: Role::Decode,
        role_capacity: RoleCapacity {
            live_servers: 10.0,
            warm_equivalents: 9.25,
        },
        replicas_per_key: 2,
        recent_key_fraction: 0.0,
        is_replica: false,
        cost,
        arrivals_per_s: 100.0,
        speed: 1.0,
        answers_per_s: None,
        first_turn: 0.0,
    }
}

/// Turns among 1,000 requests that arrive within 10 ms.
fn turns(account: &mut SlowStartAccount, cost: f64, now: f64) -> usize {
    let limiter = limiter();
    let arrivals = (0..1000).map(|n| now + 1e-5 * f64::from(n));
    arrivals
        .filter(|at| limiter.grant_turn(account, input(cost), NOW, *at))
        .count()
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
fn turns_come_at_the_budget_of_the_start_capacity() {
    // 0.588 responses per choice over 9.25 warm equivalents, times the overload budget of 2.5 *
    // 0.8, times the start capacity of 0.25: 0.0318 of all requests.
    assert_eq!(turns(&mut SlowStartAccount::default(), 1.0, NOW), 31);
}

#[test]
fn requests_of_more_than_mean_work_get_fewer_turns() {
    assert_eq!(turns(&mut SlowStartAccount::default(), 4.0, NOW), 7);
}

/// Time alone does not open the limit: the server may warm up by the requests that it receives.
#[test]
fn server_that_received_nothing_keeps_its_start_capacity() {
    let (limiter, account) = (limiter(), SlowStartAccount::default());
    assert_eq!(limiter.assumed_capacity(&account, NOW, NOW + 9.0), 0.25);
}

#[test]
fn assumed_capacity_grows_with_what_was_sent_and_no_faster_than_with_time() {
    let limiter = limiter();
    let mut unused = SlowStartAccount::default();
    turns(&mut unused, 1.0, NOW);
    let mut used = unused;
    (0..31).for_each(|_| used.record_sent(1.0));
    let capacity = |account, age_s| limiter.assumed_capacity(account, NOW, NOW + age_s);
    assert!(capacity(&used, 9.0) > capacity(&unused, 9.0));
    assert_eq!(capacity(&used, 0.0), 0.25);
}

/// Guards against a budget that is a share of what the role does: the share rises while others of
/// the role are away, and what one cold server can bear does not.
#[test]
fn cold_server_keeps_its_own_budget_while_others_of_its_role_are_away() {
    /// Requests per second at this router and at each server of the role.
    const ARRIVALS_PER_S: f64 = 30.0;
    const ANSWERS_PER_S: f64 = 3.0;
    const SECONDS: f64 = 40.0;
    let limiter = limiter();
    let turns = |live_servers: f64, speed: f64| {
        let mut account = SlowStartAccount::default();
        let input = SlowStartInput {
            role_capacity: RoleCapacity {
                live_servers,
                warm_equivalents: live_servers - 0.75,
            },
            speed,
            answers_per_s: Some(ANSWERS_PER_S),
            ..input(1.0)
        };
        let arrivals =
            (0..(ARRIVALS_PER_S * SECONDS) as u32).map(|n| NOW + f64::from(n) / ARRIVALS_PER_S);
        arrivals
            // The server stays as cold as at its start.
            .filter(|at| limiter.grant_turn(&mut account, input, *at, *at))
            .count()
    };
    // 2.5 * 0.8 times the start capacity of 0.25, of what a warm server answers in that time.
    let budget = 0.5 * ANSWERS_PER_S * SECONDS;
    for live_servers in [6.0, 4.0, 2.0] {
        let turns = turns(live_servers, 1.0) as f64;
        assert!(
            (0.9 * budget..=budget + 1.0).contains(&turns),
            "{live_servers}: {turns}"
        );
    }
    let slow = turns(2.0, 0.6) as f64;
    assert!(
        (0.5 * budget..=0.6 * budget + 1.0).contains(&slow),
        "{slow}"
    );
}
