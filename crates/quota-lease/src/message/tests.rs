use std::time::Duration;

use super::*;
use crate::{ServerCondition, ServerNumber};

#[test]
fn messages_round_trip_and_other_lengths_fail() {
    let (number, leader) = (RequestNumber(1 << 40), Some(NameKey(7)));
    let (server, age) = (ServerNumber(1 << 31), Duration::from_millis(25_500));
    let observation = Observation {
        server,
        condition: ServerCondition::Draining,
        age,
    };
    let report = PeerReport {
        server,
        condition: ServerCondition::WarmingUp,
        reporters: 255,
        age,
    };
    let all = [
        Message::VoteRequest { number, roster: 9 },
        Message::VoteGranted { number },
        Message::VoteDenied { number, leader },
        Message::VoteDenied {
            number,
            leader: None,
        },
        Message::VoteReleased { number },
        Message::LeaseRequest {
            number,
            roster: 9,
            observations: vec![],
        },
        Message::LeaseRequest {
            number,
            roster: 9,
            observations: vec![observation; MAX_OBSERVATIONS],
        },
        Message::LeaseGranted {
            number,
            leased_ppm: 166_666,
            members: 299,
            reports: vec![report; MAX_REPORTS],
        },
        Message::NotLeader { number, leader },
        Message::Leave,
    ];
    for message in all {
        let bytes = message.encode();
        assert!(bytes.len() <= MAX_MESSAGE);
        assert_eq!(Message::decode(&bytes), Ok(message.clone()));
        for n in 0..bytes.len() {
            assert_ne!(Message::decode(&bytes[..n]), Ok(message.clone()));
        }
        assert_eq!(
            Message::decode(&[&bytes[..], &[0]].concat()),
            Err(DecodeError)
        );
    }
    assert_eq!(Message::decode(&[8; 9]), Err(DecodeError));
}
