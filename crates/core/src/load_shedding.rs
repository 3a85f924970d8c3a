//! Load shedding that all dispatchers of the cluster do together, by the last admission threshold received from it.
//! Consulted when a request is admitted, when an attempt would repeat work, and when a health check is sent.
//!
//! Independent of [`crate::Machine`], which calls it and carries out what it returns. Disabled if the settings have no
//! `cluster.overload` table.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_overload::{
    AdmissionController, AdmissionDecision, AdmissionRequest, AdmissionThreshold, Command,
    Millionths, PendingWork,
};

use bitternlatch_policy::interface::Outcome;

use crate::settings::{LoadMetric, Settings};
use crate::types::Micros;

/// Interval at which this dispatcher's load report is prepared, seconds.
pub(crate) const REPORT_INTERVAL_S: f64 = 0.1;
/// Expected output length as a fraction of a request's output token limit, used when no estimate is available.
pub(crate) const EXPECTED_OUTPUT_SHARE: f64 = 0.2;

/// Time after which a health check sent for the cluster counts as unanswered, seconds.
const HEALTH_CHECK_TIMEOUT_S: f64 = 1.0;
/// Number of consecutive failed attempts after which a server is reported as failed.
const FAILURE_STREAK: u32 = 2;

/// The load shedding state of an admitted request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdmittedWork {
    /// Set from admission until the first token of the response is received.
    pub awaiting_first_token: Option<PendingWork>,
    /// Expected work of the request, seconds of a model server of weight 1.
    pub work: f64,
    /// Hash by which a retry of the request is recognized.
    pub fingerprint: u64,
    /// Whether the next attempt repeats work that an earlier attempt may have done.
    pub repeats_work: bool,
}

/// A health check that this dispatcher sent for the whole cluster and that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct SharedHealthCheck {
    server: u32,
    sent_at: Micros,
}

