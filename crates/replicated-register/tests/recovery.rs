//! Tests of recovery after restarts, disk faults and network partitions, of the errors and events that report them, and of the
//! number of messages and rounds that a call takes.

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
use cluster_harness::{name, Cluster};

fn key(i: u16) -> RegisterKey {
    let [a, b] = i.to_le_bytes();
    RegisterKey([a, b, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14])
}

/// A cluster whose replicas have caught up, in which each message takes exactly `delay`.
fn caught_up_cluster(members: usize, durable: bool, delay: Duration) -> Cluster {
    let mut cluster = Cluster::new(members, durable, 1);
    cluster.run(ms(1000));
    cluster.world.net.delay = (delay, Duration::ZERO);
    cluster
}

/// The members that hold replicas of a register, and a member that holds none, if there is one.
fn placement(cluster: &Cluster, key: RegisterKey) -> (Vec<usize>, Option<usize>) {
    let replicas: Vec<usize> = cluster
        .host(0)
        .replica
        .replicas(key)
        .iter()
        .map(|name| name.0 as usize - 10)
        .collect();
    let other = (0..cluster.disks.len()).find(|i| !replicas.contains(i));
    (replicas, other)
}

/// Writes a register `times` times in a row, and returns the last version.
fn write(cluster: &mut Cluster, i: usize, key: RegisterKey, times: usize) -> Version {
    let read = cluster.read(i, key, ms(3000));
    let mut expected = cluster.read_result(read).expect("the read succeeds");
    for _ in 0..times {
        let call = cluster.write(i, key, expected, 1, ms(3000));
        expected = Some(cluster.write_result(call).expect("the write succeeds"));
    }
    expected.expect("at least one write")
}

/// Partitions the network: messages pass only among the given members and among the remaining ones.
fn partition(cluster: &mut Cluster, side: &[usize]) {
    let side: BTreeSet<usize> = side.iter().copied().collect();
    cluster.world.net.passes = Box::new(move |a, b| side.contains(&a) == side.contains(&b));
}

#[test]
fn older_disk_is_reported_and_counts_after_catching_up() {
    let mut cluster = caught_up_cluster(4, true, ms(1));
    let (replicas, other) = placement(&cluster, key(1));
    let [a, b, c] = replicas[..] else {
        panic!("three replicas")
    };
    write(&mut cluster, b, key(1), 2);
    cluster.run(ms(2500));
    cluster.kill(a);
    let old_disk = cluster.disks[a].clone();
    cluster.start(a);
    let expected = write(&mut cluster, b, key(1), 2);
    // Only a and b accept the last write.
    partition(&mut cluster, &[c]);
    let last = cluster.write(b, key(1), Some(expected), 1, ms(3000));
    let last = cluster
        .write_result(last)
        .expect("two replicas are a majority");
    cluster.run(ms(2500));
    cluster.kill(a);
    cluster.disks[a] = old_disk;
    partition(&mut cluster, &[b]);
    cluster.start(a);
    cluster.run(ms(5000));
    // Only b still knows the last write, and it is cut off. So a and c must not serve the register.
    let read = cluster.read(c, key(1), ms(1000));
    assert!(!cluster
        .host(a)
        .replica
        .counts_toward_majority(cluster.world.now_at(a), key(1)));
    assert_eq!(cluster.read_result(read), Err(RegisterError::CatchingUp));
    cluster.world.net.passes = Box::new(|_, _| true);
    cluster.run(ms(2500));
    let read = cluster.read(other.expect("four members"), key(1), ms(1000));
    assert_eq!(cluster.read_result(read), Ok(Some(last)));
    assert!(cluster
        .host(a)
        .replica
        .counts_toward_majority(cluster.world.now_at(a), key(1)));
    assert_eq!(
        cluster.count_events(|e| matches!(e, Event::OlderDisk { .. })),
        1
    );
    assert!(cluster.count_events(|e| *e == Event::ReplicaLost(name(a))) >= 1);
}

