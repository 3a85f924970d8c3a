//! The state machine of one member: sends the windows that this process counts to peers as they grow, requests windows whose
//! updates were lost, and stores snapshots of all windows on disk.
//!
//! A window holds the counts, by output length, of responses of one cell (a model, request class and range of prompt lengths)
//! from one origin (an incarnation of a member). Own windows are those whose origin is this process. An estimate is the
//! distribution of the output lengths of a cell, whose 90th percentile is adjusted by the calibration (miss rates by model and
//! class). Estimates are emitted to the request-handling core (the core).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::{NameKey, Topic, MAX_PAYLOAD};
use bitternlatch_quota_lease::{
    ClusterService, Process, ServiceInput, ServiceOutput, StorageError, StoredEntries, MAX_FRAME,
};

use crate::error::OutputLengthError;
use crate::ids::{Cell, Origin, WindowNumber};
use crate::io::{Command, Event, FinishedResponse};
use crate::learner::Learner;
use crate::message::{
    display_member, encoded_len, split_into_parts, Message, OriginRecords, Snapshot,
};
use crate::odd::{is_implausible, OutlierReports};
use crate::windows::WindowRecord;

/// Interval at which estimates are computed and grown windows are sent.
const TICK: Duration = Duration::from_millis(250);
/// Least time between two updates with the same window while it grows.
const UPDATE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of peers, in rotation, that one tick's updates are sent to; other peers receive the windows by their state requests.
const UPDATE_PEERS: usize = 16;
/// Limit of update datagrams sent per tick, over all receivers.
const MAX_TICK_DATAGRAMS: usize = 16;
/// Interval of the state requests that are sent to one peer, in rotation, to obtain windows whose updates were lost.
const STATE_REQUEST_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of initial state requests: to peers in rotation until the first complete reply, afterwards to newly joined peers.
const INITIAL_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Number of peers that an initial state request is sent to at once.
const INITIAL_REQUEST_PEERS: usize = 3;
/// Limit of state requests answered per tick; a peer that gets no reply requests again later.
const MAX_TICK_REPLIES: usize = 4;
/// Interval at which a snapshot is stored if windows have changed.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which the status line is logged if it has changed.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Number of unchanged estimates sent to the core again per tick, since an earlier event is lost if the core's queue was full.
const RESENT_CURVES: usize = 4;
/// Age assumed for a snapshot whose time is ahead of the clock, because the clock was set back after the snapshot was taken.
const AGE_AFTER_CLOCK_SET_BACK: Duration = Duration::from_secs(600);
/// Name of the snapshot in the store.
const SNAPSHOT_NAME: &[u8] = b"lengths";
/// Bytes reserved in an update for everything but the window records.
const HEADER_LEN: usize = 16;
/// Bytes reserved for the calibration (miss rates by model and class) in a frame that replies to a state request. The last frame
/// of a reply holds the calibration after the window records.
const CALIBRATION_LEN: usize = 8 * 1024;

/// One member's state machine for the estimation of output lengths. It counts finished responses, exchanges windows of counts
/// with its peers, stores snapshots and emits the estimates.
pub struct OutputLengths {
    learner: Learner,
    /// This process, as the origin of the windows that it counts.
    origin: Origin,
    /// Peers that are reachable.
    peers: BTreeSet<NameKey>,
    /// Reachable peers that have joined and are not yet considered for an initial state request. After the first complete reply,
    /// all are removed at the next interval, and at most [`INITIAL_REQUEST_PEERS`] of them get a request.
    unrequested_peers: BTreeSet<NameKey>,
    /// Own windows that have grown since they were last sent.
    unsent: BTreeSet<(Cell, WindowNumber)>,
    /// When each own window was last sent.
    sent_at: BTreeMap<(Cell, WindowNumber), Duration>,
    /// Position of the rotation among the peers.
    next_peer: usize,
    /// Number of state requests that may still be answered in this tick.
    replies_left: usize,
    /// Whether a peer has replied in full to a state request, so that this process stores the windows that the peer had stored
    /// before this process started.
    caught_up: bool,
    /// Estimates that are still to be sent to the core again in this round.
    resend_queue: Vec<(Cell, crate::QuantileCurve)>,
    /// Implausible reports of servers and invalid messages of peers.
    outliers: OutlierReports,
    /// Whether there is a store for snapshots.
    has_store: bool,
    /// The error of the last attempt to store a snapshot; `None` if it succeeded.
    snapshot_error: Option<StorageError>,
    /// Whether windows have changed since the last snapshot.
    changed_since_snapshot: bool,
    /// Number of snapshots handed to the store; identifies the latest one.
    tickets: u64,
    /// Number of bytes sent to peers so far.
    sent_bytes: u64,
    /// The status line logged last; an equal one is not logged again.
    last_status: String,
    /// When each periodic task is due.
    due_at: BTreeMap<Task, Duration>,
}

