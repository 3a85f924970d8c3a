//! Random courses of faults over five members: whatever happens, each register is one register that changes by compare-and-set.

mod cluster_harness;

use std::time::Duration;

use bitternlatch_replicated_register::{Output, RegisterError, RegisterKey};
use bitternlatch_simulation::ms;
use cluster_harness::{Disk, Fleet};

const OF: usize = 5;

/// What may happen in a course.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Course {
    /// Disks keep what they were told to keep.
    Disks,
    /// Disks are also set back, emptied and filled.
    BadDisks,
    /// No disks: who is killed has forgotten all.
    RecoveryState,
}

fn keys() -> Vec<RegisterKey> {
    (0..4u8).map(|i| RegisterKey([i; 16])).collect()
}

struct Player {
    fleet: Fleet,
    course: Course,
    drops: bool,
    old: Vec<Disk>,
    /// Memories that ended by the course's own doing. The first may not be whole again, on disk, when the second ends.
    losses: u32,
}

impl Player {
    fn call(&mut self) {
        let keys = keys();
        let (i, key) = (
            self.fleet.draw(OF as u64) as usize,
            keys[self.fleet.draw(4) as usize],
        );
        let patience = ms(100 + self.fleet.draw(1500));
        let known = self.fleet.known.get(&(i, key)).copied();
        match (self.fleet.draw(100), known) {
            (0..=39, _) | (_, None) => drop(self.fleet.read(i, key, patience)),
            (40..=44, Some(Some(expected))) if self.drops => {
                self.fleet.drop(i, key, expected, patience);
            }
            (n, Some(expected)) => {
                let epoch = expected.map_or(1, |expected| expected.epoch) + u64::from(n > 90)
                    - u64::from(n == 90 && expected.is_some());
                // After a gap the epochs go on.
                let epoch = epoch.max(self.fleet.epochs.remove(&key).unwrap_or(0));
                self.fleet.write(i, key, expected, epoch, patience);
            }
        }
    }

    /// Others than the whole ones.
    fn weak(&self) -> usize {
        (0..OF).filter(|i| !self.fleet.whole(*i, &keys())).count()
    }

    fn trouble(&mut self) {
        let i = self.fleet.draw(OF as u64) as usize;
        let side = self.fleet.draw(31);
        match self.fleet.draw(14) {
            0 | 1 if self.course != Course::RecoveryState || self.weak() <= 1 => self.fleet.kill(i),
            2 if self.course != Course::RecoveryState => (0..OF).for_each(|i| self.fleet.kill(i)),
            3..=5 => {
                for i in (0..OF).filter(|i| side >> i & 1 == 1) {
                    if !self.fleet.up(i) {
                        self.fleet.start(i);
                    }
                }
            }
            6 => self.fleet.world.pause(i),
            7 => self.fleet.world.go_on(i),
            8 => {
                let one_way = side & 16 != 0;
                let apart = move |a: usize, b: usize| (side >> a & 1, side >> b & 1);
                self.fleet.world.net.passes = Box::new(move |a, b| match apart(a, b) {
                    (x, y) if x == y => true,
                    (0, _) => one_way,
                    _ => false,
                });
            }
            9 => self.fleet.world.net.loss = self.fleet.draw(30) as f64 / 100.0,
            10 => self.fleet.world.net.twice = self.fleet.draw(30) as f64 / 100.0,
            11 => self.fleet.world.net.delay.1 = ms(3 + self.fleet.draw(2) * self.fleet.draw(400)),
            12 if self.course == Course::BadDisks => self.bad_disk(i),
            _ => self.heal(),
        }
    }

    fn heal(&mut self) {
        let net = &mut self.fleet.world.net;
        net.passes = Box::new(|_, _| true);
        (net.loss, net.twice, net.delay.1) = (0.0, 0.0, ms(3));
    }

    /// A disk is filled, emptied, torn, or set back to what it was some seconds ago; others had heard of what it has kept since.
    fn bad_disk(&mut self, i: usize) {
        if self.fleet.draw(3) == 0 {
            self.fleet.world.act(i, |host, _, _| host.full = !host.full);
            return;
        }
        for i in 0..OF {
            self.fleet.world.go_on(i);
        }
        self.heal();
        self.fleet.run(ms(2500));
        if !self.fleet.up(i) || self.weak() > 1 {
            return;
        }
        self.losses += 1;
        self.fleet.kill(i);
        match self.fleet.draw(3) {
            0 => self.fleet.disks[i].clear(),
            1 => {
                let at = self.fleet.draw(self.fleet.disks[i].len().max(1) as u64) as usize;
                self.fleet.disks[i]
                    .values_mut()
                    .nth(at)
                    .into_iter()
                    .for_each(|b| b.truncate(b.len() / 2));
            }
            _ => self.fleet.disks[i] = self.old[i].clone(),
        }
        self.fleet.start(i);
    }

