//! One member's part: says what its dispatcher sees, hears the others, and tells its dispatcher the cut.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState, Topic};
use bitternlatch_quota_lease::{
    ClusterService, Peers, Process, QuotaLease, ServiceInput, ServiceOutput,
};

use crate::capacity::{Capacity, Takes};
use crate::cut::{below, cut};
use crate::io::{Ask, Cut, Millionths, Seen, Settings, Told};
use crate::order::{spread, LEVELS};
use crate::probes::{Do, Probes, Saying};
use crate::sums::{Sums, Words};
use crate::trials::{Leave, Trials};
use crate::{OverloadError, Word};

/// Between two looks at the sums, and two words to the others.
const BEAT: Duration = Duration::from_millis(200);
/// How long a cut counts, and how long what the dispatcher told of itself does.
const COUNTS_FOR: Duration = Duration::from_millis(900);
/// Others that are told a word at a beat; where there are more, they are drawn anew each time, less often.
const TOLD_MOST: usize = 16;
const SAMPLE_BEATS: u32 = 4;
/// Others that are told of a failed host at once.
const MAX_PAYLOAD: usize = 64;
/// Between two lines in the log.
const LOG: Duration = Duration::from_secs(1);
/// Weight of the others' mean cut.
const LEAN: f64 = 0.5;
/// Of what is done, what returns may take.
const RETURNS: f64 = 0.1;

/// See the crate's front page.
pub struct Overload {
    own: Process,
    roster: BTreeSet<NameKey>,
    settings: Settings,
    /// Shortest aim for a first token, seconds.
    aim_s: f64,
    draws: u64,
    beat_at: Duration,
    beats: u32,
    number: u64,
    seen: Option<(Duration, Seen)>,
    words: Words,
    probes: Probes,
    trials: Trials,
    /// Hosts of which the dispatcher was told a leave.
    on_trial: BTreeSet<u32>,
    peers: Option<Peers>,
    capacity: Capacity,
    rank: f64,
    named: BTreeSet<NameKey>,
    /// Datagrams that were dropped, by cause; told in the log.
    dropped: BTreeMap<OverloadError, u32>,
    log_at: Duration,
    counts: (u32, u32, u32),
}

impl Overload {
    /// `aim_s`: the shortest aim of all classes for a first token.
    pub fn new(
        own: Process,
        roster: BTreeSet<NameKey>,
        settings: Settings,
        aim_s: f64,
        seed: u64,
        now: Duration,
    ) -> Overload {
        Overload {
            own,
            roster,
            settings,
            aim_s: if aim_s.is_finite() {
                aim_s.clamp(0.05, 60.0)
            } else {
                1.0
            },
            draws: seed,
            beat_at: now,
            beats: 0,
            number: 0,
            seen: None,
            words: Words::default(),
            probes: Probes::new(own.name),
            trials: Trials::new(own.name),
            on_trial: BTreeSet::new(),
            peers: None,
            capacity: Capacity::default(),
            rank: 0.0,
            named: BTreeSet::new(),
            dropped: BTreeMap::new(),
            log_at: now + LOG,
            counts: (0, 0, 0),
        }
    }

    /// Who is there as far as that counts now.
    fn peers(&self, now: Duration) -> Option<&Peers> {
        self.peers.as_ref().filter(|p| now < p.valid_until)
    }

    fn together(&self, now: Duration) -> bool {
        let majority = |p: &Peers| matches!(p.quorum, QuorumState::Whole | QuorumState::Majority);
        self.peers(now).is_some_and(majority)
    }

    fn drop_word(&mut self, why: OverloadError) {
        let many = self.dropped.entry(why).or_default();
        *many = many.saturating_add(1);
    }

    fn hear(
        &mut self,
        now: Duration,
        from: Process,
        said: &[u8],
        out: &mut Vec<ServiceOutput<Told>>,
    ) {
        if from.name == self.own.name || !self.roster.contains(&from.name) {
            return;
        }
        match Word::read(said) {
            Ok(word) => return self.words.hear(now, from, word),
            Err(OverloadError::OtherVersion) => {}
            Err(why) => return self.drop_word(why),
        }
        match Saying::read(said) {
            Ok(Saying::Failed(host)) => self.trials.heard(now, from.name, host, true),
            Ok(Saying::Well(host)) => self.trials.heard(now, from.name, host, false),
            Ok(saying) => {
                let mut done = Vec::new();
                self.probes.hear(now, from.name, saying, &mut done);
                carry(done, out);
            }
            Err(why) => self.drop_word(why),
        }
    }

