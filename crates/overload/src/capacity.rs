//! What the hosts do, and how much may be taken: from what is completed and from what waits, not from what hosts promise.

use std::time::Duration;

use crate::Sums;

/// In so long what waits too much, or too little, is to be made good.
const MEND_S: f64 = 1.0;
/// How fast more, and less, is believed.
const UP_S: f64 = 0.5;
const DOWN_S: f64 = 0.7;
/// Bounds of what is believed, in what the hosts were taken for.
const LEAST: f64 = 0.05;
const MOST: f64 = 50.0;
/// The wait for first tokens, as a share of their aims, from which on less is let wait.
const LATE: f64 = 0.4;
/// How much more than its own account of what waits the hosts' words may say.
const WORDS: f64 = 2.0;
/// Of what others take the hosts to do, a second.
const LEAN: f64 = 1.0;
/// Busy for so long, seconds, what hosts do is known from them.
const LEARNT_S: f64 = 0.4;
/// Requests a host until then.
const FIRST: f64 = 3.0;

/// What hosts are taken to do.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    work_per_s: f64,
    at: Option<Duration>,
    /// For how long hosts were seen busy; before that they are taken for what they are listed as.
    busy_s: f64,
}

/// What may be taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Takes {
    pub capacity: f64,
    /// Work a second that may be taken now.
    pub admits: f64,
    /// Work that may wait at hosts.
    pub room: f64,
}

impl Capacity {
    /// What hosts are taken to do now; 0 before the first look.
    pub fn per_s(&self) -> f64 {
        self.work_per_s
    }

    /// One look at the sums. `wait_s`: seconds of work that may wait at hosts; `share`: of the hosts that is this side's.
    pub fn look(&mut self, now: Duration, sums: &Sums, wait_s: f64, share: f64) -> Takes {
        let hosts = (sums.hosts * share).max(0.01);
        let passed = self
            .at
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f64().min(1.0));
        if self.busy_s < LEARNT_S {
            self.work_per_s = self.work_per_s.max(hosts);
        }
        self.at = Some(now);
        let waiting = waiting(sums);
        // One request at each host is at work and waits for nothing.
        let at_work = hosts * sums.each;
        // Before anything is known of them a few requests a host find out, and no more than that is late.
        let unknown = self.busy_s < LEARNT_S;
        let first = if sums.each > 0.0 {
            FIRST * at_work
        } else {
            0.25 * wait_s * self.work_per_s
        };
        let full = if unknown { 0.7 * first } else { f64::INFINITY };
        let busy = waiting > (at_work + 0.5 * wait_s * self.work_per_s).min(full);
        self.busy_s += if busy { passed } else { 0.0 };
        let step = |over: f64| 1.0 - (-passed / over).exp();
        if sums.completed > self.work_per_s {
            self.work_per_s += (sums.completed - self.work_per_s) * step(UP_S);
        } else if busy && self.busy_s >= LEARNT_S {
            self.work_per_s += (sums.completed - self.work_per_s) * step(DOWN_S);
        }
        if sums.capacity > 0.0 && sums.members > 1.0 && share >= 1.0 {
            self.work_per_s += (sums.capacity - self.work_per_s) * step(1.0 / LEAN) * 0.5;
        }
        self.work_per_s = self.work_per_s.clamp(hosts * LEAST, hosts * MOST);
        let late = if sums.delay > LATE {
            LATE / sums.delay
        } else {
            1.0
        };
        let room = at_work + self.work_per_s * wait_s * late.max(0.25);
        let admits = self.work_per_s + (room - waiting) / MEND_S;
        let room = if unknown { room.min(first) } else { room };
        Takes {
            capacity: self.work_per_s,
            admits: admits.max(0.05 * self.work_per_s),
            room,
        }
    }
}

/// What waits: by the own account, or by the hosts' if they say more, within bounds. One that says less is not believed.
fn waiting(sums: &Sums) -> f64 {
    sums.backlog.max(sums.waits.min(WORDS * sums.backlog))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Hosts that do `can` work a second, before which it queues; gives what they are taken for after so many steps.
    fn after(
        capacity: &mut Capacity,
        at: &mut u64,
        can: f64,
        asked: f64,
        lie: f64,
        steps: u32,
    ) -> (f64, f64) {
        let (mut backlog, mut takes, mut worst) = (
            0.0f64,
            Takes {
                admits: asked,
                ..Takes::default()
            },
            0.0f64,
        );
        for _ in 0..steps {
            *at += 100;
            backlog += takes.admits.min(asked) * 0.1;
            let done = backlog.min(can * 0.1);
            backlog -= done;
            let sums = Sums {
                completed: done * 10.0,
                backlog,
                waits: lie,
                hosts: 5.0,
                members: 1.0,
                ..Sums::default()
            };
            takes = capacity.look(Duration::from_millis(*at), &sums, 0.4, 1.0);
            worst = worst.max(backlog / can);
        }
        (takes.capacity, backlog / can)
    }

    #[test]
    fn it_finds_what_hosts_do_whatever_they_say_and_keeps_the_wait() {
        for can in [1.0, 5.0, 20.0] {
            for lie in [0.0, 1e9] {
                let mut capacity = Capacity::default();
                let (found, wait) = after(&mut capacity, &mut 0, can, 100.0, lie, 200);
                assert!((found / can - 1.0).abs() < 0.1, "{can}, {lie}: {found}");
                assert!(wait < 0.6, "{can}, {lie}: {wait}");
            }
        }
    }

    #[test]
    fn hosts_that_do_half_from_now_on_are_taken_for_half() {
        let (mut capacity, mut at) = (Capacity::default(), 0);
        after(&mut capacity, &mut at, 10.0, 100.0, 0.0, 200);
        let (found, wait) = after(&mut capacity, &mut at, 5.0, 100.0, 0.0, 60);
        assert!((found - 5.0).abs() < 1.0 && wait < 1.0, "{found} {wait}");
    }
}
