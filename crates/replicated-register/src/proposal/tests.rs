use bitternlatch_quota_lease::Process;

use super::*;
use crate::register::Version;

const ON: Version = Version {
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

fn provenance(incarnation: u64, other: u32, known: u64) -> Provenance {
    Provenance {
        incarnation,
        count: 1,
        incarnations: vec![(NameKey(other), known)],
    }
}

fn accepted(round: u64, voted: bool) -> Option<Accepted> {
    let state = State {
        version: ON,
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
fn learned_state_is_no_vote() {
    let (mut proposal, mut ids) = proposal(Operation::Read);
    let look = proposal.ballot;
    let next = proposal.on_promise(
        NameKey(1),
        look,
        provenance(1, 2, 1),
        accepted(1, true),
        &mut ids,
    );
    assert_eq!(next, NextStep::Wait);
    let next = proposal.on_promise(
        NameKey(2),
        look,
        provenance(1, 1, 1),
        accepted(1, false),
        &mut ids,
    );
    assert_eq!(next, NextStep::Wait);
    let next = proposal.on_promise(NameKey(3), look, provenance(1, 1, 1), None, &mut ids);
    assert_eq!((next, &proposal.phase), (NextStep::Send, &Phase::Preparing));
}

#[test]
fn vote_of_an_ended_incarnation_is_requested_again() {
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
    // The second one has heard meanwhile that the first has begun anew, and may have told it what it held before this.
    assert_eq!(
        proposal.on_accepted(NameKey(2), ballot, provenance(1, 1, 2), &mut ids),
        NextStep::Wait
    );
    let asked: Vec<NameKey> = proposal.message().map(|(_, to)| to).unwrap_or_default();
    assert_eq!(asked, [NameKey(1), NameKey(3)]);
    let next = proposal.on_accepted(NameKey(1), ballot, provenance(2, 2, 1), &mut ids);
    assert!(matches!(next, NextStep::Done(Outcome::Written(_), Some(_))));
}
