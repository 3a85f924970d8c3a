//! Random fault schedules on a cluster of five members. Under any faults the history of calls has to be consistent with one
//! register for each key that changes by compare-and-set.

mod cluster_harness;

use std::time::Duration;

use bitternlatch_replicated_register::{Output, RegisterError, RegisterKey};
use bitternlatch_simulation::ms;
use cluster_harness::{Cluster, Disk};

const MEMBERS: usize = 5;

/// Kinds of faults that a schedule may contain.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FaultProfile {
    /// Members have disks that lose nothing that they stored.
    ReliableDisks,
    /// Members have disks that may also be set back to an older state, erased, corrupted or full.
    DiskFaults,
    /// Members have no disks: a process that is killed loses its state.
    Diskless,
}

fn keys() -> Vec<RegisterKey> {
    (0..4u8).map(|i| RegisterKey([i; 16])).collect()
}

/// Runs one random schedule of calls and faults.
struct ScheduleRunner {
    cluster: Cluster,
    profile: FaultProfile,
    /// Whether calls may delete registers.
    deletes: bool,
    /// Earlier content of each member's disk, to which it may be set back.
    old_disks: Vec<Disk>,
    /// Number of disks that the schedule erased, corrupted or set back. With more than one, the second loss may happen before the
    /// first replica has stored its state again, so that registers are lost.
    disk_losses: u32,
}

impl ScheduleRunner {
    /// Makes a random call.
    fn random_call(&mut self) {
        let keys = keys();
        let (i, key) = (
            self.cluster.random_below(MEMBERS as u64) as usize,
            keys[self.cluster.random_below(4) as usize],
        );
        let timeout = ms(100 + self.cluster.random_below(1500));
        let known = self.cluster.known_versions.get(&(i, key)).copied();
        match (self.cluster.random_below(100), known) {
            (0..=39, _) | (_, None) => drop(self.cluster.read(i, key, timeout)),
            (40..=44, Some(Some(expected))) if self.deletes => {
                self.cluster.delete(i, key, expected, timeout);
            }
            (n, Some(expected)) => {
                let epoch = expected.map_or(1, |expected| expected.epoch) + u64::from(n > 90)
                    - u64::from(n == 90 && expected.is_some());
                // A deleted register is written again under an epoch that is not below that of the tombstone.
                let epoch = epoch.max(self.cluster.epochs.remove(&key).unwrap_or(0));
                self.cluster.write(i, key, expected, epoch, timeout);
            }
        }
    }

    /// Number of members that are down or still catching up.
    fn unready_members(&self) -> usize {
        (0..MEMBERS)
            .filter(|i| !self.cluster.is_caught_up(*i, &keys()))
            .count()
    }

    /// Causes or ends a random fault.
    fn random_fault(&mut self) {
        let i = self.cluster.random_below(MEMBERS as u64) as usize;
        let side = self.cluster.random_below(31);
        match self.cluster.random_below(14) {
            0 | 1 if self.profile != FaultProfile::Diskless || self.unready_members() <= 1 => {
                self.cluster.kill(i)
            }
            2 if self.profile != FaultProfile::Diskless => {
                (0..MEMBERS).for_each(|i| self.cluster.kill(i))
            }
            3..=5 => {
                for i in (0..MEMBERS).filter(|i| side >> i & 1 == 1) {
                    if !self.cluster.is_up(i) {
                        self.cluster.start(i);
                    }
                }
            }
            6 => self.cluster.world.pause(i),
            7 => self.cluster.world.go_on(i),
            8 => {
                let one_way = side & 16 != 0;
                let sides = move |a: usize, b: usize| (side >> a & 1, side >> b & 1);
                self.cluster.world.net.passes = Box::new(move |a, b| match sides(a, b) {
                    (x, y) if x == y => true,
                    (0, _) => one_way,
                    _ => false,
                });
            }
            9 => self.cluster.world.net.loss = self.cluster.random_below(30) as f64 / 100.0,
            10 => self.cluster.world.net.twice = self.cluster.random_below(30) as f64 / 100.0,
            11 => {
                self.cluster.world.net.delay.1 =
                    ms(3 + self.cluster.random_below(2) * self.cluster.random_below(400))
            }
            12 if self.profile == FaultProfile::DiskFaults => self.disk_fault(i),
            _ => self.heal_network(),
        }
    }

    /// Ends all faults of the network.
    fn heal_network(&mut self) {
        let net = &mut self.cluster.world.net;
        net.passes = Box::new(|_, _| true);
        (net.loss, net.twice, net.delay.1) = (0.0, 0.0, ms(3));
    }

    /// Fills a disk or makes space on it, or erases it, corrupts it or sets it back to its content of some seconds ago. Before a
    /// loss, waits until the other members have received the member's report of its stored changes.
    fn disk_fault(&mut self, i: usize) {
        if self.cluster.random_below(3) == 0 {
            self.cluster
                .world
                .act(i, |host, _, _| host.disk_full = !host.disk_full);
            return;
        }
        for i in 0..MEMBERS {
            self.cluster.world.go_on(i);
        }
        self.heal_network();
        self.cluster.run(ms(2500));
        if !self.cluster.is_up(i) || self.unready_members() > 1 {
            return;
        }
        self.disk_losses += 1;
        self.cluster.kill(i);
        match self.cluster.random_below(3) {
            0 => self.cluster.disks[i].clear(),
            1 => {
                let at = self
                    .cluster
                    .random_below(self.cluster.disks[i].len().max(1) as u64)
                    as usize;
                self.cluster.disks[i]
                    .values_mut()
                    .nth(at)
                    .into_iter()
                    .for_each(|b| b.truncate(b.len() / 2));
            }
            _ => self.cluster.disks[i] = self.old_disks[i].clone(),
        }
        self.cluster.start(i);
    }

