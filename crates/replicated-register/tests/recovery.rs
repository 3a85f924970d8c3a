//! Copies that return, disks that fail, sides that are cut off: what is done, and what is said about it. And what a call costs.

mod cluster_harness;

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState};
use bitternlatch_quota_lease::{Peers, Process, QuotaLease, StorageError};
use bitternlatch_replicated_register::{
    Event, Input, RegisterError, RegisterKey, Replica, Settings, Version,
};
use bitternlatch_replicated_register::{MAX_VALUE_BYTES, TOMBSTONE_RETENTION};
use bitternlatch_simulation::ms;
use cluster_harness::{name, Fleet};

fn key(i: u16) -> RegisterKey {
    let [a, b] = i.to_le_bytes();
    RegisterKey([a, b, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14])
}

/// A fleet that has caught up, with time under way of exactly 5 ms, or what is given.
fn fleet(of: usize, durable: bool, delay: Duration) -> Fleet {
    let mut fleet = Fleet::new(of, durable, 1);
    fleet.run(ms(1000));
    fleet.world.net.delay = (delay, Duration::ZERO);
    fleet
}

/// The places of a register's copies, and one that is not among them.
fn places(fleet: &Fleet, of: RegisterKey) -> (Vec<usize>, Option<usize>) {
    let replicas: Vec<usize> = fleet
        .host(0)
        .replica
        .replicas(of)
        .iter()
        .map(|name| name.0 as usize - 10)
        .collect();
    let other = (0..fleet.disks.len()).find(|i| !replicas.contains(i));
    (replicas, other)
}

/// Writes so many times in a row.
fn write(fleet: &mut Fleet, i: usize, of: RegisterKey, times: usize) -> Version {
    let read = fleet.read(i, of, ms(3000));
    let mut expected = fleet.found(read).expect("it is read");
    for _ in 0..times {
        let call = fleet.write(i, of, expected, 1, ms(3000));
        expected = Some(fleet.written(call).expect("it is written"));
    }
    expected.expect("it was written")
}

fn cut(fleet: &mut Fleet, off: &[usize]) {
    let off: BTreeSet<usize> = off.iter().copied().collect();
    fleet.world.net.passes = Box::new(move |a, b| off.contains(&a) == off.contains(&b));
}

#[test]
fn older_disk_is_reported_and_counts_after_catching_up() {
    let mut fleet = fleet(4, true, ms(1));
    let (replicas, other) = places(&fleet, key(1));
    let [a, b, c] = replicas[..] else {
        panic!("three copies")
    };
    write(&mut fleet, b, key(1), 2);
    fleet.run(ms(2500));
    fleet.kill(a);
    let old = fleet.disks[a].clone();
    fleet.start(a);
    let expected = write(&mut fleet, b, key(1), 2);
    // The last write is at a and b alone.
    cut(&mut fleet, &[c]);
    let last = fleet.write(b, key(1), Some(expected), 1, ms(3000));
    let last = fleet.written(last).expect("two are a majority");
    fleet.run(ms(2500));
    fleet.kill(a);
    fleet.disks[a] = old;
    cut(&mut fleet, &[b]);
    fleet.start(a);
    fleet.run(ms(5000));
    // Without b nobody knows the last write: a and c do not answer for what they do not know.
    let read = fleet.read(c, key(1), ms(1000));
    assert!(!fleet
        .host(a)
        .replica
        .counts_toward_majority(fleet.world.now_at(a), key(1)));
    assert_eq!(fleet.found(read), Err(RegisterError::CatchingUp));
    fleet.world.net.passes = Box::new(|_, _| true);
    fleet.run(ms(2500));
    let read = fleet.read(other.expect("four members"), key(1), ms(1000));
    assert_eq!(fleet.found(read), Ok(Some(last)));
    assert!(fleet
        .host(a)
        .replica
        .counts_toward_majority(fleet.world.now_at(a), key(1)));
    assert_eq!(fleet.saw(|e| matches!(e, Event::OlderDisk { .. })), 1);
    assert!(fleet.saw(|e| *e == Event::ReplicaLost(name(a))) >= 1);
}

