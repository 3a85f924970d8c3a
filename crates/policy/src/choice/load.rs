//! Estimates of server load and prefill time, from load reports and from this router's attempts.

use std::collections::BTreeMap;

use super::decay::{age_weight, DecayingMean};
use super::server::{MemoryUse, Server};
use super::EWMA_WEIGHT;
use crate::interface::{ReportField, ReportMode, Role, Settings};

/// Load assumed for a warm server of a kind before any load report has arrived.
const WARM_PRIOR: LoadReport = LoadReport {
    utilization: 0.4,
    other_requests: 0.3,
};
/// Load assumed for a warming server of a kind before any load report has arrived. Slow start keeps
/// such a server nearly empty.
const WARMING_PRIOR: LoadReport = LoadReport {
    utilization: 0.1,
    other_requests: 0.0,
};
/// Weight of the newest load report in the moving average of one server kind's load reports.
const KIND_EWMA_WEIGHT: f64 = 0.25;
/// Half-life, in seconds, of the weight of a server's last report against its kind's mean report.
const REPORT_HALF_LIFE_S: f64 = 1.5;
/// Half-life, in seconds, of the weight of a kind's mean report against the prior.
const KIND_HALF_LIFE_S: f64 = 5.0;
/// Half-life, in seconds, of the delay of KV transfers over a cell's link beyond the prediction.
const LINK_HALF_LIFE_S: f64 = 2.0;
/// Initial mean of the uncached prompt tokens per prefill. The running mean stands for prompts that
/// the router does not know, such as those of other dispatchers.
const TYPICAL_UNCACHED_TOKENS: f64 = 700.0;
/// Initial mean of the prompt tokens per prefill, cached and uncached.
const TYPICAL_TOTAL_TOKENS: f64 = 2500.0;
/// Prior for a mid-range server: fixed part of any prefill's time, in seconds.
const PREFILL_BASE_S: f64 = 0.02;
/// Prior for a mid-range server: prefill seconds per 1,000 prompt tokens that are not cached.
const PREFILL_S_PER_1000_UNCACHED_TOKENS: f64 = 0.06;
/// Prior for a mid-range server: prefill seconds per 1,000 prompt tokens, whether cached or not.
const PREFILL_S_PER_1000_TOKENS: f64 = 0.003;
/// Time of a prefill at a decode server relative to a prefill server.
const DECODE_SERVER_PREFILL_RATIO: f64 = 3.0;
/// Expected wait, in seconds, at a decode server per unit of utilization, while memory is not full.
pub(super) const DECODE_WAIT_PER_UTILIZATION_S: f64 = 0.2;
/// Utilization of a decode server above which answers wait for memory.
const FULL_UTILIZATION: f64 = 0.9;
/// Seconds in which the answers in a full decode server's memory are replaced by new ones.
const DECODE_MEMORY_TURNOVER_S: f64 = 5.0;
/// Cost, in seconds, of evicting a memory full of answers; smaller evictions cost in proportion.
const FULL_EVICTION_COST_S: f64 = 100.0;
/// Lower bound of one sample of a server's slowdown, the measured prefill time divided by the time
/// estimated from the priors.
const MIN_SLOWDOWN_SAMPLE: f64 = 0.3;
/// Lower bound of the moving average of a server's slowdown.
const MIN_SLOWDOWN: f64 = 0.6;
/// Upper bound of a server's slowdown and of each sample of it.
const MAX_SLOWDOWN: f64 = 8.0;

/// The values of a load report that routing uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LoadReport {
    /// Fraction of memory or of slots in use, whichever is larger.
    pub utilization: f64,
    /// At a prefill server, other dispatchers' queued or running requests; elsewhere, all queued.
    pub other_requests: f64,
}

impl LoadReport {
    fn blend(self, old: LoadReport, weight: f64) -> LoadReport {
        let mean = |new: f64, old: f64| weight * new + (1.0 - weight) * old;
        LoadReport {
            utilization: mean(self.utilization, old.utilization),
            other_requests: mean(self.other_requests, old.other_requests),
        }
    }