#[test]
fn erased_or_corrupt_replica_catches_up_and_two_at_once_are_lost() {
    let mut cluster = caught_up_cluster(4, true, ms(1));
    let (replicas, other) = placement(&cluster, key(1));
    let (a, b, other) = (replicas[0], replicas[1], other.expect("four members"));
    let last = write(&mut cluster, other, key(1), 3);
    cluster.kill(a);
    cluster.disks[a].clear();
    cluster.start(a);
    cluster.run(ms(2000));
    assert!(cluster
        .host(a)
        .replica
        .counts_toward_majority(cluster.world.now_at(a), key(1)));
    assert!(cluster
        .host(a)
        .replica
        .local_values()
        .any(|(held, version, _)| *held == key(1) && version == last));
    assert_eq!(
        cluster.count_events(|e| matches!(e, Event::DiskErased { .. })),
        1
    );
    // The member that notified a of its lost state has stored this, so it still knows it after being killed.
    let c = replicas[2];
    cluster.kill(c);
    cluster.start(c);
    cluster.run(ms(2000));
    assert_eq!(
        cluster
            .events
            .iter()
            .filter(|(i, e)| *i == c && *e == Event::ReplicaLost(name(a)))
            .count(),
        1
    );
    cluster.kill(b);
    cluster.disks[b]
        .values_mut()
        .for_each(|bytes| bytes[2] ^= 1);
    cluster.start(b);
    cluster.run(ms(2000));
    assert!(cluster
        .host(b)
        .replica
        .counts_toward_majority(cluster.world.now_at(b), key(1)));
    assert_eq!(cluster.count_events(|e| *e == Event::DiskCorrupt), 1);
    let read = cluster.read(other, key(1), ms(1000));
    assert_eq!(cluster.read_result(read), Ok(Some(last)));
    for i in [a, b] {
        cluster.kill(i);
        cluster.disks[i].clear();
    }
    cluster.start(a);
    cluster.start(b);
    cluster.run(ms(5000));
    let read = cluster.read(other, key(1), ms(1000));
    assert_eq!(cluster.read_result(read), Err(RegisterError::Lost));
    let call = cluster.write(other, key(1), None, 9, ms(1000));
    assert_eq!(cluster.write_result(call), Err(RegisterError::Lost));
    assert_eq!(cluster.count_events(|e| *e == Event::MajorityLost), 2);
}

#[test]
fn two_erased_replicas_report_loss_once_the_third_confirms_it() {
    let mut cluster = caught_up_cluster(4, false, ms(1));
    let (replicas, _) = placement(&cluster, key(1));
    let (a, b) = (replicas[0], replicas[1]);
    write(&mut cluster, a, key(1), 1);
    partition(&mut cluster, &[a, b]);
    for i in [a, b] {
        cluster.kill(i);
        cluster.start(i);
    }
    cluster.run(ms(5000));
    let read = cluster.read(a, key(1), ms(1000));
    assert_eq!(cluster.read_result(read), Err(RegisterError::CatchingUp));
    cluster.world.net.passes = Box::new(|_, _| true);
    cluster.run(ms(5000));
    let read = cluster.read(a, key(1), ms(1000));
    assert_eq!(cluster.read_result(read), Err(RegisterError::Lost));
}

#[test]
fn all_replicas_restart_with_their_disks() {
    let mut cluster = caught_up_cluster(6, true, ms(1));
    let last = write(&mut cluster, 0, key(1), 3);
    (0..6).for_each(|i| cluster.kill(i));
    (0..6).for_each(|i| cluster.start(i));
    // After a restart no replica trusts its own disk before it has asked another replica.
    assert!((0..6).all(|i| !cluster
        .host(i)
        .replica
        .counts_toward_majority(cluster.world.now_at(i), key(1))));
    let read = cluster.read(1, key(1), ms(3000));
    assert_eq!(cluster.read_result(read), Ok(Some(last)));
    assert!(cluster.world.now() < ms(2000), "{:?}", cluster.world.now());
}

#[test]
fn older_disk_does_not_restore_deleted_register() {
    let mut cluster = caught_up_cluster(3, true, ms(1));
    let expected = write(&mut cluster, 0, key(1), 1);
    cluster.run(ms(100));
    let old_disk = cluster.host(1).disk.clone();
    let call = cluster.delete(0, key(1), expected, ms(1000));
    cluster.write_result(call).expect("the deletion succeeds");
    cluster.run(TOMBSTONE_RETENTION + ms(2000));
    cluster.kill(1);
    cluster.disks[1] = old_disk;
    cluster.start(1);
    cluster.run(ms(2000));
    for i in 0..3 {
        let read = cluster.read(i, key(1), ms(1000));
        assert_eq!(cluster.read_result(read), Ok(None));
    }
}

#[test]
fn unsynced_value_is_not_read() {
    let mut cluster = caught_up_cluster(3, true, ms(1));
    let expected = write(&mut cluster, 0, key(1), 1);
    for i in 0..3 {
        cluster
            .world
            .act(i, |host, _, _| host.write_latency = ms(50));
    }
    cluster.write(0, key(1), Some(expected), 1, ms(3000));
    cluster.run(ms(10));
    cluster.read(1, key(1), ms(3000));
    cluster.run(ms(20));
    (0..3).for_each(|i| cluster.kill(i));
    (0..3).for_each(|i| cluster.start(i));
    let read = cluster.read(2, key(1), ms(3000));
    assert_eq!(cluster.read_result(read), Ok(Some(expected)));
    cluster.check().expect("the history is consistent");
}

