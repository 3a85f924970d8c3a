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
    let message = errors.iter().map(|e| (e.to_string(), e.advice()));
    let announced = events.iter().map(|e| (e.to_string(), e.advice()));
    let words: std::collections::BTreeSet<String> = message
        .chain(announced)
        .inspect(|(_, advice)| assert!(advice.len() >= 7))
        .map(|(text, _)| text)
        .collect();
    assert_eq!(words.len(), errors.len() + events.len());
}