/// A periodic task of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Tick,
    InitialRequest,
    StateRequest,
    Snapshot,
    Log,
}

type Outputs = Vec<ServiceOutput<Event>>;

impl OutputLengths {
    pub fn new(process: Process, now: Duration) -> OutputLengths {
        let origin = Origin {
            member: process.name,
            incarnation: process.start,
        };
        let tasks = [
            (Task::Tick, TICK),
            (Task::InitialRequest, TICK),
            (Task::StateRequest, STATE_REQUEST_INTERVAL),
            (Task::Snapshot, SNAPSHOT_INTERVAL),
        ];
        let tasks = tasks.into_iter().chain([(Task::Log, LOG_INTERVAL)]);
        OutputLengths {
            learner: Learner::new(origin),
            origin,
            peers: BTreeSet::new(),
            unrequested_peers: BTreeSet::new(),
            unsent: BTreeSet::new(),
            sent_at: BTreeMap::new(),
            next_peer: 0,
            replies_left: MAX_TICK_REPLIES,
            caught_up: false,
            resend_queue: vec![],
            outliers: OutlierReports::default(),
            has_store: false,
            snapshot_error: None,
            changed_since_snapshot: false,
            tickets: 0,
            sent_bytes: 0,
            last_status: String::new(),
            due_at: tasks.map(|(task, after)| (task, now + after)).collect(),
        }
    }

    pub fn learner(&self) -> &Learner {
        &self.learner
    }

    /// Whether a peer has replied in full to a state request since this process started.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Number of bytes sent to peers so far, without the headers of the transport.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Whether a periodic task is due; if so, schedules its next run.
    fn take_due(&mut self, task: Task, now: Duration, interval: Duration) -> bool {
        let at = self.due_at.entry(task).or_insert(now);
        let is_due = *at <= now;
        if is_due {
            *at = now + interval;
        }
        is_due
    }

    fn on_wake(&mut self, now: Duration, out: &mut Outputs) {
        if self.take_due(Task::Tick, now, TICK) {
            self.replies_left = MAX_TICK_REPLIES;
            let curves = self.learner.refresh(now);
            self.emit_curves(curves, out);
            self.send_updates(now, out);
        }
        if self.take_due(Task::InitialRequest, now, INITIAL_REQUEST_INTERVAL) {
            let receivers: Vec<NameKey> = match self.caught_up {
                true => std::mem::take(&mut self.unrequested_peers)
                    .into_iter()
                    .take(INITIAL_REQUEST_PEERS)
                    .collect(),
                false => self.next_peers(INITIAL_REQUEST_PEERS),
            };
            receivers
                .into_iter()
                .for_each(|peer| self.request_state(peer, out));
        }
        if self.take_due(Task::StateRequest, now, STATE_REQUEST_INTERVAL) {
            self.learner.drop_expired(now);
            self.sent_at
                .retain(|_, at| now.saturating_sub(*at) < 60 * UPDATE_INTERVAL);
            self.next_peers(1)
                .into_iter()
                .for_each(|peer| self.request_state(peer, out));
        }
        if self.take_due(Task::Snapshot, now, SNAPSHOT_INTERVAL) {
            self.store_snapshot(now, out);
        }
        if self.take_due(Task::Log, now, LOG_INTERVAL) {
            self.log_status(out);
        }
    }

    /// Emits the changed estimates and, in rotation, a few of the unchanged ones.
    fn emit_curves(&mut self, mut curves: Vec<(Cell, crate::QuantileCurve)>, out: &mut Outputs) {
        if self.resend_queue.is_empty() {
            self.resend_queue = self.learner.curves().all();
        }
        for _ in 0..RESENT_CURVES {
            let curve = self.resend_queue.pop();
            // An estimate that has changed since it was queued is already among the changed ones.
            curves.extend(
                curve.filter(|(cell, curve)| self.learner.curves().get(cell) == Some(curve)),
            );
        }
        if !curves.is_empty() {
            out.push(ServiceOutput::Event(Event::Estimates(curves)));
        }
    }

