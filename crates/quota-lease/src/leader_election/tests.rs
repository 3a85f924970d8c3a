use super::*;

const MS: Duration = Duration::from_millis(1);

fn election(own: u32) -> LeaderElection {
    let roster = (1..=3).map(NameKey).collect();
    LeaderElection::new(process(own, 1), &roster, Duration::ZERO)
}

fn process(name: u32, start: u64) -> Process {
    Process {
        name: NameKey(name),
        start,
    }
}

#[test]
fn voter_promises_one_process_and_abstains_after_start() {
    let mut voter = election(1);
    let mut request_vote = |at: u32, name, start, number| {
        voter.on_vote_request(MS * at, process(name, start), RequestNumber(number))
    };
    assert_eq!(
        request_vote(1499, 2, 1, 1),
        Verdict::Denied(None),
        "an earlier start may have made a promise"
    );
    assert_eq!(request_vote(1500, 2, 1, 2), Verdict::Granted);
    assert_eq!(
        request_vote(2000, 3, 1, 1),
        Verdict::Denied(Some(NameKey(2)))
    );
    assert_eq!(
        request_vote(2000, 2, 2, 1),
        Verdict::Denied(Some(NameKey(2))),
        "a restarted process is another candidate"
    );
    assert_eq!(request_vote(2500, 2, 1, 3), Verdict::Granted);
    assert_eq!(
        request_vote(3999, 3, 1, 2),
        Verdict::Denied(Some(NameKey(2)))
    );
    assert_eq!(request_vote(4000, 3, 1, 3), Verdict::Granted);
    assert_eq!(
        request_vote(9000, 4, 1, 3),
        Verdict::Denied(None),
        "a candidate that is not a voter"
    );
}

#[test]
fn delayed_release_or_request_changes_no_later_promise() {
    let mut voter = election(1);
    let (two, three) = (process(2, 1), process(3, 1));
    assert_eq!(
        voter.on_vote_request(MS * 2000, two, RequestNumber(5)),
        Verdict::Granted
    );
    voter.on_vote_released(MS * 2001, two, RequestNumber(4));
    assert_eq!(
        voter.on_vote_request(MS * 2002, three, RequestNumber(1)),
        Verdict::Denied(Some(NameKey(2)))
    );
    voter.on_vote_released(MS * 2003, two, RequestNumber(5));
    assert_eq!(
        voter.on_vote_request(MS * 2004, three, RequestNumber(2)),
        Verdict::Granted
    );
    assert_eq!(
        voter.on_vote_request(MS * 2005, three, RequestNumber(2)),
        Verdict::Denied(None)
    );
}

#[test]
fn lease_runs_from_the_request_of_one_majority() {
    let mut candidate = election(1);
    candidate.start_vote(MS * 2000, RequestNumber(1));
    candidate.on_vote_granted(MS * 2100, NameKey(1), RequestNumber(1));
    candidate.on_vote_granted(MS * 2100, NameKey(1), RequestNumber(1));
    assert_eq!(
        candidate.leader_since(MS * 2100),
        None,
        "one voter of three, twice"
    );
    candidate.start_vote(MS * 2200, RequestNumber(2));
    candidate.on_vote_granted(MS * 2210, NameKey(2), RequestNumber(1));
    candidate.on_vote_granted(MS * 2300, NameKey(3), RequestNumber(2));
    assert_eq!(
        candidate.leader_since(MS * 2300),
        None,
        "grants of two different votes"
    );
    candidate.on_vote_granted(MS * 2900, NameKey(2), RequestNumber(2));
    assert_eq!(candidate.leader_since(MS * 3669), Some(MS * 2900));
    assert_eq!(
        candidate.leader_since(MS * 3670),
        None,
        "expires at 2.2 s + 98% of 1.5 s"
    );
    candidate.start_vote(MS * 4000, RequestNumber(3));
    candidate.on_vote_granted(MS * 9000, NameKey(1), RequestNumber(3));
    candidate.on_vote_granted(MS * 9000, NameKey(2), RequestNumber(3));
    assert_eq!(
        candidate.leader_since(MS * 9000),
        None,
        "answers delayed beyond the lease by a pause"
    );
}

#[test]
fn number_of_voters_is_odd() {
    let many = |n: u32| voters(&(0..n).map(NameKey).collect()).len();
    assert_eq!([1, 2, 3, 4, 5, 6, 300].map(many), [1, 1, 3, 3, 5, 5, 5]);
}
