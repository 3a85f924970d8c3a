//! Learns with its peers: says its own windows as they grow, asks for what it missed, keeps all on disk.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::{NameKey, Topic, MAX_PAYLOAD};
use bitternlatch_quota_lease::{
    ClusterService, Process, ServiceInput, ServiceOutput, StorageError, StoredEntries, MAX_FRAME,
};

use crate::error::LengthsError;
use crate::ids::{Cell, Number, Origin};
use crate::io::{Ask, Ended, Told};
use crate::learner::Learner;
use crate::message::{pieces, shown, size, Message, Snapshot, Told as OfOrigin};
use crate::odd::{odd, Odd};
use crate::windows::Record;

/// How often estimates are told.
const TICK: Duration = Duration::from_millis(250);
/// How often one window is said again as it grows; all are said once more when they have closed.
const SAY_EVERY: Duration = Duration::from_secs(2);
/// Peers that are told at once, in turn; the rest learns by asking.
const TO: usize = 16;
/// Datagrams a second.
const SAID_A_TICK: usize = 16;
/// How often one peer, in turn, is asked for what was missed; and, until a first answer, a few.
const ASK_EVERY: Duration = Duration::from_secs(10);
const FIRST_EVERY: Duration = Duration::from_millis(300);
const FIRST_ASKED: usize = 3;
/// Questions answered in a tick; who is not answered asks again.
const ANSWERED: usize = 4;
const KEEP_EVERY: Duration = Duration::from_secs(10);
const LOG_EVERY: Duration = Duration::from_secs(5);
/// Curves told again in a tick, as a word may find the core's loop full.
const AGAIN: usize = 4;
/// What is read back is taken for older by this where the clock has run back since.
const SET_BACK: Duration = Duration::from_secs(600);
const KEPT_AS: &[u8] = b"lengths";
/// Bytes of a datagram and a frame beside their records.
const HEAD: usize = 16;
/// Bytes of a frame kept for what follows its records: how estimates are calibrated.
const CALIBRATED: usize = 8 * 1024;

/// One member's part in what all learn. Takes [`Ended`] answers, tells curves.
pub struct Lengths {
    learner: Learner,
    origin: Origin,
    /// Peers that are there, and those not yet asked since they came.
    there: BTreeSet<NameKey>,
    unasked: BTreeSet<NameKey>,
    /// Own windows that have grown since they were said, and when each was said last.
    unsaid: BTreeSet<(Cell, Number)>,
    said: BTreeMap<(Cell, Number), Duration>,
    /// Whose turn it is.
    turn: usize,
    answers_left: usize,
    /// A peer has answered in whole, so that what was known before this start is known here.
    caught_up: bool,
    again: Vec<(Cell, crate::Curve)>,
    odd: Odd,
    disk: bool,
    keep_fault: Option<StorageError>,
    changed: bool,
    tickets: u64,
    bytes: u64,
    logged: String,
    next: BTreeMap<Due, Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick,
    First,
    Ask,
    Keep,
    Log,
}

type Out = Vec<ServiceOutput<Told>>;

impl Lengths {
    pub fn new(own: Process, now: Duration) -> Lengths {
        let origin = Origin {
            name: own.name,
            generation: own.start,
        };
        let next = [
            (Due::Tick, TICK),
            (Due::First, TICK),
            (Due::Ask, ASK_EVERY),
            (Due::Keep, KEEP_EVERY),
        ];
        let next = next.into_iter().chain([(Due::Log, LOG_EVERY)]);
        Lengths {
            learner: Learner::new(origin),
            origin,
            there: BTreeSet::new(),
            unasked: BTreeSet::new(),
            unsaid: BTreeSet::new(),
            said: BTreeMap::new(),
            turn: 0,
            answers_left: ANSWERED,
            caught_up: false,
            again: vec![],
            odd: Odd::default(),
            disk: false,
            keep_fault: None,
            changed: false,
            tickets: 0,
            bytes: 0,
            logged: String::new(),
            next: next.map(|(due, after)| (due, now + after)).collect(),
        }
    }

    pub fn learner(&self) -> &Learner {
        &self.learner
    }