    /// The next peers of the rotation, at most `max`.
    fn next_peers(&mut self, max: usize) -> Vec<NameKey> {
        let n = self.peers.len();
        let from = if n == 0 { 0 } else { self.next_peer % n };
        self.next_peer = self.next_peer.wrapping_add(max.min(n));
        self.peers
            .iter()
            .cycle()
            .skip(from)
            .take(max.min(n))
            .copied()
            .collect()
    }

    /// Sends the own windows that have grown, in as few datagrams as possible.
    fn send_updates(&mut self, now: Duration, out: &mut Outputs) {
        let is_due = |w: &&(Cell, WindowNumber)| {
            self.sent_at
                .get(*w)
                .is_none_or(|at| now.saturating_sub(*at) >= UPDATE_INTERVAL)
        };
        let due: Vec<(Cell, WindowNumber)> = self.unsent.iter().filter(is_due).copied().collect();
        if due.is_empty() || self.peers.is_empty() {
            return;
        }
        let receivers = self.next_peers(UPDATE_PEERS);
        let max_datagrams = (MAX_TICK_DATAGRAMS / receivers.len()).max(1);
        let (mut payloads, mut records, mut used, mut datagrams) = (vec![], vec![], HEADER_LEN, 0);
        for (cell, number) in due {
            let Some(window) = self.learner.windows.get(&cell, self.origin, number) else {
                self.unsent.remove(&(cell, number));
                continue;
            };
            let record = WindowRecord::of(now, cell, number, window);
            let len = encoded_len(&record);
            if used + len > MAX_PAYLOAD && !records.is_empty() {
                payloads.push(std::mem::take(&mut records));
                (used, datagrams) = (HEADER_LEN, datagrams + 1);
                if datagrams >= max_datagrams {
                    break;
                }
            }
            used += len;
            records.push(record);
            self.unsent.remove(&(cell, number));
            self.sent_at.insert((cell, number), now);
        }
        if !records.is_empty() {
            payloads.push(records);
        }
        for records in payloads {
            let update = Message::Update {
                incarnation: self.origin.incarnation,
                records,
            }
            .encode();
            receivers
                .iter()
                .for_each(|peer| self.send(*peer, update.clone(), out));
        }
    }

    /// Sends a payload in a datagram if it fits into one, otherwise in a frame.
    fn send(&mut self, to: NameKey, payload: Vec<u8>, out: &mut Outputs) {
        self.sent_bytes += payload.len() as u64;
        out.push(if payload.len() <= MAX_PAYLOAD {
            ServiceOutput::SendDatagram(to, payload)
        } else {
            ServiceOutput::SendFrame(to, payload)
        });
    }

    /// Sends a peer a state request with the digests of all stored origins.
    fn request_state(&mut self, peer: NameKey, out: &mut Outputs) {
        let digests = self.learner.windows.digest().into_iter().collect();
        let request = Message::StateRequest { digests }.encode();
        self.sent_bytes += request.len() as u64;
        out.push(ServiceOutput::SendFrame(peer, request));
    }

    /// Replies to a state request with the windows of each origin whose digest differs from the requester's. Of the incarnations
    /// of the requester itself, it sends only those that the requester lacks entirely. The most recent windows are sent first, as
    /// frames that do not fit into the queue of the link are lost.
    fn reply_state(
        &mut self,
        now: Duration,
        to: NameKey,
        digests: Vec<(Origin, u64)>,
        out: &mut Outputs,
    ) {
        if self.replies_left == 0 {
            return;
        }
        self.replies_left -= 1;
        let digests: BTreeMap<Origin, u64> = digests.into_iter().collect();
        let missing: BTreeSet<Origin> = self
            .learner
            .windows
            .digest()
            .into_iter()
            .filter_map(|(origin, digest)| {
                (digests.get(&origin) != Some(&digest) && origin.member != to
                    || !digests.contains_key(&origin))
                .then_some(origin)
            })
            .collect();
        let mut records: Vec<(Origin, WindowRecord)> =
            self.records(now, |origin| missing.contains(&origin));
        records.sort_by_key(|(origin, record)| (record.last_end_age, *origin));
        let mut parts = split_into_parts(records, MAX_FRAME - CALIBRATION_LEN);
        let last_part = parts.pop().unwrap_or_default();
        let calibration = Some(self.learner.calibration.clone());
        let frames = parts
            .into_iter()
            .map(|windows| (windows, None))
            .chain([(last_part, calibration)]);
        for (windows, calibration) in frames {
            let state = Message::State {
                windows,
                calibration,
            }
            .encode();
            self.sent_bytes += state.len() as u64;
            out.push(ServiceOutput::SendFrame(to, state));
        }
    }

