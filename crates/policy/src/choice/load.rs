//! Load estimates: what servers report, what is on its way to them, and how long a prefill takes
//! there.

use std::collections::BTreeMap;

use super::decay::{age_weight, DecayingMean};
use super::server::{MemoryUse, Server};
use super::EWMA_WEIGHT;
use crate::interface::{ReportField, ReportMode, Role, Settings};

/// Mean report of a warm server before any has come.
const WARM_PRIOR: LoadReport = LoadReport {
    utilization: 0.4,
    other_requests: 0.3,
};
/// The same of a server that warms up, which the slow start keeps nearly empty.
const WARMING_PRIOR: LoadReport = LoadReport {
    utilization: 0.1,
    other_requests: 0.0,
};
/// Weight of the newest report in the mean of its kind.
const KIND_EWMA_WEIGHT: f64 = 0.25;
/// Half-life, in seconds, of a server's own report against the mean of its kind.
const REPORT_HALF_LIFE_S: f64 = 1.5;
/// Half-life, in seconds, of the mean of a kind against the prior.
const KIND_HALF_LIFE_S: f64 = 5.0;
/// Half-life, in seconds, of delay over a cell's link.
const LINK_HALF_LIFE_S: f64 = 2.0;
/// Uncached tokens of the prefill that stands for one whose prompt is not known.
const TYPICAL_UNCACHED_TOKENS: f64 = 700.0;
/// All tokens of that prefill.
const TYPICAL_TOTAL_TOKENS: f64 = 2500.0;
/// Prior of the prefill time at a mid-range server: seconds of any prefill.
const PREFILL_BASE_S: f64 = 0.02;
/// The same: seconds for 1,000 tokens that are not cached.
const PREFILL_S_PER_1000_UNCACHED_TOKENS: f64 = 0.06;
/// The same: seconds for 1,000 tokens, cached or not.
const PREFILL_S_PER_1000_TOKENS: f64 = 0.003;
/// Times as long that a prefill takes at a decode server.
const DECODE_SERVER_PREFILL_RATIO: f64 = 3.0;
/// Seconds of waiting that a full decode server stands for, by share of its memory.
pub(super) const DECODE_WAIT_PER_UTILIZATION_S: f64 = 0.2;
/// Utilization of a decode server at which answers wait for memory.
const FULL_UTILIZATION: f64 = 0.9;
/// Seconds in which a full decode server's memory turns over.
const DECODE_MEMORY_TURNOVER_S: f64 = 5.0;
/// Seconds that answers evicted from memory stand for, by share of that memory.
const FULL_EVICTION_COST_S: f64 = 100.0;
/// Bounds of one sample of a server's pace, and of the pace.
const MIN_SLOWDOWN_SAMPLE: f64 = 0.3;
const MIN_SLOWDOWN: f64 = 0.6;
const MAX_SLOWDOWN: f64 = 8.0;

