use super::*;

#[test]
fn learned_state_raises_ballots_and_does_not_count_as_vote() {
    let ballot = |round| Ballot {
        round,
        proposer: NameKey(1),
        start: 1,
    };
    let version = Version {
        epoch: 1,
        count: 1,
        writer: NameKey(1),
        start: 1,
    };
    let state = State {
        version,
        replaces: None,
        body: Some(vec![1]),
    };
    let (mut voter, mut learner) = (Acceptor::default(), Acceptor::default());
    assert_eq!(learner.prepare(ballot(7)), Ok(true));
    assert_eq!(voter.accept(ballot(5), &state), Ok(true));
    assert!(learner.learn(voter.clone()) && !learner.learn(voter.clone()));
    assert_eq!(learner.promised, Some(ballot(7)));
    assert_eq!(
        learner.accepted.as_ref().map(|a| (a.ballot, a.voted)),
        Some((ballot(5), false))
    );
    // The proposer repeats the accept request: the acceptor that voted for the state accepts it, the one that learned it rejects
    // it.
    assert_eq!(voter.accept(ballot(5), &state), Ok(false));
    assert_eq!(learner.accept(ballot(5), &state), Err(ballot(7)));
    assert_eq!(voter.prepare(ballot(5)), Err(ballot(6)));
}