#[test]
fn erased_or_corrupt_replica_catches_up_and_two_at_once_are_lost() {
    let mut fleet = fleet(4, true, ms(1));
    let (replicas, other) = places(&fleet, key(1));
    let (a, b, other) = (replicas[0], replicas[1], other.expect("four members"));
    let last = write(&mut fleet, other, key(1), 3);
    fleet.kill(a);
    fleet.disks[a].clear();
    fleet.start(a);
    fleet.run(ms(2000));
    assert!(fleet
        .host(a)
        .replica
        .counts_toward_majority(fleet.world.now_at(a), key(1)));
    assert!(fleet
        .host(a)
        .replica
        .local_values()
        .any(|(held, version, _)| *held == key(1) && version == last));
    assert_eq!(fleet.saw(|e| matches!(e, Event::DiskErased { .. })), 1);
    // Who told it remembers that it has forgotten, though killed at once.
    let c = replicas[2];
    fleet.kill(c);
    fleet.start(c);
    fleet.run(ms(2000));
    assert_eq!(
        fleet
            .events
            .iter()
            .filter(|(i, e)| *i == c && *e == Event::ReplicaLost(name(a)))
            .count(),
        1
    );
    fleet.kill(b);
    fleet.disks[b].values_mut().for_each(|bytes| bytes[2] ^= 1);
    fleet.start(b);
    fleet.run(ms(2000));
    assert!(fleet
        .host(b)
        .replica
        .counts_toward_majority(fleet.world.now_at(b), key(1)));
    assert_eq!(fleet.saw(|e| *e == Event::DiskCorrupt), 1);
    let read = fleet.read(other, key(1), ms(1000));
    assert_eq!(fleet.found(read), Ok(Some(last)));
    for i in [a, b] {
        fleet.kill(i);
        fleet.disks[i].clear();
    }
    fleet.start(a);
    fleet.start(b);
    fleet.run(ms(5000));
    let read = fleet.read(other, key(1), ms(1000));
    assert_eq!(fleet.found(read), Err(RegisterError::Lost));
    let call = fleet.write(other, key(1), None, 9, ms(1000));
    assert_eq!(fleet.written(call), Err(RegisterError::Lost));
    assert_eq!(fleet.saw(|e| *e == Event::MajorityLost), 2);
}

#[test]
fn two_erased_replicas_wait_for_the_one_that_remembers() {
    let mut fleet = fleet(4, false, ms(1));
    let (replicas, _) = places(&fleet, key(1));
    let (a, b) = (replicas[0], replicas[1]);
    write(&mut fleet, a, key(1), 1);
    cut(&mut fleet, &[a, b]);
    for i in [a, b] {
        fleet.kill(i);
        fleet.start(i);
    }
    fleet.run(ms(5000));
    let read = fleet.read(a, key(1), ms(1000));
    assert_eq!(fleet.found(read), Err(RegisterError::CatchingUp));
    fleet.world.net.passes = Box::new(|_, _| true);
    fleet.run(ms(5000));
    let read = fleet.read(a, key(1), ms(1000));
    assert_eq!(fleet.found(read), Err(RegisterError::Lost));
}

#[test]
fn all_replicas_restart_with_their_disks() {
    let mut fleet = fleet(6, true, ms(1));
    let last = write(&mut fleet, 0, key(1), 3);
    (0..6).for_each(|i| fleet.kill(i));
    (0..6).for_each(|i| fleet.start(i));
    // Not even its own disk is believed before somebody was asked.
    assert!((0..6).all(|i| !fleet
        .host(i)
        .replica
        .counts_toward_majority(fleet.world.now_at(i), key(1))));
    let read = fleet.read(1, key(1), ms(3000));
    assert_eq!(fleet.found(read), Ok(Some(last)));
    assert!(fleet.world.now() < ms(2000), "{:?}", fleet.world.now());
}

#[test]
fn deleted_register_does_not_return_with_an_older_disk() {
    let mut fleet = fleet(3, true, ms(1));
    let expected = write(&mut fleet, 0, key(1), 1);
    fleet.run(ms(100));
    let old = fleet.host(1).disk.clone();
    let call = fleet.drop(0, key(1), expected, ms(1000));
    fleet.written(call).expect("let go of");
    fleet.run(TOMBSTONE_RETENTION + ms(2000));
    fleet.kill(1);
    fleet.disks[1] = old;
    fleet.start(1);
    fleet.run(ms(2000));
    for i in 0..3 {
        let read = fleet.read(i, key(1), ms(1000));
        assert_eq!(fleet.found(read), Ok(None));
    }
}

#[test]
fn unsynced_value_is_not_read() {
    let mut fleet = fleet(3, true, ms(1));
    let expected = write(&mut fleet, 0, key(1), 1);
    for i in 0..3 {
        fleet.world.act(i, |host, _, _| host.sync = ms(50));
    }
    fleet.write(0, key(1), Some(expected), 1, ms(3000));
    fleet.run(ms(10));
    fleet.read(1, key(1), ms(3000));
    fleet.run(ms(20));
    (0..3).for_each(|i| fleet.kill(i));
    (0..3).for_each(|i| fleet.start(i));
    let read = fleet.read(2, key(1), ms(3000));
    assert_eq!(fleet.found(read), Ok(Some(expected)));
    fleet.check().expect("one register");
}

