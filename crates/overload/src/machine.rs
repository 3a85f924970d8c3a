//! Overload control of one dispatcher: sends its load report, receives those of the others, and computes the admission threshold that
//! its core applies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState, Topic};
use bitternlatch_quota_lease::{
    ClusterService, Peers, Process, QuotaLease, ServiceInput, ServiceOutput,
};

use crate::capacity::{AdmissibleLoad, CapacityEstimator};
use crate::cut::{admission_threshold, fraction_below};
use crate::io::{AdmissionThreshold, Command, Event, LocalLoad, Millionths, Settings};
use crate::order::{mix, LEVELS};
use crate::probes::{Action, HealthCheckMessage, HealthChecks};
use crate::sums::{ClusterTotals, LoadReports};
use crate::trials::{RecoveryLimit, RecoveryTrials};
use crate::{LoadReport, OverloadError};

/// Interval between two updates of the threshold, and between two load reports to the other dispatchers.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a threshold is valid, and how long a measurement of the local load counts.
const STATE_LIFETIME: Duration = Duration::from_millis(900);
/// Number of dispatchers to which a load report is sent. In a larger cluster the recipients are drawn at random for each report, and a
/// report is sent only every [`SAMPLED_UPDATES`] updates.
const MAX_RECIPIENTS: usize = 16;
const SAMPLED_UPDATES: u32 = 4;
/// Number of dispatchers to which the failure or recovery of a server is reported.
const MAX_FAILURE_RECIPIENTS: usize = 64;
/// Interval between two status lines in the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of the other dispatchers' mean threshold in each update of this dispatcher's own threshold.
const PEER_THRESHOLD_WEIGHT: f64 = 0.5;
/// Fraction of the capacity that is reserved for retries of rejected requests.
const RETRY_CAPACITY_SHARE: f64 = 0.1;

/// Overload control of one dispatcher; see the crate's documentation. Work is in seconds of a server of weight 1.
pub struct OverloadControl {
    own: Process,
    /// All dispatchers that the cluster should have.
    roster: BTreeSet<NameKey>,
    settings: Settings,
    /// The shortest time-to-first-token objective of all request classes, seconds.
    ttft_objective_s: f64,
    /// State of the random number generator.
    random_state: u64,
    update_at: Duration,
    /// Number of updates so far.
    updates: u32,
    /// Sequence number of the last load report.
    sequence: u64,
    /// The latest measurement of the local load, and when it was received.
    local_load: Option<(Duration, LocalLoad)>,
    reports: LoadReports,
    health_checks: HealthChecks,
    trials: RecoveryTrials,
    /// Servers for which the core was sent a limit.
    limited_servers: BTreeSet<u32>,
    peers: Option<Peers>,
    capacity: CapacityEstimator,
    /// This dispatcher's threshold: requests below this rank are rejected.
    rank: f64,
    /// Dispatchers whose outliers are already logged.
    logged_outliers: BTreeSet<NameKey>,
    /// Number of datagrams dropped since the last status line, by cause.
    dropped: BTreeMap<OverloadError, u32>,
    log_at: Duration,
    /// Admitted, rejected and retried requests since the last status line.
    counts: (u32, u32, u32),
}

impl OverloadControl {
    /// `ttft_objective_s` is the shortest time-to-first-token objective of all request classes, seconds.
    pub fn new(
        own: Process,
        roster: BTreeSet<NameKey>,
        settings: Settings,
        ttft_objective_s: f64,
        seed: u64,
        now: Duration,
    ) -> OverloadControl {
        OverloadControl {
            own,
            roster,
            settings,
            ttft_objective_s: if ttft_objective_s.is_finite() {
                ttft_objective_s.clamp(0.05, 60.0)
            } else {
                1.0
            },
            random_state: seed,
            update_at: now,
            updates: 0,
            sequence: 0,
            local_load: None,
            reports: LoadReports::default(),
            health_checks: HealthChecks::new(own.name),
            trials: RecoveryTrials::new(own.name),
            limited_servers: BTreeSet::new(),
            peers: None,
            capacity: CapacityEstimator::default(),
            rank: 0.0,
            logged_outliers: BTreeSet::new(),
            dropped: BTreeMap::new(),
            log_at: now + LOG_INTERVAL,
            counts: (0, 0, 0),
        }
    }

