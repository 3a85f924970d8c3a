use super::*;

#[test]
fn learning_raises_ballots_and_is_no_vote() {
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
    let (mut one, mut other) = (Acceptor::default(), Acceptor::default());
    assert_eq!(other.prepare(ballot(7)), Ok(true));
    assert_eq!(one.accept(ballot(5), &state), Ok(true));
    assert!(other.learn(one.clone()) && !other.learn(one.clone()));
    assert_eq!(other.promised, Some(ballot(7)));
    assert_eq!(
        other.accepted.as_ref().map(|a| (a.ballot, a.voted)),
        Some((ballot(5), false))
    );
    // The same one again from its proposer: taken by the one that took it, refused by the one that learnt it.
    assert_eq!(one.accept(ballot(5), &state), Ok(false));
    assert_eq!(other.accept(ballot(5), &state), Err(ballot(7)));
    assert_eq!(one.prepare(ballot(5)), Err(ballot(6)));
}