#[test]
fn one_full_disk_is_tolerated_and_two_are_reported() {
    let mut fleet = fleet(4, true, ms(1));
    let (replicas, other) = places(&fleet, key(1));
    let (a, b, other) = (replicas[0], replicas[1], other.expect("four members"));
    write(&mut fleet, other, key(1), 1);
    fleet.world.act(a, |host, _, _| host.full = true);
    let expected = write(&mut fleet, other, key(1), 2);
    fleet.world.act(b, |host, _, _| host.full = true);
    let call = fleet.write(other, key(1), Some(expected), 1, ms(1000));
    assert_eq!(
        fleet.written(call),
        Err(RegisterError::NotStored(StorageError::Full))
    );
    assert_eq!(fleet.saw(|e| *e == Event::DiskFault(StorageError::Full)), 2);
    for i in [a, b] {
        fleet.world.act(i, |host, _, _| host.full = false);
    }
    write(&mut fleet, other, key(1), 1);
    fleet.run(ms(1000));
    assert_eq!(fleet.saw(|e| *e == Event::DiskRecovered), 2);
    fleet.check().expect("one register");
}

#[test]
fn minority_fails_at_once_where_known_and_at_the_deadline_otherwise() {
    let mut fleet = fleet(5, false, ms(1));
    let (replicas, _) = places(&fleet, key(1));
    let expected = write(&mut fleet, replicas[0], key(1), 1);
    cut(&mut fleet, &[replicas[0]]);
    let asked = fleet.world.now();
    let call = fleet.write(replicas[0], key(1), None, 1, ms(900));
    assert_eq!(fleet.written(call), Err(RegisterError::NoMajority));
    assert!(fleet.world.now() - asked >= ms(900));
    let call = fleet.write(replicas[0], key(1), Some(expected), 1, ms(900));
    // It had the lead and has asked for it to be taken: what became of that it cannot know.
    let known = fleet.written(call);
    assert!(
        matches!(
            known,
            Err(RegisterError::TimedOut | RegisterError::NoMajority)
        ),
        "{known:?}"
    );
    fleet.world.act(replicas[0], |host, now, out| {
        let part = QuotaLease {
            leased: 0.0,
            until: now,
        };
        let peers = Peers {
            quorum: QuorumState::Alone,
            present: vec![],
            valid_until: now + ms(900),
            lease: part,
        };
        host.input(now, Input::Peers(peers), out);
    });
    let asked = fleet.world.now();
    let read = fleet.read(replicas[0], key(1), ms(5000));
    assert_eq!(fleet.found(read), Err(RegisterError::NoMajority));
    assert!(fleet.world.now() - asked < ms(200));
}

#[test]
fn thousand_registers_are_fetched_over_a_lossy_link() {
    let mut fleet = fleet(3, false, ms(1));
    let mut last = vec![];
    for i in 0..1000 {
        last.push(write(&mut fleet, 0, key(i), 1));
    }
    fleet.kill(1);
    fleet.world.net.loss = 0.1;
    fleet.start(1);
    let started = fleet.world.now();
    while !fleet
        .host(1)
        .replica
        .counts_toward_majority(fleet.world.now_at(1), key(0))
    {
        fleet.run(ms(10));
        assert!(fleet.world.now() - started < Duration::from_secs(20));
    }
    let took = fleet.world.now() - started;
    let held: BTreeSet<Version> = fleet
        .host(1)
        .replica
        .local_values()
        .map(|(_, version, _)| version)
        .collect();
    assert!(last.iter().all(|version| held.contains(version)));
    println!("1000 registers in {took:?}");
}

/// Frames and bytes of a call, and how long it takes in ways there.
fn cost(fleet: &mut Fleet, act: impl FnOnce(&mut Fleet)) -> (u64, u64, Duration) {
    // Beats are told at full seconds.
    let past = fleet.world.now().as_millis() as u64 % 1000;
    fleet.run(ms(1500 - past));
    let sums = |fleet: &Fleet| {
        let hosts = (0..fleet.disks.len()).map(|i| fleet.host(i));
        hosts.fold((0, 0), |(n, b), host| (n + host.sent, b + host.bytes))
    };
    let (before, at) = (sums(fleet), fleet.world.now());
    act(fleet);
    let took = fleet.world.now() - at;
    fleet.run(ms(40));
    let after = sums(fleet);
    (after.0 - before.0, after.1 - before.1, took)
}