/// The part of a load report that choices are made by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LoadReport {
    /// Share of memory or slots in use, the larger.
    pub utilization: f64,
    /// Requests of other dispatchers that wait or run.
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

    /// Reads the values of a report at a server that holds so many requests of this router.
    fn from_values(
        fields: &[ReportField],
        values: &[f64],
        at_prefill: bool,
        own_requests: f64,
    ) -> Self {
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

/// Load and speed of one server, as seen here.
#[derive(Debug, Default)]
pub(super) struct ServerLoad {
    /// Time taken against the prior, over both stages' own samples.
    slowdown: f64,
    report: LoadReport,
    reported_at: f64,
    /// Tokens that this router held there when the report came.
    own_tokens_at_report: f64,
}

impl ServerLoad {
    /// Of a server of which nothing is known.
    pub fn new() -> Self {
        ServerLoad {
            slowdown: 1.0,
            ..ServerLoad::default()
        }
    }

    /// When the last report came.
    pub fn reported_at(&self) -> f64 {
        self.reported_at
    }

    /// Learns the pace from a prefill that took `ratio` times the prior's time. An unseen queue is
    /// the excess delay's part, so that surprises upwards pull less.
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

/// Mean report of servers that are alike.
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

/// Mean reports of one kind of server. One mean over both would make warm decode servers look
/// empty, and prefill servers that warm up jammed, to routers that have not heard of them.
#[derive(Clone, Copy, Debug)]
struct KindMeanReports {
    warm: MeanReport,
    warming: MeanReport,
}

/// Mean tokens of a prefill.
#[derive(Clone, Copy, Debug)]
struct TypicalPrompt {
    uncached_tokens: f64,
    total_tokens: f64,
}

/// A prefill that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillSample {
    pub uncached_tokens: f64,
    pub total_tokens: f64,
    /// Seconds that it took in all.
    pub elapsed_s: f64,
    /// Seconds of that which were expected in the queue.
    pub queue_s: f64,
    /// Share of its capacity that the server has.
    pub capacity: f64,
}

/// Estimates of load and time, from reports and own attempts.
#[derive(Debug)]
pub(super) struct LoadEstimator {
    dispatchers: f64,
    report_mode: ReportMode,
    report_fields: Vec<ReportField>,
    kinds: Vec<KindMeanReports>,
    typical: TypicalPrompt,
    /// By prefill servers' cell: delay of KV states over its link beyond prediction.
    link_delays: BTreeMap<u16, DecayingMean>,
}

impl LoadEstimator {
    /// Nothing but priors.
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

    /// Takes in a load report; one that is empty or holds no finite numbers is passed over.
    pub fn record_report(&mut self, now: f64, server: &mut Server, capacity: f64, values: &[f64]) {
        if values.is_empty() || !values.iter().all(|value| value.is_finite()) {
            return;
        }
        let at_prefill = server.role == Role::Prefill;
        let own_requests = server.own_requests() as f64;
        let report = LoadReport::from_values(&self.report_fields, values, at_prefill, own_requests);
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

    /// The mean of servers like this one.
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

    /// The last report, weighed by age against its kind's mean; without reports, the own part times
    /// dispatchers.
    fn estimated_load(&self, server: &Server, capacity: f64, now: f64) -> LoadReport {
        let own_utilization = server.own_tokens(|memory| memory.mean) / server.memory_tokens;
        if self.report_mode == ReportMode::Off {
            return LoadReport {
                utilization: own_utilization * self.dispatchers,
                other_requests: server.in_flight.len() as f64 * (self.dispatchers - 1.0) * 0.5,
            };
        }
        let load = &server.load;
        let seen = LoadReport {
            utilization: (load.report.utilization + own_utilization
                - load.own_tokens_at_report / server.memory_tokens)
                .max(0.0),
            ..load.report
        };
        seen.blend(
            self.mean_load_of_kind(server, capacity, now),
            age_weight(load.reported_at, now, REPORT_HALF_LIFE_S),
        )
    }

    /// Share of the server's present capacity in use.
    pub fn utilization(&self, server: &Server, capacity: f64, now: f64) -> f64 {
        let own_utilization = server.own_tokens(|memory| memory.mean) / server.memory_tokens;
        self.estimated_load(server, capacity, now)
            .utilization
            .max(own_utilization)
            / capacity
    }

    /// Seconds that an answer waits: little until memory runs out, then for the queue's turnover.
    pub fn decode_wait_s(&self, server: &Server, capacity: f64, now: f64) -> f64 {
        let utilization = self.utilization(server, capacity, now);
        let queued = self.estimated_load(server, capacity, now).other_requests
            * self.typical.total_tokens
            / server.memory_tokens
            / capacity;
        utilization * DECODE_WAIT_PER_UTILIZATION_S
            + ((utilization - FULL_UTILIZATION).max(0.0) + queued) * DECODE_MEMORY_TURNOVER_S
    }

    /// Seconds that answers stand for which a request at its peak evicts from memory. Harm: rejects
    /// before the server is full.
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

    /// Other dispatchers' prefills at a server, in seconds, or the delay seen beyond prediction, if
    /// larger.
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

    /// Prefill time at a warm server: the prior for uncached and all tokens, times the pace that it
    /// has shown.
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

    /// Moves the typical prompt towards one that was prefilled.
    pub fn record_prompt(&mut self, uncached_tokens: f64, total_tokens: f64) {
        let typical = &mut self.typical;
        typical.uncached_tokens += 2.0 * EWMA_WEIGHT * (uncached_tokens - typical.uncached_tokens);
        typical.total_tokens += 2.0 * EWMA_WEIGHT * (total_tokens - typical.total_tokens);
    }

    /// Learns a server's pace and its delay beyond prediction from a prefill.
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

    /// A KV state came so much later than predicted over a cell's link.
    pub fn record_link_delay(&mut self, now: f64, cell: u16, excess_s: f64) {
        self.link_delays
            .entry(cell)
            .or_default()
            .average_with(excess_s, now, LINK_HALF_LIFE_S);
    }

    /// Delay over each cell's link as far as known, seconds.
    pub fn link_delays(&self, now: f64) -> impl Iterator<Item = (u16, f64)> + '_ {
        self.link_delays
            .iter()
            .map(move |(cell, delay)| (*cell, delay.at(now, LINK_HALF_LIFE_S)))
    }
}
