use super::*;
use proptest::prelude::*;

fn any_ballot() -> impl Strategy<Value = Ballot> {
    (0..1u64 << 62, any::<u32>(), any::<u64>()).prop_map(|(round, proposer, start)| Ballot {
        round,
        proposer: NameKey(proposer),
        start,
    })
}

fn any_state() -> impl Strategy<Value = State> {
    let version = (any::<u64>(), 0..1u64 << 62, any::<u32>(), any::<u64>());
    let body = proptest::option::of(proptest::collection::vec(any::<u8>(), 0..300));
    (version, body).prop_map(|((epoch, count, writer, start), body)| {
        let version = Version {
            epoch,
            count,
            writer: NameKey(writer),
            start,
        };
        State {
            version,
            replaces: (count % 2 == 0).then_some(version),
            body,
        }
    })
}

fn any_message() -> impl Strategy<Value = Message> {
    let key = any::<[u8; 16]>().prop_map(RegisterKey);
    (0..8, key, any_ballot(), any_state(), any::<u64>()).prop_map(
        |(variant, key, ballot, state, n)| {
            let provenance = Provenance {
                incarnation: n,
                count: n / 2,
                incarnations: vec![(ballot.proposer, n)],
            };
            let session = TransferSession {
                start: n,
                number: n / 3,
            };
            match variant {
                0 => Message::Read { key, ballot },
                1 => Message::Accept { key, ballot, state },
                2 => Message::Promise {
                    key,
                    ballot,
                    provenance,
                    accepted: Some(Accepted {
                        ballot,
                        state,
                        voted: true,
                    }),
                },
                3 => Message::Accepted {
                    key,
                    ballot,
                    provenance,
                },
                4 => Message::Rejected {
                    key,
                    ballot,
                    reason: RejectReason::HigherBallot(ballot),
                },
                5 => Message::FetchState {
                    session,
                    incarnation: n,
                    count: n,
                    after: Some(key),
                },
                6 => Message::Forget {
                    key,
                    version: state.version,
                },
                _ => Message::StateChunk(Box::new(StateChunk {
                    session,
                    after: None,
                    up_to: Some(key),
                    completeness: Completeness::Lost,
                    missing: vec![ballot.proposer],
                    incarnations: vec![(
                        ballot.proposer,
                        Incarnation {
                            number: n,
                            count: n,
                            lost: true,
                        },
                    )],
                    items: vec![1, 2, 3],
                    sum: 0,
                })),
            }
        },
    )
}

proptest! {
    #[test]
    fn messages_round_trip_and_bad_bytes_are_rejected(message in any_message(), position in 0usize..400, flip in any::<u8>()) {
        let bytes = message.encode();
        prop_assert_eq!(Message::decode(&bytes), Ok(message));
        let mut corrupted = bytes.clone();
        let at = position % bytes.len();
        corrupted[at] ^= flip | 1;
        if at == 0 {
            prop_assert_eq!(Message::decode(&corrupted), Err(RegisterError::UnsupportedVersion(corrupted[0])));
        } else if let Ok(Message::StateChunk(chunk)) = Message::decode(&corrupted) {
            prop_assert!(chunk.decode_items().is_none());
        }
        let _ = Message::decode(&bytes[..at]);
    }
}