/// A limit on the attempts in flight at a recovering server, and the time at which it expires.
#[derive(Clone, Copy, Debug)]
struct RecoveryTrial {
    max_in_flight: u32,
    until: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct LoadShedding {
    controller: Option<AdmissionController>,
    /// Index of the queue length in the values of a load report, if reports contain it.
    queue_index: Option<usize>,
    /// Unanswered health checks sent for the cluster, by id.
    shared_health_checks: BTreeMap<u64, SharedHealthCheck>,
    /// Limits in force for recovering servers.
    trials: BTreeMap<u32, RecoveryTrial>,
    /// Number of consecutive failed attempts at each server.
    failures: BTreeMap<u32, u32>,
}

fn clock(now: Micros) -> Duration {
    Duration::from_micros(now.0)
}

impl LoadShedding {
    pub(crate) fn new(settings: &Settings, seed: u64) -> LoadShedding {
        let cluster = settings.cluster.as_ref();
        let enabled = cluster.and_then(|c| Some((c.overload.clone()?, c.roster.len())));
        let max_retry_after_s = settings.attempts.max_retry_after_s;
        LoadShedding {
            controller: enabled.map(|(own, roster)| {
                AdmissionController::new(own, roster, max_retry_after_s, seed)
            }),
            queue_index: settings
                .reports
                .fields
                .iter()
                .position(|f| f.metric == LoadMetric::Queue),
            shared_health_checks: BTreeMap::new(),
            trials: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    pub(crate) fn is_on(&self) -> bool {
        self.controller.is_some()
    }

    /// Replaces the admission threshold.
    pub(crate) fn set_threshold(&mut self, threshold: AdmissionThreshold) {
        if let Some(controller) = &mut self.controller {
            controller.set_threshold(threshold);
        }
    }

    /// Limits the attempts in flight at a server that failed, until a time of the process's clock.
    pub(crate) fn set_trial(&mut self, server: u32, max_in_flight: u32, until: Duration) {
        if self.controller.is_some() {
            let trial = RecoveryTrial {
                max_in_flight,
                until,
            };
            self.trials.insert(server, trial);
        }
    }

    /// How many attempts may be in flight at a server; `None` for no limit. A limit that has expired is removed here.
    pub(crate) fn max_in_flight(&mut self, now: Micros, server: u32) -> Option<u32> {
        let trial = *self.trials.get(&server)?;
        if clock(now) >= trial.until {
            self.trials.remove(&server);
            return None;
        }
        Some(trial.max_in_flight)
    }

    /// Records that an attempt at a server ended. Returns a message for the cluster when the server has failed
    /// repeatedly, or has answered while its attempts are limited.
    pub(crate) fn attempt_ended(&mut self, server: u32, outcome: Outcome) -> Option<Command> {
        self.controller.as_ref()?;
        match outcome {
            Outcome::Served | Outcome::PrefillDone => {
                self.failures.remove(&server);
                self.trials
                    .contains_key(&server)
                    .then_some(Command::AttemptEnded {
                        server,
                        succeeded: true,
                    })
            }
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => {
                let failures = self.failures.entry(server).or_default();
                *failures = failures.saturating_add(1);
                (*failures >= FAILURE_STREAK).then_some(Command::AttemptEnded {
                    server,
                    succeeded: false,
                })
            }
            Outcome::Rejected { .. } | Outcome::Cancelled | Outcome::NotSent => None,
        }
    }

    /// Records that this dispatcher is sending a server a health check with this id, whose result all dispatchers of
    /// the cluster share.
    pub(crate) fn health_check_sent(&mut self, now: Micros, id: u64, server: u32) {
        self.shared_health_checks
            .retain(|_, check| now.since(check.sent_at) < HEALTH_CHECK_TIMEOUT_S);
        let check = SharedHealthCheck {
            server,
            sent_at: now,
        };
        self.shared_health_checks.insert(id, check);
    }

    /// Records the load report with which a server answered a health check. Returns the message that shares the report
    /// with the cluster if the health check was sent for it.
    pub(crate) fn health_check_answered(&mut self, id: u64, report: &[f64]) -> Option<Command> {
        let server = self.shared_health_checks.remove(&id)?.server;
        Some(Command::HealthCheckAnswered {
            server,
            report: report.iter().map(|v| Millionths::of(*v)).collect(),
        })
    }

    /// Decides whether to admit a request; `None` if load shedding is disabled. The error is the delay after which the
    /// client may retry, seconds.
    pub(crate) fn evaluate_admission(
        &mut self,
        now: Micros,
        request: &AdmissionRequest,
    ) -> Option<Result<AdmittedWork, f64>> {
        let fingerprint = request.fingerprint;
        Some(
            match self.controller.as_mut()?.evaluate(clock(now), request) {
                AdmissionDecision::Admit(pending) => Ok(AdmittedWork {
                    awaiting_first_token: Some(pending),
                    work: pending.work,
                    fingerprint,
                    repeats_work: false,
                }),
                AdmissionDecision::Reject { retry_after_s } => Err(retry_after_s),
            },
        )
    }

    /// The delay after which the client of a request that was admitted here and then rejected by the decision module
    /// may retry, seconds; at least `min_s`, the delay that the decision module asked for.
    pub(crate) fn retry_after_s(
        &mut self,
        now: Micros,
        admitted: &AdmittedWork,
        min_s: f64,
    ) -> f64 {
        let Some(controller) = &mut self.controller else {
            return min_s;
        };
        controller
            .retry_after_s(clock(now), admitted.work, admitted.fingerprint)
            .max(min_s)
    }

    /// Whether an attempt may be sent. One that repeats work is charged to the retry budget that all dispatchers share.
    pub(crate) fn may_send(&mut self, now: Micros, admitted: &AdmittedWork) -> bool {
        let Some(controller) = self.controller.as_mut().filter(|_| admitted.repeats_work) else {
            return true;
        };
        controller.may_retry(clock(now), admitted.work)
    }

    /// Records that the first token of a request's response was received, so that its work no longer counts as waiting.
    pub(crate) fn first_token(&mut self, now: Micros, admitted: &mut AdmittedWork) {
        if let (Some(controller), Some(pending)) =
            (&mut self.controller, admitted.awaiting_first_token.take())
        {
            controller.first_token(clock(now), pending);
        }
    }

    /// Records that a request has ended, so that its work no longer counts as waiting.
    pub(crate) fn request_ended(&mut self, admitted: &mut AdmittedWork) {
        if let (Some(controller), Some(pending)) =
            (&mut self.controller, admitted.awaiting_first_token.take())
        {
            controller.remove_pending(pending);
        }
    }

    /// Records the queue length from a server's load report.
    pub(crate) fn load_reported(&mut self, now: Micros, server: u32, report: &[f64]) {
        let queue_length = self.queue_index.and_then(|at| report.get(at));
        if let (Some(controller), Some(queue_length)) = (&mut self.controller, queue_length) {
            controller.queue_reported(clock(now), server, *queue_length);
        }
    }

    /// This dispatcher's load report, if one is due. `prefill_weight` is the total weight of the ready, connected
    /// servers that can prefill.
    pub(crate) fn load_report(&mut self, now: Micros, prefill_weight: f64) -> Option<Command> {
        self.controller
            .as_mut()?
            .local_load(clock(now), prefill_weight)
            .map(Command::LocalLoad)
    }
}
