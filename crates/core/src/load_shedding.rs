//! What the fleet sheds together, as told last; asked at admission, at repeats and at probes.
//!
//! Knows nothing of the machine: it is asked by it, and tells it what to do. Off where the settings have no table for it.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_overload::{Ask, Asked, Cut, Gate, Millionths, Taken, Verdict};

use bitternlatch_policy::interface::Outcome;

use crate::settings::{LoadMetric, Settings};
use crate::types::Micros;

/// Between two looks at what there is to tell.
pub(crate) const REPORT_INTERVAL_S: f64 = 0.1;
/// Share of its ceiling that an answer is taken for where nothing tells more.
pub(crate) const EXPECTED_OUTPUT_SHARE: f64 = 0.2;

/// Seconds after which a probe for all has no answer.
const PROBE_S: f64 = 1.0;
/// Failures in a row that make a server one that failed.
const FAILURE_STREAK: u32 = 2;

/// What a request has of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdmittedWork {
    /// Taken, and its answer has not begun.
    pub taken: Option<Taken>,
    /// Its work in seconds, and how its return is known.
    pub work: f64,
    pub fingerprint: u64,
    /// The next attempt repeats work that an earlier one may have done.
    pub repeats: bool,
}

/// A probe sent for the whole cluster.
#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    server: u32,
    sent_at: Micros,
}

/// How many attempts a recovering server may be sent, and until when.
#[derive(Clone, Copy, Debug)]
struct RecoveryTrial {
    max_in_flight: u32,
    until: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct LoadShedding {
    gate: Option<Gate>,
    /// Where reports have what waits.
    queue: Option<usize>,
    /// Probes that are out for all.
    pending_probes: BTreeMap<u64, PendingProbe>,
    /// Servers that failed here: attempts that may be out, and until when that counts; and failures in a row.
    trials: BTreeMap<u32, RecoveryTrial>,
    failures: BTreeMap<u32, u32>,
}

fn clock(now: Micros) -> Duration {
    Duration::from_micros(now.0)
}

impl LoadShedding {
    pub(crate) fn new(settings: &Settings, seed: u64) -> LoadShedding {
        let cluster = settings.cluster.as_ref();
        let on = cluster.and_then(|c| Some((c.overload.clone()?, c.roster.len())));
        let most_s = settings.attempts.max_retry_after_s;
        LoadShedding {
            gate: on.map(|(own, roster)| Gate::new(own, roster, most_s, seed)),
            queue: settings
                .reports
                .fields
                .iter()
                .position(|f| f.metric == LoadMetric::Queue),
            pending_probes: BTreeMap::new(),
            trials: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    pub(crate) fn is_on(&self) -> bool {
        self.gate.is_some()
    }

    /// Takes what counts from now on.
    pub(crate) fn set_threshold(&mut self, set_threshold: Cut) {
        if let Some(gate) = &mut self.gate {
            gate.told(set_threshold);
        }
    }

    /// A server that failed here may have so many attempts out until then.
    pub(crate) fn trial(&mut self, server: u32, many: u32, until: Duration) {
        if self.gate.is_some() {
            let trial = RecoveryTrial {
                max_in_flight: many,
                until,
            };
            self.trials.insert(server, trial);
        }
    }

    /// Attempts that may be out at a host; `None` for any number. What was told ends by time, at the act.
    pub(crate) fn max_in_flight(&mut self, now: Micros, server: u32) -> Option<u32> {
        let trial = *self.trials.get(&server)?;
        if clock(now) >= trial.until {
            self.trials.remove(&server);
            return None;
        }
        Some(trial.max_in_flight)
    }

    /// An attempt at a server ended.
    pub(crate) fn attempt_ended(&mut self, server: u32, outcome: Outcome) -> Option<Ask> {
        self.gate.as_ref()?;
        match outcome {
            Outcome::Served | Outcome::PrefillDone => {
                self.failures.remove(&server);
                self.trials.contains_key(&server).then_some(Ask::Tried {
                    host: server,
                    well: true,
                })
            }
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => {
                let failures = self.failures.entry(server).or_default();
                *failures = failures.saturating_add(1);
                (*failures >= FAILURE_STREAK).then_some(Ask::Tried {
                    host: server,
                    well: false,
                })
            }
            Outcome::Rejected { .. } | Outcome::Cancelled | Outcome::NotSent => None,
        }
    }

    /// A probe with this id goes to a server, for all.
    pub(crate) fn probe_sent(&mut self, now: Micros, id: u64, server: u32) {
        self.pending_probes
            .retain(|_, probe| now.since(probe.sent_at) < PROBE_S);
        let probe = PendingProbe {
            server,
            sent_at: now,
        };
        self.pending_probes.insert(id, probe);
    }

    /// What is to be passed on, where this answers a probe that went for all.
    pub(crate) fn probe_answered(&mut self, id: u64, report: &[f64]) -> Option<Ask> {
        let server = self.pending_probes.remove(&id)?.server;
        Some(Ask::Probed {
            host: server,
            report: report.iter().map(|v| Millionths::of(*v)).collect(),
        })
    }

    /// Judges a request that comes; `None` where it is off. A refusal says when to come back.
    pub(crate) fn evaluate_admission(
        &mut self,
        now: Micros,
        asked: &Asked,
    ) -> Option<Result<AdmittedWork, f64>> {
        let fingerprint = asked.fingerprint;
        Some(match self.gate.as_mut()?.judge(clock(now), asked) {
            Verdict::Take(t) => Ok(AdmittedWork {
                taken: Some(t),
                work: t.work,
                fingerprint,
                repeats: false,
            }),
            Verdict::Refuse { retry_after_s } => Err(retry_after_s),
        })
    }

    /// When a request that was taken and then refused may come back: not before the decision module says.
    pub(crate) fn retry_after_s(
        &mut self,
        now: Micros,
        admitted: &AdmittedWork,
        least_s: f64,
    ) -> f64 {
        let Some(gate) = &mut self.gate else {
            return least_s;
        };
        gate.refused(clock(now), admitted.work, admitted.fingerprint)
            .max(least_s)
    }

    /// Whether an attempt may go: one that repeats work needs leave.
    pub(crate) fn may_send(&mut self, now: Micros, admitted: &AdmittedWork) -> bool {
        let Some(gate) = self.gate.as_mut().filter(|_| admitted.repeats) else {
            return true;
        };
        gate.may_repeat(clock(now), admitted.work)
    }

    /// The answer has begun.
    pub(crate) fn first_token(&mut self, now: Micros, admitted: &mut AdmittedWork) {
        if let (Some(gate), Some(taken)) = (&mut self.gate, admitted.taken.take()) {
            gate.begun(clock(now), taken);
        }
    }

    /// The request has ended.
    pub(crate) fn request_ended(&mut self, admitted: &mut AdmittedWork) {
        if let (Some(gate), Some(taken)) = (&mut self.gate, admitted.taken.take()) {
            gate.gone(taken);
        }
    }

    /// A server's report came.
    pub(crate) fn load_reported(&mut self, now: Micros, server: u32, report: &[f64]) {
        let waits = self.queue.and_then(|at| report.get(at));
        if let (Some(gate), Some(waits)) = (&mut self.gate, waits) {
            gate.reported(clock(now), server, *waits);
        }
    }

    /// What there is to tell of what was seen; `hosts`: those that read and take work, by weight.
    pub(crate) fn tell(&mut self, now: Micros, servers: f64) -> Option<Ask> {
        self.gate.as_mut()?.tell(clock(now), servers).map(Ask::Seen)
    }
}
