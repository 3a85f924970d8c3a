//! One member's part: the copies that it holds, and the calls that it makes.

mod calls;
mod catch_up;
mod serve;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{KeepError, Peers, Process};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

use crate::job::{Job, Lead, Mint};
use crate::memory::{Kind, Memory};
use crate::message::Said;
use crate::shelf::Shelf;
use crate::{disk, Call, Event, Input, Output, RegisterKey, ReplicaError, Settings, Version};

use calls::Trail;
use catch_up::Fetch;

/// How long a copy with its disk waits for all others to have spoken, before one that did is enough.
const GRACE: Duration = Duration::from_secs(3);
/// Between two tellings of how far its memory goes.
const BEAT: Duration = Duration::from_secs(1);
/// After so many it is told again to all, as frames are lost, and what others told is kept on disk.
const BEATS: u32 = 10;
/// What is lost is taken to have ended by then: the longest life of a workflow.
const LOST_FOR: Duration = Duration::from_secs(24 * 3600);
/// Answers that may wait for the disk; beyond it a message counts as lost.
const WAITING_MOST: usize = 16 * 1024;

/// What is done once something is on disk.
struct Ticket {
    what: For,
    /// Changes of this memory, this one included.
    count: u64,
    replies: Vec<(NameKey, Said)>,
}

#[derive(Clone, Copy, PartialEq)]
enum For {
    Register(RegisterKey),
    Meta,
    Fetched(RegisterKey, NameKey, u64),
    Nothing,
}

/// Whether what memory holds of a register is on disk.
#[derive(Clone, Copy, PartialEq)]
enum Unkept {
    Ticket(u64),
    /// It could not be written.
    Failed,
}

/// What came to nothing, for whoever looks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub unreadable: u64,
    pub other_version: u64,
    /// Chunks whose checksum was wrong.
    pub broken_chunks: u64,
    /// Calls and messages refused at a bound.
    pub turned_away: u64,
}

pub struct Replica {
    own: Process,
    roster: BTreeSet<NameKey>,
    settings: Settings,
    /// None until the disk has been read.
    memory: Option<Memory>,
    opened: Duration,
    shelf: Shelf,
    mint: Mint,
    jobs: BTreeMap<Call, Job>,
    /// Calls by register; the first of each is under way.
    lines: BTreeMap<RegisterKey, VecDeque<Call>>,
    due: BTreeSet<(Duration, Call)>,
    leads: BTreeMap<RegisterKey, Lead>,
    trails: BTreeMap<RegisterKey, Trail>,
    fetches: BTreeMap<NameKey, Fetch>,
    sessions: u64,
    fetched: u64,
    caught_up: bool,
    lost_since: Option<Duration>,
    tickets: BTreeMap<u64, Ticket>,
    next_ticket: u64,
    unkept: BTreeMap<RegisterKey, Unkept>,
    /// Of the changes, those that outlive this process.
    kept: u64,
    meta: Option<Unkept>,
    fault: Option<KeepError>,
    beat_at: Duration,
    beats: u32,
    told: BTreeMap<NameKey, (u64, u64)>,
    peers: Option<Peers>,
    /// To itself, within a step.
    inbox: VecDeque<Said>,
    odd: BTreeSet<NameKey>,
    counts: Counts,
    draws: SplitMix64,
}

impl Replica {
    /// `start` of `own` tells this process from the earlier ones under its name, and is later than theirs. The roster holds its own
    /// name too and is the same at all; it is changed by restarts of all.
    pub fn new(
        own: Process,
        roster: BTreeSet<NameKey>,
        settings: Settings,
        seed: u64,
        now: Duration,
    ) -> Replica {
        let memory =
            (!settings.durable).then(|| Memory::new(own.name, &roster, Kind::Fresh, own.start));
        Replica {
            own,
            roster,
            settings,
            memory,
            opened: now,
            shelf: Shelf::default(),
            mint: Mint::new(own),
            jobs: BTreeMap::new(),
            lines: BTreeMap::new(),
            due: BTreeSet::new(),
            leads: BTreeMap::new(),
            trails: BTreeMap::new(),
            fetches: BTreeMap::new(),
            sessions: 0,
            fetched: 0,
            caught_up: false,
            lost_since: None,
            tickets: BTreeMap::new(),
            next_ticket: 0,
            unkept: BTreeMap::new(),
            kept: 0,
            meta: None,
            fault: None,
            beat_at: now,
            beats: 0,
            told: BTreeMap::new(),
            peers: None,
            inbox: VecDeque::new(),
            odd: BTreeSet::new(),
            counts: Counts::default(),
            draws: SplitMix64::seed_from_u64(seed),
        }
    }

    /// When it wants [`Input::Wake`], at the latest.
    pub fn wake_at(&self) -> Option<Duration> {
        let job = self.due.first().map(|(at, _)| *at);
        let trail = self.trails.values().map(|t| t.at).min();
        let fetch = self.fetches.values().map(|f| f.at).min();
        [job, trail, fetch, self.shelf.next_end(), Some(self.beat_at)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes one input at a clock time and appends what is to be done, in order.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Wake => {}
            Input::Frame { from, said } => self.frame(now, from, &said, out),
            Input::Peers(peers) => self.peers = Some(peers),
            Input::Found(found) => self.found(now, found, out),
            Input::Kept { ticket, done } => self.on_kept(now, ticket, done, out),
            Input::Read { call, key, until } => self.read(now, call, key, until, out),
            Input::Write {
                call,
                key,
                on,
                epoch,
                value,
                until,
            } => {
                self.write(now, call, key, (on, epoch, Some(value)), until, out);
            }
            Input::Drop {
                call,
                key,
                on,
                until,
            } => {
                self.write(now, call, key, (Some(on), on.epoch, None), until, out);
            }
        }
        self.do_due(now, out);
        while let Some(said) = self.inbox.pop_front() {
            self.hear(now, self.own, said, out);
        }
    }

