use super::*;
use bitternlatch_membership::NameKey;

const MS: Duration = Duration::from_millis(1);

fn leases() -> QuotaLeases {
    QuotaLeases::new(900_000, Duration::ZERO)
}

fn process(name: u32) -> Process {
    Process {
        name: NameKey(name),
        start: 1,
    }
}

#[test]
fn no_grant_while_leases_of_an_earlier_leader_may_be_in_use() {
    let mut leases = leases();
    assert_eq!(leases.grant(MS * 1499, process(1), RequestNumber(1)), None);
    assert_eq!(
        leases.grant(MS * 1500, process(1), RequestNumber(2)),
        Some(900_000)
    );
}

#[test]
fn new_holder_gets_only_expired_quota() {
    let mut leases = leases();
    let mut grant =
        |at: u32, name, number| leases.grant(MS * at, process(name), RequestNumber(number));
    assert_eq!(grant(2000, 1, 1), Some(900_000));
    assert_eq!(
        grant(2100, 2, 1),
        Some(0),
        "the first holder may be using all of it"
    );
    assert_eq!(grant(2300, 1, 2), Some(450_000));
    assert_eq!(
        grant(3499, 2, 2),
        Some(0),
        "the first holder may not have received the smaller lease"
    );
    assert_eq!(grant(3500, 2, 3), Some(450_000));
}

#[test]
fn silent_holders_quota_is_granted_after_expiry() {
    let mut leases = leases();
    let mut grant =
        |at: u32, name, number| leases.grant(MS * at, process(name), RequestNumber(number));
    assert_eq!(grant(2000, 1, 1), Some(900_000));
    assert_eq!(grant(2100, 1, 2), Some(900_000));
    assert_eq!(grant(2200, 2, 1), Some(0));
    assert_eq!(
        grant(3599, 2, 2),
        Some(0),
        "1 ms before the last lease of the first holder expires"
    );
    assert_eq!(grant(3600, 2, 3), Some(900_000));
    assert_eq!(grant(3650, 2, 3), None, "a duplicate request");
}

#[test]
fn release_frees_a_lease_at_once() {
    let mut leases = leases();
    leases.grant(MS * 2000, process(1), RequestNumber(1));
    leases.release(process(1));
    assert_eq!(
        leases.grant(MS * 2010, process(2), RequestNumber(1)),
        Some(900_000)
    );
}