    /// Reads a load report of a server that holds `own_requests` requests of this router.
    fn new(fields: &[ReportField], values: &[f64], at_prefill: bool, own_requests: f64) -> Self {
        let mut report = LoadReport::default();
        for (field, &value) in fields.iter().zip(values) {
            match field {
                ReportField::SlotUtilization if !at_prefill => {
                    report.utilization = report.utilization.max(value);
                }
                ReportField::MemoryUtilization => {
                    report.utilization = report.utilization.max(value);
                }
                ReportField::Concurrent if at_prefill => {
                    report.other_requests = (0.5 * (value - own_requests)).max(0.0);
                }
                ReportField::Queue if at_prefill => {
                    report.other_requests = (value - own_requests).max(0.0);
                }
                ReportField::Queue => report.other_requests = value,
                _ => {}
            }
        }
        report
    }
}

/// Load and speed of one server, as seen by this router.
#[derive(Debug, Default)]
pub(super) struct ServerLoad {
    /// Moving average of measured prefill time divided by the prior's estimate; above 1 is slower.
    slowdown: f64,
    report: LoadReport,
    reported_at: f64,
    /// Tokens that this router's requests held at the server when the last report arrived.
    own_tokens_at_report: f64,
}

impl ServerLoad {
    /// Load of a server of which nothing is known yet.
    pub fn new() -> Self {
        ServerLoad {
            slowdown: 1.0,
            ..ServerLoad::default()
        }
    }

    /// Clock time, in seconds, at which the last load report arrived.
    pub fn reported_at(&self) -> f64 {
        self.reported_at
    }

    /// Updates the slowdown by a prefill that took `ratio` times the prior's estimate. Slower
    /// samples get half the weight, because an unseen queue also delays a prefill and the excess
    /// delay already accounts for it.
    fn update_slowdown(&mut self, ratio: f64) {
        let ratio = ratio.clamp(MIN_SLOWDOWN_SAMPLE, MAX_SLOWDOWN);
        let weight = if ratio > self.slowdown {
            0.5 * EWMA_WEIGHT
        } else {
            EWMA_WEIGHT
        };
        self.slowdown =
            (self.slowdown + weight * (ratio - self.slowdown)).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
    }
}

/// Moving average of the load reports of servers of one kind, and the clock time of its latest
/// update, in seconds.
#[derive(Clone, Copy, Debug)]
struct MeanReport {
    report: LoadReport,
    updated_at: f64,
}

impl MeanReport {
    fn prior(report: LoadReport) -> Self {
        MeanReport {
            report,
            updated_at: 0.0,
        }
    }
}

/// Mean load reports of one kind of server, separate for warm and warming servers. For a router
/// without a report of a server, a common mean would make warm decode servers look empty and
/// warming prefill servers look overloaded.
#[derive(Clone, Copy, Debug)]
struct KindMeanReports {
    warm: MeanReport,
    warming: MeanReport,
}

/// Mean prompt length per prefill, in tokens.
#[derive(Clone, Copy, Debug)]
struct TypicalPrompt {
    uncached_tokens: f64,
    total_tokens: f64,
}

/// Measurements of one completed prefill.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillSample {
    pub uncached_tokens: f64,
    pub total_tokens: f64,
    /// Seconds from sending the attempt to the end of the prefill, including the queue.
    pub elapsed_s: f64,
    /// Queueing time, in seconds, that was expected when the attempt was sent.
    pub queue_s: f64,
    /// Estimated fraction of the server's full capacity at prefill end; below 1 during warm-up.
    pub capacity: f64,
}

/// Estimates load and time at servers from load reports and from this router's own attempts.
#[derive(Debug)]
pub(super) struct LoadEstimator {
    dispatchers: f64,
    report_mode: ReportMode,
    report_fields: Vec<ReportField>,
    kinds: Vec<KindMeanReports>,
    typical: TypicalPrompt,
    /// Delay, in seconds, of KV transfers beyond the prediction, by the prefill server's cell.
    link_delays: BTreeMap<u16, DecayingMean>,
}