    /// Records of the stored windows of those origins for which `select` returns true, for a reply to a peer or for a snapshot.
    /// An origin is the incarnation of a member that counted the responses of a window.
    fn records(
        &self,
        now: Duration,
        select: impl Fn(Origin) -> bool,
    ) -> Vec<(Origin, WindowRecord)> {
        let all = self.learner.windows.all().filter(|w| select(w.1));
        all.map(|(cell, origin, number, window)| {
            (origin, WindowRecord::of(now, cell, number, window))
        })
        .collect()
    }

    fn on_message(&mut self, now: Duration, from: NameKey, payload: &[u8], out: &mut Outputs) {
        match Message::decode(payload) {
            Ok(Message::Update {
                incarnation,
                records,
            }) => {
                let origin = Origin {
                    member: from,
                    incarnation,
                };
                self.merge(now, Duration::ZERO, vec![OriginRecords { origin, records }]);
            }
            Ok(Message::StateRequest { digests }) => self.reply_state(now, from, digests, out),
            Ok(Message::State {
                windows,
                calibration,
            }) => {
                self.merge(now, Duration::ZERO, windows);
                let Some(calibration) = calibration else {
                    return;
                };
                self.learner.calibration.adopt_missing(calibration);
                if !std::mem::replace(&mut self.caught_up, true) {
                    let responses = self.learner.windows.responses();
                    let text = format!(
                        "lengths: caught up answers={responses} by={}",
                        display_member(from)
                    );
                    out.push(ServiceOutput::Log { warn: false, text });
                }
            }
            Err(error) => {
                if self.outliers.add_peer(from, &error) {
                    let text = format!(
                        "lengths: peer {} sent a rejected message: {error}; {}",
                        display_member(from),
                        error.advice()
                    );
                    out.push(ServiceOutput::Log { warn: true, text });
                }
            }
        }
    }

    /// Merges windows received from a peer or read from a snapshot. `extra_age` is added to the ages of the windows: the time since
    /// the snapshot was saved, or zero.
    fn merge(&mut self, now: Duration, extra_age: Duration, windows: Vec<OriginRecords>) {
        for OriginRecords { origin, records } in windows {
            // No copy of this process's own windows is newer than the one that it stores.
            if origin == self.origin {
                continue;
            }
            for record in records {
                let (cell, number, window) = record.window(now, extra_age);
                self.changed_since_snapshot |= self.learner.merge((cell, origin, number, window));
            }
        }
    }

    fn on_response_finished(
        &mut self,
        now: Duration,
        response: &FinishedResponse,
        out: &mut Outputs,
    ) {
        if is_implausible(response) {
            if self.outliers.add_server(&response.server) {
                let error = OutputLengthError::ImplausibleReport;
                let (server, tokens, limit) = (
                    &response.server,
                    response.output_tokens,
                    response.max_output_tokens,
                );
                let text = format!(
                    "lengths: host={server} tokens={tokens} ceiling={limit}: {error}; {}",
                    error.advice()
                );
                out.push(ServiceOutput::Log { warn: true, text });
            }
            return;
        }
        if let Some(counted) = self.learner.record(now, response) {
            self.unsent.insert((counted.cell, counted.number));
            self.changed_since_snapshot = true;
        }
    }

    /// Hands a snapshot to the store if windows have changed since the last one.
    fn store_snapshot(&mut self, now: Duration, out: &mut Outputs) {
        if !self.has_store || !std::mem::take(&mut self.changed_since_snapshot) {
            return;
        }
        let windows = split_into_parts(self.records(now, |_| true), usize::MAX)
            .into_iter()
            .flatten()
            .collect();
        let saved_at_ms = now.as_millis() as u64;
        let snapshot = Snapshot {
            saved_at_ms,
            calibration: self.learner.calibration.clone(),
            windows,
        };
        self.tickets += 1;
        let bytes = Some(snapshot.encode());
        out.push(ServiceOutput::Persist {
            ticket: self.tickets,
            name: SNAPSHOT_NAME.to_vec(),
            bytes,
        });
    }