    /// The reachable dispatchers, if that knowledge is still valid.
    fn peers(&self, now: Duration) -> Option<&Peers> {
        self.peers.as_ref().filter(|p| now < p.valid_until)
    }

    /// Whether this dispatcher belongs to a majority of the cluster.
    fn has_quorum(&self, now: Duration) -> bool {
        let majority = |p: &Peers| matches!(p.quorum, QuorumState::Whole | QuorumState::Majority);
        self.peers(now).is_some_and(majority)
    }

    fn count_dropped(&mut self, cause: OverloadError) {
        let count = self.dropped.entry(cause).or_default();
        *count = count.saturating_add(1);
    }

    /// Handles a datagram from another dispatcher on the roster.
    fn receive(
        &mut self,
        now: Duration,
        from: Process,
        payload: &[u8],
        out: &mut Vec<ServiceOutput<Event>>,
    ) {
        if from.name == self.own.name || !self.roster.contains(&from.name) {
            return;
        }
        match LoadReport::read(payload) {
            Ok(report) => return self.reports.receive(now, from, report),
            Err(OverloadError::UnsupportedVersion) => {}
            Err(cause) => return self.count_dropped(cause),
        }
        match HealthCheckMessage::read(payload) {
            Ok(HealthCheckMessage::Failed(server)) => {
                self.trials.peer_reported(now, from.name, server, true)
            }
            Ok(HealthCheckMessage::Recovered(server)) => {
                self.trials.peer_reported(now, from.name, server, false)
            }
            Ok(message) => {
                let mut actions = Vec::new();
                self.health_checks
                    .receive(now, from.name, message, &mut actions);
                push_actions(actions, out);
            }
            Err(cause) => self.count_dropped(cause),
        }
    }

    /// Handles a command from this dispatcher's core.
    fn on_command(&mut self, now: Duration, command: Command, out: &mut Vec<ServiceOutput<Event>>) {
        match command {
            Command::LocalLoad(load) => {
                self.counts.0 = self.counts.0.saturating_add(load.admitted_count);
                self.counts.1 = self.counts.1.saturating_add(load.rejected_count);
                self.counts.2 = self.counts.2.saturating_add(load.retry_count);
                self.local_load = Some((now, load));
            }
            Command::RequestHealthCheck { server } => {
                let others = self.peers(now).map(|p| p.present.clone());
                let mut actions = Vec::new();
                self.health_checks.request(
                    now,
                    server,
                    others.as_deref(),
                    self.roster.len(),
                    &mut actions,
                );
                push_actions(actions, out);
            }
            Command::AttemptEnded { server, succeeded } => {
                let message = if succeeded {
                    self.trials.answered(server)
                } else {
                    self.trials.failed(now, server)
                };
                let to = self
                    .peers(now)
                    .map(|p| p.present.clone())
                    .unwrap_or_default();
                // In a large cluster only a sample is notified; the rest learn of the failure by their own attempts.
                if let Some(bytes) = message.map(|m| m.write()) {
                    out.extend(
                        to.into_iter()
                            .take(MAX_FAILURE_RECIPIENTS)
                            .map(|n| ServiceOutput::SendDatagram(n, bytes.clone())),
                    );
                }
                self.emit_recovery_limits(now, out);
            }
            Command::HealthCheckAnswered { server, report } => {
                let mut actions = Vec::new();
                self.health_checks
                    .answered(now, server, report, &mut actions);
                push_actions(actions, out);
            }
        }
    }

    /// Sends the core the limits for failed servers, and for each server that is no longer limited a limit that has expired.
    fn emit_recovery_limits(&mut self, now: Duration, out: &mut Vec<ServiceOutput<Event>>) {
        let others = self.peers(now).map(|p| p.present.clone());
        let limits = self.trials.limits(now, others.as_deref());
        let servers: BTreeSet<u32> = limits.iter().map(|l| l.server).collect();
        let released =
            self.limited_servers
                .difference(&servers)
                .map(|server| Event::RecoveryLimit {
                    server: *server,
                    max_in_flight: 0,
                    until: now,
                });
        out.extend(released.map(ServiceOutput::Event));
        let limit_event = |l: RecoveryLimit| {
            ServiceOutput::Event(Event::RecoveryLimit {
                server: l.server,
                max_in_flight: l.max_in_flight,
                until: l.until,
            })
        };
        out.extend(limits.into_iter().map(limit_event));
        self.limited_servers = servers;
    }