impl LoadEstimator {
    /// Creates an estimator that knows only the priors.
    pub fn new(settings: &Settings) -> Self {
        let kind = KindMeanReports {
            warm: MeanReport::prior(WARM_PRIOR),
            warming: MeanReport::prior(WARMING_PRIOR),
        };
        LoadEstimator {
            dispatchers: f64::from(settings.dispatchers),
            report_mode: settings.report_mode,
            report_fields: settings.report_fields.clone(),
            kinds: vec![kind; settings.kinds.len()],
            typical: TypicalPrompt {
                uncached_tokens: TYPICAL_UNCACHED_TOKENS,
                total_tokens: TYPICAL_TOTAL_TOKENS,
            },
            link_delays: BTreeMap::new(),
        }
    }

    /// Records a load report. Ignores one that is empty or contains a value that is not finite.
    pub fn record_report(&mut self, now: f64, server: &mut Server, capacity: f64, values: &[f64]) {
        if values.is_empty() || !values.iter().all(|value| value.is_finite()) {
            return;
        }
        let at_prefill = server.role == Role::Prefill;
        let own_requests = server.own_requests() as f64;
        let report = LoadReport::new(&self.report_fields, values, at_prefill, own_requests);
        server.load.report = report;
        server.load.reported_at = now;
        server.load.own_tokens_at_report = server.own_tokens(|memory| memory.mean);
        let kind = &mut self.kinds[usize::from(server.entry.kind)];
        let mean = if capacity < 1.0 {
            &mut kind.warming
        } else {
            &mut kind.warm
        };
        mean.report = report.blend(mean.report, KIND_EWMA_WEIGHT);
        mean.updated_at = now;
    }

    /// Mean load of servers of the same kind that are warm, or warming, like this one. The mean
    /// falls back to the prior as reports age.
    pub fn mean_load_of_kind(&self, server: &Server, capacity: f64, now: f64) -> LoadReport {
        let kind = &self.kinds[usize::from(server.entry.kind)];
        let (mean, prior) = if capacity < 1.0 {
            (kind.warming, WARMING_PRIOR)
        } else {
            (kind.warm, WARM_PRIOR)
        };
        let weight = age_weight(mean.updated_at, now, KIND_HALF_LIFE_S);
        mean.report.blend(prior, weight)
    }

    /// Estimated load: a server's last report, weighted by age against the mean of the server's
    /// kind. If load reports are off, extrapolates this router's own load to all dispatchers.
    fn estimated_load(&self, server: &Server, capacity: f64, now: f64) -> LoadReport {
        let own_utilization = server.own_tokens(|memory| memory.mean) / server.memory_tokens;
        if self.report_mode == ReportMode::Off {
            return LoadReport {
                utilization: own_utilization * self.dispatchers,
                other_requests: server.in_flight.len() as f64 * (self.dispatchers - 1.0) * 0.5,
            };
        }
        let load = &server.load;
        let reported = LoadReport {
            utilization: (load.report.utilization + own_utilization
                - load.own_tokens_at_report / server.memory_tokens)
                .max(0.0),
            ..load.report
        };
        reported.blend(
            self.mean_load_of_kind(server, capacity, now),
            age_weight(load.reported_at, now, REPORT_HALF_LIFE_S),
        )
    }

    /// Fraction of the server's present capacity that is in use; above 1 when overloaded.
    pub fn utilization(&self, server: &Server, capacity: f64, now: f64) -> f64 {
        let own_utilization = server.own_tokens(|memory| memory.mean) / server.memory_tokens;
        self.estimated_load(server, capacity, now)
            .utilization
            .max(own_utilization)
            / capacity
    }

    /// Expected time, in seconds, that a request waits at a decode server before its decoding
    /// starts: [`DECODE_WAIT_PER_UTILIZATION_S`] times the utilization, plus
    /// [`DECODE_MEMORY_TURNOVER_S`] times the sum of the utilization above [`FULL_UTILIZATION`] and
    /// the memory that queued requests need, as a fraction of the server's present capacity.
    pub fn decode_wait_s(&self, server: &Server, capacity: f64, now: f64) -> f64 {
        let utilization = self.utilization(server, capacity, now);
        let queued = self.estimated_load(server, capacity, now).other_requests
            * self.typical.total_tokens
            / server.memory_tokens
            / capacity;
        utilization * DECODE_WAIT_PER_UTILIZATION_S
            + ((utilization - FULL_UTILIZATION).max(0.0) + queued) * DECODE_MEMORY_TURNOVER_S
    }

