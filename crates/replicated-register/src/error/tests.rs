use super::*;
use crate::Event;
use bitternlatch_membership::NameKey;

#[test]
fn every_error_and_event_has_advice() {
    use RegisterError::*;
    let errors = [
        Malformed,
        UnsupportedVersion(9),
        Conflict { latest: None },
        StaleEpoch { epoch: 1 },
        NoMajority,
        CatchingUp,
        Lost,
        NotStored(StorageError::Full),
        TooLong { bytes: 2, max: 1 },
        Busy,
        Full,
        TimedOut,
    ];
    let by = NameKey(1);
    let events = [
        Event::CaughtUp {
            registers: 1,
            fetched: 1,
        },
        Event::OlderDisk { by },
        Event::DiskErased { by },
        Event::DiskCorrupt,
        Event::DiskFault(StorageError::NoDisk),
        Event::DiskRecovered,
        Event::ReplicaLost(by),
        Event::MajorityLost,
        Event::UnsupportedVersion(by),
    ];
    let error_texts = errors.iter().map(|e| (e.to_string(), e.advice()));
    let event_texts = events.iter().map(|e| (e.to_string(), e.advice()));
    let distinct_texts: std::collections::BTreeSet<String> = error_texts
        .chain(event_texts)
        .inspect(|(_, advice)| assert!(advice.len() >= 7))
        .map(|(text, _)| text)
        .collect();
    assert_eq!(distinct_texts.len(), errors.len() + events.len());
}