#[test]
fn one_full_disk_is_tolerated_and_two_are_reported() {
    let mut cluster = caught_up_cluster(4, true, ms(1));
    let (replicas, other) = placement(&cluster, key(1));
    let (a, b, other) = (replicas[0], replicas[1], other.expect("four members"));
    write(&mut cluster, other, key(1), 1);
    cluster.world.act(a, |host, _, _| host.disk_full = true);
    let expected = write(&mut cluster, other, key(1), 2);
    cluster.world.act(b, |host, _, _| host.disk_full = true);
    let call = cluster.write(other, key(1), Some(expected), 1, ms(1000));
    assert_eq!(
        cluster.write_result(call),
        Err(RegisterError::NotStored(StorageError::Full))
    );
    assert_eq!(
        cluster.count_events(|e| *e == Event::DiskFault(StorageError::Full)),
        2
    );
    for i in [a, b] {
        cluster.world.act(i, |host, _, _| host.disk_full = false);
    }
    write(&mut cluster, other, key(1), 1);
    cluster.run(ms(1000));
    assert_eq!(cluster.count_events(|e| *e == Event::DiskRecovered), 2);
    cluster.check().expect("the history is consistent");
}

#[test]
fn minority_fails_at_once_where_known_and_at_the_deadline_otherwise() {
    let mut cluster = caught_up_cluster(5, false, ms(1));
    let (replicas, _) = placement(&cluster, key(1));
    let expected = write(&mut cluster, replicas[0], key(1), 1);
    partition(&mut cluster, &[replicas[0]]);
    let started_at = cluster.world.now();
    let call = cluster.write(replicas[0], key(1), None, 1, ms(900));
    assert_eq!(cluster.write_result(call), Err(RegisterError::NoMajority));
    assert!(cluster.world.now() - started_at >= ms(900));
    let call = cluster.write(replicas[0], key(1), Some(expected), 1, ms(900));
    // The writer has a leader ballot, so it proposed the write at once and cannot know whether a replica accepted it.
    let result = cluster.write_result(call);
    assert!(
        matches!(
            result,
            Err(RegisterError::TimedOut | RegisterError::NoMajority)
        ),
        "{result:?}"
    );
    cluster.world.act(replicas[0], |host, now, out| {
        let lease = QuotaLease {
            leased: 0.0,
            until: now,
        };
        let peers = Peers {
            quorum: QuorumState::Alone,
            present: vec![],
            valid_until: now + ms(900),
            lease,
        };
        host.input(now, Input::Peers(peers), out);
    });
    let started_at = cluster.world.now();
    let read = cluster.read(replicas[0], key(1), ms(5000));
    assert_eq!(cluster.read_result(read), Err(RegisterError::NoMajority));
    assert!(cluster.world.now() - started_at < ms(200));
}

#[test]
fn thousand_registers_are_fetched_over_a_lossy_link() {
    let mut cluster = caught_up_cluster(3, false, ms(1));
    let mut last = vec![];
    for i in 0..1000 {
        last.push(write(&mut cluster, 0, key(i), 1));
    }
    cluster.kill(1);
    cluster.world.net.loss = 0.1;
    cluster.start(1);
    let started = cluster.world.now();
    while !cluster
        .host(1)
        .replica
        .counts_toward_majority(cluster.world.now_at(1), key(0))
    {
        cluster.run(ms(10));
        assert!(cluster.world.now() - started < Duration::from_secs(20));
    }
    let took = cluster.world.now() - started;
    let held: BTreeSet<Version> = cluster
        .host(1)
        .replica
        .local_values()
        .map(|(_, version, _)| version)
        .collect();
    assert!(last.iter().all(|version| held.contains(version)));
    println!("1000 registers in {took:?}");
}

/// Frames and bytes that all members send for an action, and the simulated time until it ends.
fn cost(cluster: &mut Cluster, act: impl FnOnce(&mut Cluster)) -> (u64, u64, Duration) {
    // Heartbeats are sent at full seconds, so the action starts half a second after one.
    let since_second = cluster.world.now().as_millis() as u64 % 1000;
    cluster.run(ms(1500 - since_second));
    let totals = |cluster: &Cluster| {
        let hosts = (0..cluster.disks.len()).map(|i| cluster.host(i));
        hosts.fold((0, 0), |(n, b), host| {
            (n + host.sent_frames, b + host.sent_bytes)
        })
    };
    let (before, at) = (totals(cluster), cluster.world.now());
    act(cluster);
    let took = cluster.world.now() - at;
    cluster.run(ms(40));
    let after = totals(cluster);
    (after.0 - before.0, after.1 - before.1, took)
}