#[test]
fn last_writer_and_reads_take_one_round_another_writer_two() {
    let mut fleet = fleet(6, false, ms(5));
    let (replicas, other) = places(&fleet, key(1));
    let (own, other) = (replicas[0], other.expect("six members"));
    let expected = write(&mut fleet, own, key(1), 1);
    let mut version = Some(expected);
    let mut write_by = |fleet: &mut Fleet, i: usize| {
        let mut expected = version;
        let costs = cost(fleet, |fleet| {
            let call = fleet.write(i, key(1), expected, 1, ms(1000));
            expected = Some(fleet.written(call).expect("it is written"));
        });
        version = expected;
        costs
    };
    let again = write_by(&mut fleet, own);
    let call = fleet.read(other, key(1), ms(1000));
    assert!(fleet.found(call).is_ok());
    let by_other = write_by(&mut fleet, other);
    let other_again = write_by(&mut fleet, other);
    let read = cost(&mut fleet, |fleet| {
        let call = fleet.read(other, key(1), ms(1000));
        assert!(fleet.found(call).is_ok());
    });
    println!("frames, bytes, time: again {again:?}, another's first {by_other:?}, its next {other_again:?}, read {read:?}");
    assert_eq!((again.0, by_other.0, other_again.0, read.0), (4, 12, 6, 6));
    assert!(again.2 <= ms(11) && other_again.2 <= ms(11) && read.2 <= ms(11));
    assert!((ms(20)..=ms(21)).contains(&by_other.2), "{by_other:?}");
}

#[test]
fn deleted_register_is_forgotten_and_can_be_created_again() {
    let mut fleet = fleet(3, true, ms(1));
    let expected = write(&mut fleet, 0, key(1), 2);
    let call = fleet.drop(1, key(1), expected, ms(1000));
    let gap = fleet.written(call).expect("let go of");
    let read = fleet.read(2, key(1), ms(1000));
    assert_eq!(fleet.found(read), Ok(None));
    assert_eq!(fleet.host(0).replica.local_values().count(), 0);
    let call = fleet.write(2, key(1), Some(expected), 1, ms(1000));
    assert_eq!(
        fleet.written(call),
        Err(RegisterError::Conflict { latest: None })
    );
    let call = fleet.write(2, key(1), None, 0, ms(1000));
    assert_eq!(
        fleet.written(call),
        Err(RegisterError::StaleEpoch { epoch: gap.epoch })
    );
    fleet.run(TOMBSTONE_RETENTION + ms(2000));
    assert!(
        (0..3).all(|i| fleet.host(i).disk.keys().all(|name| name.len() == 1)),
        "only the record of the memory"
    );
    assert!(write(&mut fleet, 2, key(1), 1).count >= 1);
}

#[test]
fn invalid_calls_and_messages_are_rejected_and_counted() {
    let own = Process {
        name: name(0),
        start: 1,
    };
    let roster: BTreeSet<NameKey> = (0..3).map(name).collect();
    let mut replica = Replica::new(own, roster, Settings::default(), 1, Duration::ZERO);
    let mut step = |input| {
        let mut out = vec![];
        replica.step(ms(1), input, &mut out);
        (format!("{out:?}"), replica.counters())
    };
    let call = |n| bitternlatch_replicated_register::CallId(n);
    let deadline = ms(1000);
    let value = vec![0; MAX_VALUE_BYTES + 1];
    let (message, _) = step(Input::Write {
        call: call(0),
        key: key(1),
        expected: None,
        epoch: 1,
        value,
        deadline,
    });
    assert!(message.contains("TooLong { bytes: 49153, max: 49152 }"));
    (1..=4096).for_each(|n| {
        drop(step(Input::Read {
            call: call(n),
            key: key(1),
            deadline,
        }))
    });
    let (message, counters) = step(Input::Read {
        call: call(9999),
        key: key(1),
        deadline,
    });
    assert!(message.contains("Err(Busy)") && counters.rejected == 1);
    let from = Process {
        name: name(1),
        start: 1,
    };
    let (message, _) = step(Input::Frame {
        from,
        payload: vec![2, 3, 4],
    });
    assert!(message.contains("UnsupportedVersion"));
    let (message, _) = step(Input::Frame {
        from,
        payload: vec![2],
    });
    let (_, counters) = step(Input::Frame {
        from,
        payload: vec![1, 99],
    });
    assert!(
        !message.contains("UnsupportedVersion")
            && counters.unsupported_version == 2
            && counters.malformed == 1
    );
    let stranger = Process {
        name: NameKey(999),
        start: 1,
    };
    let (message, counters) = step(Input::Frame {
        from: stranger,
        payload: vec![1, 99],
    });
    assert!(message == "[]" && counters.malformed == 1);
}