    fn asked(&mut self, now: Duration, ask: Ask, out: &mut Vec<ServiceOutput<Told>>) {
        match ask {
            Ask::Seen(seen) => {
                self.counts.0 = self.counts.0.saturating_add(seen.taken_count);
                self.counts.1 = self.counts.1.saturating_add(seen.refused_count);
                self.counts.2 = self.counts.2.saturating_add(seen.repeat_count);
                self.seen = Some((now, seen));
            }
            Ask::Probe { host } => {
                let others = self.peers(now).map(|p| p.present.clone());
                let mut done = Vec::new();
                self.probes
                    .want(now, host, others.as_deref(), self.roster.len(), &mut done);
                carry(done, out);
            }
            Ask::Tried { host, well } => {
                let saying = if well {
                    self.trials.answered(host)
                } else {
                    self.trials.failed(now, host)
                };
                let to = self
                    .peers(now)
                    .map(|p| p.present.clone())
                    .unwrap_or_default();
                // As many as hear a word at a time; of many members a sample, as the rest hear of it from their own attempts.
                if let Some(bytes) = saying.map(|s| s.write()) {
                    out.extend(
                        to.into_iter()
                            .take(MAX_PAYLOAD)
                            .map(|n| ServiceOutput::SendDatagram(n, bytes.clone())),
                    );
                }
                self.tell_trials(now, out);
            }
            Ask::Probed { host, report } => {
                let mut done = Vec::new();
                self.probes.answered(now, host, report, &mut done);
                carry(done, out);
            }
        }
    }

    /// Tells what may be tried, and of what is as any other again.
    fn tell_trials(&mut self, now: Duration, out: &mut Vec<ServiceOutput<Told>>) {
        let others = self.peers(now).map(|p| p.present.clone());
        let leaves = self.trials.leaves(now, others.as_deref());
        let hosts: BTreeSet<u32> = leaves.iter().map(|l| l.host).collect();
        let well = self.on_trial.difference(&hosts).map(|host| Told::Trial {
            host: *host,
            many: 0,
            until: now,
        });
        out.extend(well.map(ServiceOutput::Event));
        let trial = |l: Leave| {
            ServiceOutput::Event(Told::Trial {
                host: l.host,
                many: l.many,
                until: l.until,
            })
        };
        out.extend(leaves.into_iter().map(trial));
        self.on_trial = hosts;
    }

    /// The own word. What the dispatcher told too long ago is nothing: it stands still, and takes nothing.
    fn word(&mut self, now: Duration, capacity: f64) -> Word {
        self.number += 1;
        let fresh = self
            .seen
            .as_ref()
            .filter(|(at, _)| now.saturating_sub(*at) < COUNTS_FOR);
        let seen = fresh.map(|(_, seen)| seen.clone()).unwrap_or_default();
        Word {
            number: self.number,
            demand: seen.demand.iter().map(|d| d.get()).collect(),
            taken: seen.taken.get(),
            completed: seen.completed.get(),
            backlog: seen.backlog.get(),
            each: seen.each.get(),
            waits: seen.waits.get(),
            hosts: seen.hosts.get(),
            delay: seen.delay.get(),
            fresh: seen.fresh.get(),
            repeats: seen.repeats.get(),
            cut: self.rank,
            capacity,
        }
    }

    /// Says the own word to all, or to some drawn anew where they are many.
    fn say(&mut self, now: Duration, word: &Word, out: &mut Vec<ServiceOutput<Told>>) {
        let Some(peers) = self.peers(now) else { return };
        let mut to = peers.present.clone();
        if to.len() > TOLD_MOST {
            if !self.beats.is_multiple_of(SAMPLE_BEATS) {
                return;
            }
            for i in 0..TOLD_MOST {
                self.draws = self.draws.wrapping_add(1);
                let left = to.len() - i;
                to.swap(i, i + (spread(self.draws) % left as u64) as usize);
            }
            to.truncate(TOLD_MOST);
        }
        let bytes = word.write();
        out.extend(
            to.into_iter()
                .map(|name| ServiceOutput::SendDatagram(name, bytes.clone())),
        );
    }

    fn beat(&mut self, now: Duration, out: &mut Vec<ServiceOutput<Told>>) {
        self.beat_at = now + BEAT;
        self.beats = self.beats.wrapping_add(1);
        let Some(known) = self.seen.as_ref() else {
            return;
        };
        let stale = now.saturating_sub(known.0) >= COUNTS_FOR;
        self.words.forget(now);
        self.probes.forget(now);
        self.tell_trials(now, out);
        let there = self.peers(now).map_or(0, |p| p.present.len());
        let together = self.together(now);
        let word = self.word(now, self.capacity.per_s());
        let sampled = (there > TOLD_MOST).then_some(there + 1);
        let sums = self.words.sums(now, &word, sampled);
        // Cut off it goes by the part of the hosts that is its own whatever the others do.
        let share = if together {
            1.0
        } else {
            sums.members / self.roster.len().max(1) as f64
        };
        let wait_s = self.settings.wait_share * self.aim_s;
        let takes = self.capacity.look(now, &sums, wait_s, share.min(1.0));
        let admits = if together {
            takes.admits
        } else {
            takes.admits.min(takes.capacity)
        };
        let own = cut(&sums.demand, admits);
        self.rank = own
            + LEAN * (sums.cut.min(LEVELS as f64) - own) * f64::from(u8::from(sums.members > 1.0));
        if own == 0.0 && self.rank < 0.5 {
            self.rank = 0.0;
        }
        let said = Word {
            cut: self.rank,
            capacity: takes.capacity,
            ..word
        };
        self.say(now, &said, out);
        if !stale {
            out.push(ServiceOutput::Event(Told::Cut(self.told(
                now,
                &sums,
                &said,
                takes,
                there + 1,
            ))));
        }
        self.name(&sums, out);
        self.log(now, &sums, takes, out);
    }