    fn on_snapshot_loaded(
        &mut self,
        now: Duration,
        loaded: Result<StoredEntries, StorageError>,
        out: &mut Outputs,
    ) {
        self.has_store = true;
        let snapshot = loaded
            .map_err(OutputLengthError::snapshot_unavailable)
            .and_then(|entries| {
                let entry = entries.into_iter().find(|(name, _)| name == SNAPSHOT_NAME);
                entry.map(|(_, bytes)| Snapshot::decode(&bytes)).transpose()
            });
        match snapshot {
            Ok(None) => {}
            Ok(Some(snapshot)) => {
                let saved_at = Duration::from_millis(snapshot.saved_at_ms);
                let age = now
                    .checked_sub(saved_at)
                    .unwrap_or(AGE_AFTER_CLOCK_SET_BACK);
                self.learner.calibration = snapshot.calibration;
                self.merge(now, age, snapshot.windows);
                let (responses, age_s) = (self.learner.windows.responses(), age.as_secs());
                let text = format!("lengths: read back answers={responses} age_s={age_s}");
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

    fn on_snapshot_stored(&mut self, result: Result<(), StorageError>, out: &mut Outputs) {
        let error = result.err();
        if let Some(error) = error
            .as_ref()
            .filter(|e| self.snapshot_error.as_ref() != Some(e))
        {
            let text = format!(
                "lengths: the snapshot was not stored: {error}; {}",
                error.advice()
            );
            out.push(ServiceOutput::Log { warn: true, text });
        }
        self.changed_since_snapshot |= error.is_some();
        self.snapshot_error = error;
    }

    /// Logs the status line if it has changed since it was last logged.
    fn log_status(&mut self, out: &mut Outputs) {
        let windows = &self.learner.windows;
        let coverage = self
            .learner
            .calibration
            .coverage()
            .map_or("none".to_string(), |c| format!("{c:.3}"));
        let all = self
            .learner
            .curves()
            .get(&Cell::ALL)
            .map(|c| c.estimate(u32::MAX));
        let (p50, p90) = all.map_or((0.0, 0.0), |e| (e.p50, e.p90));
        let text = format!(
            "lengths: answers={} windows={} cells={} origins={} curves={} p50={p50:.0} p90={p90:.0} coverage={coverage} changes={} odd={} peers={}",
            windows.responses(),
            windows.len(),
            windows.cells().count(),
            windows.origins(),
            self.learner.curves().len(),
            self.learner.changes,
            self.outliers.total,
            self.peers.len(),
        );
        if text != self.last_status {
            out.push(ServiceOutput::Log {
                warn: false,
                text: text.clone(),
            });
            self.last_status = text;
        }
    }
}

impl ClusterService for OutputLengths {
    const TOPIC: Topic = Topic::Lengths;
    type Request = Command;
    type Event = Event;

    fn wake_at(&self) -> Option<Duration> {
        self.due_at.values().min().copied()
    }

    fn step(&mut self, now: Duration, input: ServiceInput<Command>, out: &mut Outputs) {
        match input {
            ServiceInput::Wake => self.on_wake(now, out),
            ServiceInput::Datagram { from, payload } | ServiceInput::Frame { from, payload } => {
                self.on_message(now, from.name, &payload, out)
            }
            ServiceInput::Peers(peers) => {
                let present: BTreeSet<NameKey> = peers.present.into_iter().collect();
                // Peers that have joined, or joined again, may store windows that this process has not received. After the
                // first complete reply, up to `INITIAL_REQUEST_PEERS` of them get a state request at the next interval; any
                // further ones get theirs in the rotation among all peers.
                self.unrequested_peers
                    .extend(present.difference(&self.peers));
                self.unrequested_peers.retain(|peer| present.contains(peer));
                self.peers = present;
            }
            ServiceInput::Request(Command::ResponseFinished(response)) => {
                self.on_response_finished(now, &response, out)
            }
            ServiceInput::Loaded(loaded) => self.on_snapshot_loaded(now, loaded, out),
            ServiceInput::Persisted { done, .. } => self.on_snapshot_stored(done, out),
            ServiceInput::Leave => self.store_snapshot(now, out),
        }
    }
}