    /// This dispatcher's load report. If the last measurement is too old, the core is stalled and admits nothing: the report contains
    /// no load then.
    fn load_report(&mut self, now: Duration, capacity: f64) -> LoadReport {
        self.sequence += 1;
        let current = self
            .local_load
            .as_ref()
            .filter(|(at, _)| now.saturating_sub(*at) < STATE_LIFETIME);
        let load = current.map(|(_, load)| load.clone()).unwrap_or_default();
        LoadReport {
            sequence: self.sequence,
            demand: load.demand.iter().map(|d| d.get()).collect(),
            admitted: load.admitted.get(),
            completed: load.completed.get(),
            backlog: load.backlog.get(),
            mean_request_work: load.mean_request_work.get(),
            queued_at_servers: load.queued_at_servers.get(),
            server_weight: load.server_weight.get(),
            ttft_ratio: load.ttft_ratio.get(),
            new_work: load.new_work.get(),
            retry_work: load.retry_work.get(),
            threshold: self.rank,
            capacity,
        }
    }

    /// Sends the load report to all reachable dispatchers, or to a random sample of them in a large cluster.
    fn send_report(
        &mut self,
        now: Duration,
        report: &LoadReport,
        out: &mut Vec<ServiceOutput<Event>>,
    ) {
        let Some(peers) = self.peers(now) else { return };
        let mut to = peers.present.clone();
        if to.len() > MAX_RECIPIENTS {
            if !self.updates.is_multiple_of(SAMPLED_UPDATES) {
                return;
            }
            for i in 0..MAX_RECIPIENTS {
                self.random_state = self.random_state.wrapping_add(1);
                let left = to.len() - i;
                to.swap(i, i + (mix(self.random_state) % left as u64) as usize);
            }
            to.truncate(MAX_RECIPIENTS);
        }
        let bytes = report.write();
        out.extend(
            to.into_iter()
                .map(|name| ServiceOutput::SendDatagram(name, bytes.clone())),
        );
    }

    /// Updates the threshold from all load reports, sends this dispatcher's report, and logs the state when that is due.
    fn update(&mut self, now: Duration, out: &mut Vec<ServiceOutput<Event>>) {
        self.update_at = now + UPDATE_INTERVAL;
        self.updates = self.updates.wrapping_add(1);
        let Some(last_load) = self.local_load.as_ref() else {
            return;
        };
        let stale = now.saturating_sub(last_load.0) >= STATE_LIFETIME;
        self.reports.remove_expired(now);
        self.health_checks.remove_expired(now);
        self.emit_recovery_limits(now, out);
        let reachable = self.peers(now).map_or(0, |p| p.present.len());
        let has_quorum = self.has_quorum(now);
        let report = self.load_report(now, self.capacity.per_s());
        let cluster_size = (reachable > MAX_RECIPIENTS).then_some(reachable + 1);
        let totals = self.reports.totals(now, &report, cluster_size);
        // Without a quorum these dispatchers use only their part of the servers' capacity, which is safe whatever the others do.
        let share = if has_quorum {
            1.0
        } else {
            totals.members / self.roster.len().max(1) as f64
        };
        let wait_s = self.settings.wait_share * self.ttft_objective_s;
        let admissible = self.capacity.update(now, &totals, wait_s, share.min(1.0));
        let admit_rate = if has_quorum {
            admissible.admit_rate
        } else {
            admissible.admit_rate.min(admissible.capacity)
        };
        let own = admission_threshold(&totals.demand, admit_rate);
        self.rank = own
            + PEER_THRESHOLD_WEIGHT
                * (totals.threshold.min(LEVELS as f64) - own)
                * f64::from(u8::from(totals.members > 1.0));
        if own == 0.0 && self.rank < 0.5 {
            self.rank = 0.0;
        }
        let sent = LoadReport {
            threshold: self.rank,
            capacity: admissible.capacity,
            ..report
        };
        self.send_report(now, &sent, out);
        if !stale {
            out.push(ServiceOutput::Event(Event::Threshold(self.threshold(
                now,
                &totals,
                &sent,
                admissible,
                reachable + 1,
            ))));
        }
        self.log_outliers(&totals, out);
        self.log_status(now, &totals, admissible, out);
    }