#[test]
fn last_writer_and_reads_take_one_round_another_writer_two() {
    let mut cluster = caught_up_cluster(6, false, ms(5));
    let (replicas, other) = placement(&cluster, key(1));
    let (own, other) = (replicas[0], other.expect("six members"));
    let expected = write(&mut cluster, own, key(1), 1);
    let mut version = Some(expected);
    let mut write_by = |cluster: &mut Cluster, i: usize| {
        let mut expected = version;
        let costs = cost(cluster, |cluster| {
            let call = cluster.write(i, key(1), expected, 1, ms(1000));
            expected = Some(cluster.write_result(call).expect("the write succeeds"));
        });
        version = expected;
        costs
    };
    let again = write_by(&mut cluster, own);
    let call = cluster.read(other, key(1), ms(1000));
    assert!(cluster.read_result(call).is_ok());
    let by_other = write_by(&mut cluster, other);
    let other_again = write_by(&mut cluster, other);
    let read = cost(&mut cluster, |cluster| {
        let call = cluster.read(other, key(1), ms(1000));
        assert!(cluster.read_result(call).is_ok());
    });
    println!("frames, bytes, time: same writer {again:?}, another writer {by_other:?}, its next write {other_again:?}, read {read:?}");
    assert_eq!((again.0, by_other.0, other_again.0, read.0), (4, 12, 6, 6));
    assert!(again.2 <= ms(11) && other_again.2 <= ms(11) && read.2 <= ms(11));
    assert!((ms(20)..=ms(21)).contains(&by_other.2), "{by_other:?}");
}

#[test]
fn deleted_register_is_forgotten_and_can_be_created_again() {
    let mut cluster = caught_up_cluster(3, true, ms(1));
    let expected = write(&mut cluster, 0, key(1), 2);
    let call = cluster.delete(1, key(1), expected, ms(1000));
    let tombstone = cluster.write_result(call).expect("the deletion succeeds");
    let read = cluster.read(2, key(1), ms(1000));
    assert_eq!(cluster.read_result(read), Ok(None));
    assert_eq!(cluster.host(0).replica.local_values().count(), 0);
    let call = cluster.write(2, key(1), Some(expected), 1, ms(1000));
    assert_eq!(
        cluster.write_result(call),
        Err(RegisterError::Conflict { latest: None })
    );
    let call = cluster.write(2, key(1), None, 0, ms(1000));
    assert_eq!(
        cluster.write_result(call),
        Err(RegisterError::StaleEpoch {
            epoch: tombstone.epoch
        })
    );
    cluster.run(TOMBSTONE_RETENTION + ms(2000));
    assert!(
        (0..3).all(|i| cluster.host(i).disk.keys().all(|name| name.len() == 1)),
        "only the metadata record is left"
    );
    assert!(write(&mut cluster, 2, key(1), 1).count >= 1);
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
    let (outputs, _) = step(Input::Write {
        call: call(0),
        key: key(1),
        expected: None,
        epoch: 1,
        value,
        deadline,
    });
    assert!(outputs.contains("TooLong { bytes: 49153, max: 49152 }"));
    (1..=4096).for_each(|n| {
        drop(step(Input::Read {
            call: call(n),
            key: key(1),
            deadline,
        }))
    });
    let (outputs, counters) = step(Input::Read {
        call: call(9999),
        key: key(1),
        deadline,
    });
    assert!(outputs.contains("Err(Busy)") && counters.rejected == 1);
    let from = Process {
        name: name(1),
        start: 1,
    };
    let (outputs, _) = step(Input::Frame {
        from,
        payload: vec![2, 3, 4],
    });
    assert!(outputs.contains("UnsupportedVersion"));
    let (outputs, _) = step(Input::Frame {
        from,
        payload: vec![2],
    });
    let (_, counters) = step(Input::Frame {
        from,
        payload: vec![1, 99],
    });
    assert!(
        !outputs.contains("UnsupportedVersion")
            && counters.unsupported_version == 2
            && counters.malformed == 1
    );
    let unknown_member = Process {
        name: NameKey(999),
        start: 1,
    };
    let (outputs, counters) = step(Input::Frame {
        from: unknown_member,
        payload: vec![1, 99],
    });
    assert!(outputs == "[]" && counters.malformed == 1);
}