    /// Keys held here with their latest accepted value, which may not be the latest of all.
    pub fn held(&self) -> impl Iterator<Item = (&RegisterKey, Version, &[u8])> {
        self.shelf.after(None).filter_map(|(key, copy)| {
            let state = &copy.accepted.as_ref()?.state;
            Some((key, state.version, state.body.as_deref()?))
        })
    }

    /// Who holds copies of a key: rendezvous hashing over the roster.
    pub fn copies(&self, key: RegisterKey) -> Vec<NameKey> {
        crate::placement::copies(&self.roster, self.settings.copies, key)
    }

    /// Whether this copy counts for a register now.
    pub fn counts_for(&self, now: Duration, key: RegisterKey) -> bool {
        let copies = self.copies(key);
        let waited = now >= self.opened + GRACE;
        copies.contains(&self.own.name)
            && self
                .memory
                .as_ref()
                .is_some_and(|m| m.ready(&copies, waited))
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn frame(&mut self, now: Duration, from: Process, said: &[u8], out: &mut Vec<Output>) {
        if from.name == self.own.name || !self.roster.contains(&from.name) {
            return;
        }
        match Said::read(said) {
            Ok(said) => self.hear(now, from, said, out),
            Err(ReplicaError::OtherVersion(_)) => {
                self.counts.other_version += 1;
                if self.odd.insert(from.name) {
                    out.push(Output::Event(Event::OtherVersion(from.name)));
                }
            }
            Err(_) => self.counts.unreadable += 1,
        }
    }

    fn hear(&mut self, now: Duration, from: Process, said: Said, out: &mut Vec<Output>) {
        let name = from.name;
        match said {
            Said::Look { key, ballot } => self.on_look(now, name, key, ballot, out),
            Said::Prepare { key, ballot } => self.on_prepare(now, name, key, ballot, out),
            Said::Accept { key, ballot, state } => {
                self.on_accept(now, name, (key, ballot, &state), out)
            }
            Said::Promised {
                key,
                ballot,
                stamp,
                accepted,
            } => {
                self.on_promised(now, name, (key, ballot), stamp, accepted, out);
            }
            Said::Took { key, ballot, stamp } => self.on_took(now, name, (key, ballot), stamp, out),
            Said::Refused { key, ballot, why } => {
                self.on_refused(now, name, (key, ballot), why, out)
            }
            Said::Gone { key, version } => self.shelf.gone(now, key, version),
            Said::CatchUp {
                session,
                life,
                count,
                after,
            } => {
                self.on_catch_up(name, (session, after), (life, count), out);
            }
            Said::Chunk(chunk) => self.on_chunk(now, from, &chunk, out),
            Said::Beat { life, count } => drop(self.note(name, life, count, out)),
        }
    }

    fn do_due(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.do_due_calls(now, out);
        self.do_due_trails(now, out);
        self.fetch(now, out);
        self.look_caught_up(now, out);
        for key in self.shelf.expire(now) {
            self.unkept.remove(&key);
            if self.settings.durable {
                // The record that told how many changes there were may be the one that goes.
                self.keep_meta(vec![], out);
                self.keep(For::Nothing, disk::name(key), None, vec![], out);
            }
        }
        if now >= self.beat_at {
            self.beat_at = now + BEAT;
            self.beat(now, out);
        }
    }

    fn beat(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.beats += 1;
        if self.beats >= BEATS {
            self.beats = 0;
            self.told.clear();
            if self.settings.durable && self.memory.is_some() {
                self.keep_meta(vec![], out);
            }
        }
        if self.lost_since.is_some_and(|since| now >= since + LOST_FOR) {
            self.lost_since = None;
            self.memory.iter_mut().for_each(Memory::forgive);
        }
        let Some((life, count)) = self.memory.as_ref().map(|m| (m.life, self.kept)) else {
            return;
        };
        let others: Vec<NameKey> = self
            .roster
            .iter()
            .copied()
            .filter(|n| *n != self.own.name)
            .collect();
        for name in others {
            if self.told.insert(name, (life, count)) != Some((life, count)) {
                self.send(name, Said::Beat { life, count }, out);
            }
        }
    }

    /// Takes word of how far another's memory goes.
    fn note(&mut self, name: NameKey, life: u64, count: u64, out: &mut Vec<Output>) -> bool {
        let Some(memory) = &mut self.memory else {
            return false;
        };
        let (later, loss) = memory.note(
            name,
            crate::memory::Life {
                life,
                count,
                lost: false,
            },
        );
        if loss {
            out.push(Output::Event(Event::CopyLost(name)));
        }
        later
    }

    fn send(&mut self, to: NameKey, said: Said, out: &mut Vec<Output>) {
        match to == self.own.name {
            true => self.inbox.push_back(said),
            false => out.push(Output::Send(to, said.write())),
        }
    }

    /// 64 bits of chance.
    fn draw(&mut self) -> u64 {
        self.draws.next_u64()
    }
}