    fn run(&mut self) {
        for round in 0..40 {
            for _ in 0..12 {
                self.random_call();
                let wait = self.cluster.random_below(30);
                self.cluster.run(ms(wait));
            }
            if round % 8 == 0 {
                for i in (0..MEMBERS).filter(|i| self.cluster.is_up(*i)) {
                    self.old_disks[i] = self.cluster.host(i).disk.clone();
                }
            }
            self.random_fault();
        }
    }

    /// Ends all faults, and checks that every member can read and write every register again.
    fn recover(&mut self) -> Result<(), String> {
        self.heal_network();
        for i in 0..MEMBERS {
            self.cluster.world.go_on(i);
            if !self.cluster.is_up(i) {
                self.cluster.start(i);
            }
            self.cluster
                .world
                .act(i, |host, _, _| host.disk_full = false);
        }
        self.cluster.run(Duration::from_secs(8));
        for (i, key) in (0..MEMBERS).flat_map(|i| keys().into_iter().map(move |key| (i, key))) {
            // An unfinished write of a killed process may be stored at one replica. A later call may find and
            // complete it, so a write may fail with a conflict once.
            let mut result = Err(RegisterError::TimedOut);
            for _ in 0..3 {
                let call = self.cluster.read(i, key, ms(3000));
                result = self.cluster.read_result(call).and_then(|expected| {
                    let call = self.cluster.write(i, key, expected, 1000, ms(3000));
                    self.cluster.write_result(call)
                });
                if !matches!(
                    result,
                    Err(RegisterError::Conflict { .. } | RegisterError::TimedOut)
                ) {
                    break;
                }
            }
            match result {
                // Several replicas may have lost their state at the same time; then an error has to report it.
                Err(RegisterError::Lost | RegisterError::CatchingUp)
                    if self.disk_losses > 1 || self.profile == FaultProfile::Diskless => {}
                result => {
                    result.map_err(|e| format!("member {i}, {key:?}: {e}"))?;
                }
            }
        }
        Ok(())
    }
}

fn run_schedule(profile: FaultProfile, seed: u64) -> Result<(usize, usize), String> {
    let mut cluster = Cluster::new(MEMBERS, profile != FaultProfile::Diskless, seed);
    cluster.run(ms(1000));
    let old_disks = vec![Disk::new(); MEMBERS];
    let mut runner = ScheduleRunner {
        cluster,
        profile,
        deletes: seed.is_multiple_of(3),
        old_disks,
        disk_losses: 0,
    };
    runner.run();
    if let Err(e) = runner.cluster.check() {
        if std::env::var("DBG").is_ok() {
            for (c, op) in &runner.cluster.operations {
                println!("{c:?} {op:?}");
            }
            for e in &runner.cluster.events {
                println!("{e:?}");
            }
        }
        return Err(e);
    }
    runner.recover()?;
    runner.cluster.check()?;
    let succeeded = runner.cluster.operations.values().filter(|(_, op)| {
        matches!(
            op.answer,
            Some((
                _,
                Output::Written { result: Ok(_), .. } | Output::Read { result: Ok(_), .. }
            ))
        )
    });
    Ok((runner.cluster.operations.len(), succeeded.count()))
}

/// Runs a schedule for each of `seeds` seeds on two threads. The environment variables `REPLICA_SEEDS` and `REPLICA_FIRST` override
/// the number of seeds and the first seed.
fn run_schedules(profile: FaultProfile, seeds: u64) {
    let seeds = std::env::var("REPLICA_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(seeds);
    let first = std::env::var("REPLICA_FIRST")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let threads: Vec<_> = (0..2)
        .map(|t| {
            std::thread::spawn(move || {
                let (mut calls, mut succeeded) = (0, 0);
                for seed in (first..first + seeds).filter(|seed| seed % 2 == t) {
                    let (a, d) = run_schedule(profile, seed)
                        .unwrap_or_else(|e| panic!("{profile:?}, seed {seed}: {e}"));
                    (calls, succeeded) = (calls + a, succeeded + d);
                }
                (calls, succeeded)
            })
        })
        .collect();
    let sums = threads
        .into_iter()
        .map(|t| t.join().expect("a seed failed"));
    let (calls, succeeded) = sums.fold((0, 0), |(a, d), (x, y)| (a + x, d + y));
    println!("{seeds} seeds: {calls} calls, {succeeded} succeeded");
    assert!(
        succeeded * 2 > calls,
        "only {succeeded} of {calls} calls succeeded"
    );
}

#[test]
fn registers_stay_consistent_over_process_and_network_faults() {
    run_schedules(FaultProfile::ReliableDisks, 60);
}

#[test]
fn registers_stay_consistent_over_disk_faults() {
    run_schedules(FaultProfile::DiskFaults, 60);
}

#[test]
fn registers_stay_consistent_or_are_reported_lost_without_disks() {
    run_schedules(FaultProfile::Diskless, 60);
}