    /// Whether a peer has told all that it knew.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Bytes said to peers so far, without the envelope.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn due(&mut self, due: Due, now: Duration, every: Duration) -> bool {
        let at = self.next.entry(due).or_insert(now);
        let is = *at <= now;
        if is {
            *at = now + every;
        }
        is
    }

    fn on_wake(&mut self, now: Duration, out: &mut Out) {
        if self.due(Due::Tick, now, TICK) {
            self.answers_left = ANSWERED;
            let curves = self.learner.refresh(now);
            self.tell(curves, out);
            self.say(now, out);
        }
        if self.due(Due::First, now, FIRST_EVERY) {
            let asked: Vec<NameKey> = match self.caught_up {
                true => std::mem::take(&mut self.unasked)
                    .into_iter()
                    .take(FIRST_ASKED)
                    .collect(),
                false => self.some(FIRST_ASKED),
            };
            asked.into_iter().for_each(|peer| self.ask(peer, out));
        }
        if self.due(Due::Ask, now, ASK_EVERY) {
            self.learner.sweep(now);
            self.said
                .retain(|_, at| now.saturating_sub(*at) < 60 * SAY_EVERY);
            self.some(1)
                .into_iter()
                .for_each(|peer| self.ask(peer, out));
        }
        if self.due(Due::Keep, now, KEEP_EVERY) {
            self.keep(now, out);
        }
        if self.due(Due::Log, now, LOG_EVERY) {
            self.log(out);
        }
    }

    /// New curves, and a few of the old ones in turn.
    fn tell(&mut self, mut curves: Vec<(Cell, crate::Curve)>, out: &mut Out) {
        if self.again.is_empty() {
            self.again = self.learner.curves().all();
        }
        for _ in 0..AGAIN {
            let again = self.again.pop();
            // As told last: one that has changed since is among the new ones.
            curves.extend(
                again.filter(|(cell, curve)| self.learner.curves().get(cell) == Some(curve)),
            );
        }
        if !curves.is_empty() {
            out.push(ServiceOutput::Event(Told::Curves(curves)));
        }
    }

    /// Peers in turn.
    fn some(&mut self, most: usize) -> Vec<NameKey> {
        let n = self.there.len();
        let from = if n == 0 { 0 } else { self.turn % n };
        self.turn = self.turn.wrapping_add(most.min(n));
        self.there
            .iter()
            .cycle()
            .skip(from)
            .take(most.min(n))
            .copied()
            .collect()
    }

    /// Own windows that have grown, in as few datagrams as hold them.
    fn say(&mut self, now: Duration, out: &mut Out) {
        let due = |w: &&(Cell, Number)| {
            self.said
                .get(*w)
                .is_none_or(|at| now.saturating_sub(*at) >= SAY_EVERY)
        };
        let due: Vec<(Cell, Number)> = self.unsaid.iter().filter(due).copied().collect();
        if due.is_empty() || self.there.is_empty() {
            return;
        }
        let to = self.some(TO);
        let datagrams_most = (SAID_A_TICK / to.len()).max(1);
        let (mut said, mut records, mut used, mut datagrams) = (vec![], vec![], HEAD, 0);
        for (cell, number) in due {
            let Some(window) = self.learner.windows.get(&cell, self.origin, number) else {
                self.unsaid.remove(&(cell, number));
                continue;
            };
            let record = Record::of(now, cell, number, window);
            let needs = size(&record);
            if used + needs > MAX_PAYLOAD && !records.is_empty() {
                said.push(std::mem::take(&mut records));
                (used, datagrams) = (HEAD, datagrams + 1);
                if datagrams >= datagrams_most {
                    break;
                }
            }
            used += needs;
            records.push(record);
            self.unsaid.remove(&(cell, number));
            self.said.insert((cell, number), now);
        }
        if !records.is_empty() {
            said.push(records);
        }
        for records in said {
            let news = Message::News {
                generation: self.origin.generation,
                records,
            }
            .encode();
            to.iter()
                .for_each(|peer| self.send(*peer, news.clone(), out));
        }
    }

    /// By datagram where it fits, else by frame.
    fn send(&mut self, to: NameKey, said: Vec<u8>, out: &mut Out) {
        self.bytes += said.len() as u64;
        out.push(if said.len() <= MAX_PAYLOAD {
            ServiceOutput::SendDatagram(to, said)
        } else {
            ServiceOutput::SendFrame(to, said)
        });
    }

    fn ask(&mut self, peer: NameKey, out: &mut Out) {
        let have = self.learner.windows.digest().into_iter().collect();
        let want = Message::Want { have }.encode();
        self.bytes += want.len() as u64;
        out.push(ServiceOutput::SendFrame(peer, want));
    }

    /// What an asker lacks, the latest first, as what does not fit its link's queue is lost.
    fn answer(&mut self, now: Duration, to: NameKey, have: Vec<(Origin, u64)>, out: &mut Out) {
        if self.answers_left == 0 {
            return;
        }
        self.answers_left -= 1;
        let have: BTreeMap<Origin, u64> = have.into_iter().collect();
        let lacks: BTreeSet<Origin> = self
            .learner
            .windows
            .digest()
            .into_iter()
            .filter_map(|(origin, digest)| {
                (have.get(&origin) != Some(&digest) && origin.name != to
                    || !have.contains_key(&origin))
                .then_some(origin)
            })
            .collect();
        let mut records: Vec<(Origin, Record)> =
            self.records(now, |origin| lacks.contains(&origin));
        records.sort_by_key(|(origin, record)| (record.last, *origin));
        let mut parts = pieces(records, MAX_FRAME - CALIBRATED);
        let last = parts.pop().unwrap_or_default();
        let calibrated = Some(self.learner.coverage.clone());
        let frames = parts
            .into_iter()
            .map(|told| (told, None))
            .chain([(last, calibrated)]);
        for (told, last) in frames {
            let state = Message::State { told, last }.encode();
            self.bytes += state.len() as u64;
            out.push(ServiceOutput::SendFrame(to, state));
        }
    }

    fn records(&self, now: Duration, of: impl Fn(Origin) -> bool) -> Vec<(Origin, Record)> {
        let all = self.learner.windows.all().filter(|w| of(w.1));
        all.map(|(cell, origin, number, window)| (origin, Record::of(now, cell, number, window)))
            .collect()
    }

    fn hear(&mut self, now: Duration, from: NameKey, said: &[u8], out: &mut Out) {
        match Message::decode(said) {
            Ok(Message::News {
                generation,
                records,
            }) => {
                let origin = Origin {
                    name: from,
                    generation,
                };
                self.learn(now, Duration::ZERO, vec![OfOrigin { origin, records }]);
            }
            Ok(Message::Want { have }) => self.answer(now, from, have, out),
            Ok(Message::State { told, last }) => {
                self.learn(now, Duration::ZERO, told);
                let Some(coverage) = last else { return };
                self.learner.coverage.begin_as(coverage);
                if !std::mem::replace(&mut self.caught_up, true) {
                    let answers = self.learner.windows.answers();
                    let text = format!("lengths: caught up answers={answers} by={}", shown(from));
                    out.push(ServiceOutput::Log { warn: false, text });
                }
            }
            Err(error) => {
                if self.odd.peer(from, &error) {
                    let text = format!(
                        "lengths: peer {} said {error}; {}",
                        shown(from),
                        error.advice()
                    );
                    out.push(ServiceOutput::Log { warn: true, text });
                }
            }
        }
    }

    fn learn(&mut self, now: Duration, late: Duration, told: Vec<OfOrigin>) {
        for OfOrigin { origin, records } in told {
            // Of what this start has counted nobody knows more.
            if origin == self.origin {
                continue;
            }
            for record in records {
                let (cell, number, window) = record.window(now, late);
                self.changed |= self.learner.merge((cell, origin, number, window));
            }
        }
    }

    fn on_ended(&mut self, now: Duration, ended: &Ended, out: &mut Out) {
        if odd(ended) {
            if self.odd.host(&ended.host) {
                let error = LengthsError::OddHost;
                let (host, tokens, ceiling) = (&ended.host, ended.tokens, ended.ceiling);
                let text = format!(
                    "lengths: host={host} tokens={tokens} ceiling={ceiling}: {error}; {}",
                    error.advice()
                );
                out.push(ServiceOutput::Log { warn: true, text });
            }
            return;
        }
        if let Some(counted) = self.learner.ended(now, ended) {
            self.unsaid.insert((counted.cell, counted.number));
            self.changed = true;
        }
    }

    fn keep(&mut self, now: Duration, out: &mut Out) {
        if !self.disk || !std::mem::take(&mut self.changed) {
            return;
        }
        let told = pieces(self.records(now, |_| true), usize::MAX)
            .into_iter()
            .flatten()
            .collect();
        let saved = now.as_millis() as u64;
        let snapshot = Snapshot {
            saved,
            coverage: self.learner.coverage.clone(),
            told,
        };
        self.tickets += 1;
        let bytes = Some(snapshot.encode());
        out.push(ServiceOutput::Persist {
            ticket: self.tickets,
            name: KEPT_AS.to_vec(),
            bytes,
        });
    }

    fn on_found(
        &mut self,
        now: Duration,
        found: Result<StoredEntries, StorageError>,
        out: &mut Out,
    ) {
        self.disk = true;
        let read = found.map_err(LengthsError::unread).and_then(|found| {
            let kept = found.into_iter().find(|(name, _)| name == KEPT_AS);
            kept.map(|(_, bytes)| Snapshot::decode(&bytes)).transpose()
        });
        match read {
            Ok(None) => {}
            Ok(Some(snapshot)) => {
                let saved = Duration::from_millis(snapshot.saved);
                let late = now.checked_sub(saved).unwrap_or(SET_BACK);
                self.learner.coverage = snapshot.coverage;
                self.learn(now, late, snapshot.told);
                let (answers, age) = (self.learner.windows.answers(), late.as_secs());
                let text = format!("lengths: read back answers={answers} age_s={age}");
                out.push(ServiceOutput::Log { warn: false, text });
            }
            Err(error) => {
                let text = format!(
                    "lengths: begins with nothing of its own: {error}; {}",
                    error.advice()
                );
                out.push(ServiceOutput::Log { warn: true, text });
            }
        }
    }

    fn on_kept(&mut self, done: Result<(), StorageError>, out: &mut Out) {
        let fault = done.err();
        if let Some(fault) = fault
            .as_ref()
            .filter(|f| self.keep_fault.as_ref() != Some(f))
        {
            let text = format!("lengths: not kept: {fault}; {}", fault.advice());
            out.push(ServiceOutput::Log { warn: true, text });
        }
        self.changed |= fault.is_some();
        self.keep_fault = fault;
    }

    fn log(&mut self, out: &mut Out) {
        let windows = &self.learner.windows;
        let share = self
            .learner
            .coverage
            .share()
            .map_or("none".to_string(), |s| format!("{s:.3}"));
        let all = self
            .learner
            .curves()
            .get(&Cell::ALL)
            .map(|c| c.expected(u32::MAX));
        let (p50, p90) = all.map_or((0.0, 0.0), |e| (e.p50, e.p90));
        let text = format!(
            "lengths: answers={} windows={} cells={} origins={} curves={} p50={p50:.0} p90={p90:.0} coverage={share} changes={} odd={} peers={}",
            windows.answers(),
            windows.len(),
            windows.cells().count(),
            windows.origins(),
            self.learner.curves().len(),
            self.learner.changes,
            self.odd.count,
            self.there.len(),
        );
        if text != self.logged {
            out.push(ServiceOutput::Log {
                warn: false,
                text: text.clone(),
            });
            self.logged = text;
        }
    }
}

impl ClusterService for Lengths {
    const TOPIC: Topic = Topic::Lengths;
    type Request = Ask;
    type Event = Told;

    fn wake_at(&self) -> Option<Duration> {
        self.next.values().min().copied()
    }

    fn step(&mut self, now: Duration, given: ServiceInput<Ask>, out: &mut Out) {
        match given {
            ServiceInput::Wake => self.on_wake(now, out),
            ServiceInput::Datagram {
                from,
                payload: said,
            }
            | ServiceInput::Frame {
                from,
                payload: said,
            } => self.hear(now, from.name, &said, out),
            ServiceInput::Peers(peers) => {
                let there: BTreeSet<NameKey> = peers.present.into_iter().collect();
                // Those that have come, or come back: each may know what was missed.
                self.unasked.extend(there.difference(&self.there));
                self.unasked.retain(|peer| there.contains(peer));
                self.there = there;
            }
            ServiceInput::Request(Ask::Ended(ended)) => self.on_ended(now, &ended, out),
            ServiceInput::Loaded(found) => self.on_found(now, found, out),
            ServiceInput::Persisted { done, .. } => self.on_kept(done, out),
            ServiceInput::Leave => self.keep(now, out),
        }
    }
}