    /// Cost, in seconds, of the answers that a request evicts from memory at its peak size. The
    /// drawback is that requests may be rejected before the server is full.
    pub fn eviction_cost_s(
        &self,
        server: &Server,
        capacity: f64,
        memory: MemoryUse,
        now: f64,
    ) -> f64 {
        let peak = server.own_tokens(|held| held.growth) + memory.mean + memory.growth;
        (self.utilization(server, capacity, now) + peak / server.memory_tokens - 1.0).max(0.0)
            * FULL_EVICTION_COST_S
    }

    /// Time, in seconds, of the prefills that other dispatchers have at a server, or the observed
    /// delay beyond the prediction if that is larger.
    pub fn other_dispatchers_queue_s(&self, server: &Server, capacity: f64, now: f64) -> f64 {
        let prefills = if server.role == Role::Prefill {
            self.estimated_load(server, capacity, now).other_requests
        } else {
            0.0
        };
        let typical = self.typical;
        (prefills * self.prefill_s(server, typical.uncached_tokens, typical.total_tokens))
            .max(server.health.excess_delay_s(now))
    }

    /// Expected prefill time at a warm server, in seconds: the prior for these token counts times
    /// the server's observed slowdown.
    pub fn prefill_s(&self, server: &Server, uncached_tokens: f64, total_tokens: f64) -> f64 {
        let uncached_s = PREFILL_S_PER_1000_UNCACHED_TOKENS * uncached_tokens / 1000.0;
        let total_s = PREFILL_S_PER_1000_TOKENS * total_tokens / 1000.0;
        let role_slowdown = if server.role == Role::Decode {
            DECODE_SERVER_PREFILL_RATIO
        } else {
            1.0
        };
        (PREFILL_BASE_S + uncached_s + total_s) * role_slowdown * server.load.slowdown
    }

    /// Updates the mean prompt length with the token counts of one completed prefill.
    pub fn record_prompt(&mut self, uncached_tokens: f64, total_tokens: f64) {
        let typical = &mut self.typical;
        typical.uncached_tokens += 2.0 * EWMA_WEIGHT * (uncached_tokens - typical.uncached_tokens);
        typical.total_tokens += 2.0 * EWMA_WEIGHT * (total_tokens - typical.total_tokens);
    }

    /// Updates, from a completed prefill, a server's slowdown and mean delay beyond the prediction.
    pub fn record_prefill(&self, now: f64, server: &mut Server, sample: PrefillSample) {
        let predicted_s = self.prefill_s(server, sample.uncached_tokens, sample.total_tokens);
        let measured_s = sample.elapsed_s - sample.queue_s;
        if sample.queue_s < 0.5 * predicted_s {
            let slowdown = server.load.slowdown;
            server
                .load
                .update_slowdown(measured_s * sample.capacity / predicted_s * slowdown);
        }
        let excess_s = (measured_s - predicted_s / sample.capacity).max(0.0);
        server.health.record_excess_delay(excess_s, now);
    }

    /// Records that a KV transfer over a cell's link took `excess_s` seconds longer than predicted.
    pub fn record_link_delay(&mut self, now: f64, cell: u16, excess_s: f64) {
        self.link_delays
            .entry(cell)
            .or_default()
            .average_with(excess_s, now, LINK_HALF_LIFE_S);
    }

    /// Observed KV transfer delay beyond the prediction, in seconds, by cell, for links with one.
    pub fn link_delays(&self, now: f64) -> impl Iterator<Item = (u16, f64)> + '_ {
        self.link_delays
            .iter()
            .map(move |(cell, delay)| (*cell, delay.at(now, LINK_HALF_LIFE_S)))
    }
}