    /// The threshold for the core, with this dispatcher's part of the cluster's limits.
    fn threshold(
        &self,
        now: Duration,
        totals: &ClusterTotals,
        own: &LoadReport,
        admissible: AdmissibleLoad,
        members: usize,
    ) -> AdmissionThreshold {
        let lease = self.peers(now).map_or(QuotaLease::default(), |p| p.lease);
        // The admissible backlog is divided half evenly and half by demand, so that a dispatcher without demand can take a burst.
        let even_share = 1.0 / members as f64;
        let demand_share = if totals.total_demand() > 0.0 {
            own.total_demand() / totals.total_demand()
        } else {
            even_share
        };
        AdmissionThreshold {
            valid_until: now + STATE_LIFETIME,
            rank: Millionths::of(self.rank),
            capacity: Millionths::of(admissible.capacity),
            retry_capacity: Millionths::of(RETRY_CAPACITY_SHARE * admissible.capacity),
            max_backlog: Millionths::of(
                2.0 * admissible.max_backlog
                    * (0.5 * even_share + 0.5 * demand_share).max(0.5 * even_share),
            ),
            new_work: Millionths::of(totals.new_work),
            budget_share: Millionths::of(lease.leased),
            budget_share_until: lease.until,
            members: members as u32,
            has_quorum: self.has_quorum(now),
        }
    }

    /// Logs each dispatcher whose figures are outliers, once until they are normal again.
    fn log_outliers(&mut self, totals: &ClusterTotals, out: &mut Vec<ServiceOutput<Event>>) {
        for name in totals.outliers.difference(&self.logged_outliers) {
            let error = OverloadError::Outlier;
            let text = format!(
                "overload: nonsense from={:08x} {error}; {}",
                name.0,
                error.advice()
            );
            out.push(ServiceOutput::Log { warn: true, text });
        }
        self.logged_outliers = totals.outliers.clone();
    }

    /// Logs the status line and the number of dropped datagrams, if that is due. Operators read the fields of these lines by name.
    fn log_status(
        &mut self,
        now: Duration,
        totals: &ClusterTotals,
        admissible: AdmissibleLoad,
        out: &mut Vec<ServiceOutput<Event>>,
    ) {
        if now < self.log_at {
            return;
        }
        self.log_at = now + LOG_INTERVAL;
        let (admitted, rejected, retried) = std::mem::take(&mut self.counts);
        let text = format!(
            "overload: cut={:.3} rank={:.2} demand={:.2} capacity={:.2} waits={:.2} delay={:.2} refused={rejected} taken={admitted} \
             repeats={retried} known={:.1} together={}",
            fraction_below(&totals.demand, self.rank),
            self.rank,
            totals.total_demand(),
            admissible.capacity,
            totals.backlog,
            totals.ttft_ratio,
            totals.members,
            self.has_quorum(now),
        );
        out.push(ServiceOutput::Log { warn: false, text });
        for (cause, count) in std::mem::take(&mut self.dropped) {
            let text = format!("overload: dropped={count} {cause}; {}", cause.advice());
            out.push(ServiceOutput::Log { warn: true, text });
        }
    }
}

/// Converts the actions of the health checks to outputs.
fn push_actions(actions: Vec<Action>, out: &mut Vec<ServiceOutput<Event>>) {
    out.extend(actions.into_iter().map(|action| match action {
        Action::SendHealthCheck(server) => ServiceOutput::Event(Event::SendHealthCheck { server }),
        Action::DeliverReport {
            server,
            age,
            report,
        } => ServiceOutput::Event(Event::ServerReport {
            server,
            age,
            report,
        }),
        Action::SendMessage(to, message) => ServiceOutput::SendDatagram(to, message.write()),
    }));
}

impl ClusterService for OverloadControl {
    const TOPIC: Topic = Topic::Overload;
    type Request = Command;
    type Event = Event;

    fn wake_at(&self) -> Option<Duration> {
        Some(self.update_at)
    }

    fn step(
        &mut self,
        now: Duration,
        input: ServiceInput<Command>,
        out: &mut Vec<ServiceOutput<Event>>,
    ) {
        match input {
            ServiceInput::Datagram { from, payload } => self.receive(now, from, &payload, out),
            ServiceInput::Peers(peers) => self.peers = Some(peers),
            ServiceInput::Request(command) => self.on_command(now, command, out),
            ServiceInput::Wake
            | ServiceInput::Frame { .. }
            | ServiceInput::Loaded(_)
            | ServiceInput::Persisted { .. }
            | ServiceInput::Leave => {}
        }
        if now >= self.update_at {
            self.update(now, out);
        }
    }
}