    fn told(&self, now: Duration, sums: &Sums, own: &Word, takes: Takes, members: usize) -> Cut {
        let part = self.peers(now).map_or(QuotaLease::default(), |p| p.lease);
        // What may wait is divided as demand is, in part: a burst at one must not find it without room.
        let even = 1.0 / members as f64;
        let asked = if sums.asked() > 0.0 {
            own.asked() / sums.asked()
        } else {
            even
        };
        Cut {
            until: now + COUNTS_FOR,
            rank: Millionths::of(self.rank),
            capacity: Millionths::of(takes.capacity),
            free: Millionths::of(RETURNS * takes.capacity),
            room: Millionths::of(2.0 * takes.room * (0.5 * even + 0.5 * asked).max(0.5 * even)),
            fresh: Millionths::of(sums.fresh),
            part: Millionths::of(part.leased),
            part_until: part.until,
            members: members as u32,
            together: self.together(now),
        }
    }

    /// A line for each member whose figures are bounded, when it begins.
    fn name(&mut self, sums: &Sums, out: &mut Vec<ServiceOutput<Told>>) {
        for name in sums.nonsense.difference(&self.named) {
            let why = OverloadError::Nonsense;
            let text = format!(
                "overload: nonsense from={:08x} {why}; {}",
                name.0,
                why.advice()
            );
            out.push(ServiceOutput::Log { warn: true, text });
        }
        self.named = sums.nonsense.clone();
    }

    fn log(
        &mut self,
        now: Duration,
        sums: &Sums,
        takes: Takes,
        out: &mut Vec<ServiceOutput<Told>>,
    ) {
        if now < self.log_at {
            return;
        }
        self.log_at = now + LOG;
        let (taken, refused, repeats) = std::mem::take(&mut self.counts);
        let text = format!(
            "overload: cut={:.3} rank={:.2} demand={:.2} capacity={:.2} waits={:.2} delay={:.2} refused={refused} taken={taken} \
             repeats={repeats} known={:.1} together={}",
            below(&sums.demand, self.rank),
            self.rank,
            sums.asked(),
            takes.capacity,
            sums.backlog,
            sums.delay,
            sums.members,
            self.together(now),
        );
        out.push(ServiceOutput::Log { warn: false, text });
        for (why, many) in std::mem::take(&mut self.dropped) {
            let text = format!("overload: dropped={many} {why}; {}", why.advice());
            out.push(ServiceOutput::Log { warn: true, text });
        }
    }
}

/// What is to be done for probes, as the loop is told it.
fn carry(done: Vec<Do>, out: &mut Vec<ServiceOutput<Told>>) {
    out.extend(done.into_iter().map(|what| match what {
        Do::Probe(host) => ServiceOutput::Event(Told::Probe { host }),
        Do::Tell { host, age, report } => ServiceOutput::Event(Told::Report { host, age, report }),
        Do::Say(to, saying) => ServiceOutput::SendDatagram(to, saying.write()),
    }));
}

impl ClusterService for Overload {
    const TOPIC: Topic = Topic::Overload;
    type Request = Ask;
    type Event = Told;

    fn wake_at(&self) -> Option<Duration> {
        Some(self.beat_at)
    }

    fn step(
        &mut self,
        now: Duration,
        given: ServiceInput<Ask>,
        out: &mut Vec<ServiceOutput<Told>>,
    ) {
        match given {
            ServiceInput::Datagram {
                from,
                payload: said,
            } => self.hear(now, from, &said, out),
            ServiceInput::Peers(peers) => self.peers = Some(peers),
            ServiceInput::Request(ask) => self.asked(now, ask, out),
            ServiceInput::Wake
            | ServiceInput::Frame { .. }
            | ServiceInput::Loaded(_)
            | ServiceInput::Persisted { .. }
            | ServiceInput::Leave => {}
        }
        if now >= self.beat_at {
            self.beat(now, out);
        }
    }
}