    fn play(&mut self) {
        for round in 0..40 {
            for _ in 0..12 {
                self.call();
                let wait = self.fleet.draw(30);
                self.fleet.run(ms(wait));
            }
            if round % 8 == 0 {
                for i in (0..OF).filter(|i| self.fleet.up(*i)) {
                    self.old[i] = self.fleet.host(i).disk.clone();
                }
            }
            self.trouble();
        }
    }

    /// Once all is well again every register is read and written, by anyone.
    fn settle(&mut self) -> Result<(), String> {
        self.heal();
        for i in 0..OF {
            self.fleet.world.go_on(i);
            if !self.fleet.up(i) {
                self.fleet.start(i);
            }
            self.fleet.world.act(i, |host, _, _| host.full = false);
        }
        self.fleet.run(Duration::from_secs(8));
        for (i, key) in (0..OF).flat_map(|i| keys().into_iter().map(move |key| (i, key))) {
            // What a killed writer left at one copy may come to light and win once.
            let mut done = Err(RegisterError::TimedOut);
            for _ in 0..3 {
                let call = self.fleet.read(i, key, ms(3000));
                done = self.fleet.found(call).and_then(|expected| {
                    let call = self.fleet.write(i, key, expected, 1000, ms(3000));
                    self.fleet.written(call)
                });
                if !matches!(
                    done,
                    Err(RegisterError::Conflict { .. } | RegisterError::TimedOut)
                ) {
                    break;
                }
            }
            match done {
                // Two or three at once had lost their memory: said, not guessed.
                Err(RegisterError::Lost | RegisterError::CatchingUp)
                    if self.losses > 1 || self.course == Course::RecoveryState => {}
                done => {
                    done.map_err(|e| format!("{i} is told of {key:?}: {e}"))?;
                }
            }
        }
        Ok(())
    }
}

fn play(course: Course, seed: u64) -> Result<(usize, usize), String> {
    let mut fleet = Fleet::new(OF, course != Course::RecoveryState, seed);
    fleet.run(ms(1000));
    let old = vec![Disk::new(); OF];
    let mut player = Player {
        fleet,
        course,
        drops: seed.is_multiple_of(3),
        old,
        losses: 0,
    };
    player.play();
    if let Err(e) = player.fleet.check() {
        if std::env::var("DBG").is_ok() {
            for (c, op) in &player.fleet.ops {
                println!("{c:?} {op:?}");
            }
            for e in &player.fleet.events {
                println!("{e:?}");
            }
        }
        return Err(e);
    }
    player.settle()?;
    player.fleet.check()?;
    let done = player.fleet.ops.values().filter(|(_, op)| {
        matches!(
            op.ended,
            Some((
                _,
                Output::Written { result: Ok(_), .. } | Output::Read { result: Ok(_), .. }
            ))
        )
    });
    Ok((player.fleet.ops.len(), done.count()))
}

/// So many seeds, or as many as `REPLICA_SEEDS` says, on a few threads.
fn play_all(course: Course, seeds: u64) {
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
                let (mut asked, mut done) = (0, 0);
                for seed in (first..first + seeds).filter(|seed| seed % 2 == t) {
                    let (a, d) = play(course, seed)
                        .unwrap_or_else(|e| panic!("{course:?}, seed {seed}: {e}"));
                    (asked, done) = (asked + a, done + d);
                }
                (asked, done)
            })
        })
        .collect();
    let sums = threads
        .into_iter()
        .map(|t| t.join().expect("a seed failed"));
    let (asked, done) = sums.fold((0, 0), |(a, d), (x, y)| (a + x, d + y));
    println!("{seeds} seeds: {asked} calls, {done} done");
    assert!(
        done * 2 > asked,
        "{done} of {asked} calls came to something"
    );
}

#[test]
fn registers_stay_consistent_over_process_and_network_faults() {
    play_all(Course::Disks, 60);
}

#[test]
fn registers_stay_consistent_over_disk_faults() {
    play_all(Course::BadDisks, 60);
}

#[test]
fn registers_stay_consistent_or_are_reported_lost_without_disks() {
    play_all(Course::RecoveryState, 60);
}
