use bitternlatch_quota_lease::Process;

use super::*;
use crate::register::Version;

const VERSION: Version = Version {
    epoch: 1,
    count: 1,
    writer: NameKey(9),
    start: 1,
};

fn proposal(operation: Operation) -> (Proposal, IdAllocator) {
    let mut ids = IdAllocator::new(Process {
        name: NameKey(9),
        start: 1,
    });
    let replicas = (1..=3).map(NameKey).collect();
    let mut proposal = Proposal::new(
        CallId(1),
        RegisterKey([0; 16]),
        replicas,
        Duration::MAX,
        operation,
        &mut ids,
    );
    proposal.start(None, &mut ids);
    (proposal, ids)
}

fn provenance(incarnation: u64, other: u32, other_incarnation: u64) -> Provenance {
    Provenance {
        incarnation,
        count: 1,
        incarnations: vec![(NameKey(other), other_incarnation)],
    }
}

fn accepted(round: u64, voted: bool) -> Option<Accepted> {
    let state = State {
        version: VERSION,
        replaces: None,
        body: Some(vec![1]),
    };
    Some(Accepted {
        ballot: Ballot {
            round,
            proposer: NameKey(9),
            start: 1,
        },
        state,
        voted,
    })
}

#[test]
fn learned_state_does_not_count_as_vote() {
    let (mut proposal, mut ids) = proposal(Operation::Read);
    let ballot = proposal.ballot;
    let next = proposal.on_promise(
        NameKey(1),
        ballot,
        provenance(1, 2, 1),
        accepted(1, true),
        &mut ids,
    );
    assert_eq!(next, NextStep::Wait);
    let next = proposal.on_promise(
        NameKey(2),
        ballot,
        provenance(1, 1, 1),
        accepted(1, false),
        &mut ids,
    );
    assert_eq!(next, NextStep::Wait);
    let next = proposal.on_promise(NameKey(3), ballot, provenance(1, 1, 1), None, &mut ids);
    assert_eq!((next, &proposal.phase), (NextStep::Send, &Phase::Preparing));
}

#[test]
fn vote_of_ended_incarnation_is_requested_again() {
    let (mut proposal, mut ids) = proposal(Operation::Write(Write {
        expected: None,
        epoch: 1,
        body: Some(vec![1]),
    }));
    let ballot = proposal.ballot;
    proposal.on_promise(NameKey(1), ballot, provenance(1, 2, 1), None, &mut ids);
    let next = proposal.on_promise(NameKey(2), ballot, provenance(1, 1, 1), None, &mut ids);
    assert_eq!(next, NextStep::Send);
    assert_eq!(
        proposal.on_accepted(NameKey(1), ballot, provenance(1, 2, 1), &mut ids),
        NextStep::Wait
    );
    // The second replica reports that the first has begun a new incarnation. The first may have caught up from the state that the
    // second held before it accepted this write, so the earlier vote of the first does not count.
    assert_eq!(
        proposal.on_accepted(NameKey(2), ballot, provenance(1, 1, 2), &mut ids),
        NextStep::Wait
    );
    let receivers: Vec<NameKey> = proposal.message().map(|(_, to)| to).unwrap_or_default();
    assert_eq!(receivers, [NameKey(1), NameKey(3)]);
    let next = proposal.on_accepted(NameKey(1), ballot, provenance(2, 2, 1), &mut ids);
    assert!(matches!(next, NextStep::Done(Outcome::Written(_), Some(_))));
}
