//! Mean of the requests that arrive at this router: their lengths and their rate.

use super::decay::age_weight;
use super::output_work::OutputWork;
use crate::interface::{Request, Role};

/// Lowest weight of the newest request in the mean lengths. Until as many requests have arrived,
/// the means are plain averages.
const MIN_LENGTH_WEIGHT: f64 = 0.02;
/// Half-life, in seconds, of a request in the mean arrival rate.
const MEAN_RATE_HALF_LIFE_S: f64 = 60.0;
/// Half-life, in seconds, of a request in the arrival rate of which the peak is kept.
const PEAK_RATE_HALF_LIFE_S: f64 = 15.0;
/// Fraction of the peak that counts. Random peaks of a steady rate stay below the mean that way.
const PEAK_FRACTION: f64 = 0.6;
/// Shortest time, in seconds, over which arrivals are counted before they give a rate.
const MIN_RATE_TIME_S: f64 = 3.0;
/// Lower bound of the scale of costs, against few and very unlike requests.
const MIN_COST_SCALE: f64 = 0.5;
/// Most that one request counts, in requests of mean work.
const MAX_RELATIVE_WORK: f64 = 100.0;

/// Arrival rate with an exponentially decaying weight of older requests.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    count: f64,
    began_at: f64,
    updated_at: f64,
}

impl ArrivalRate {
    fn record_arrival(&mut self, now: f64, half_life_s: f64) {
        if self.count == 0.0 {
            (self.began_at, self.updated_at) = (now, now);
        }
        self.count = 1.0 + self.count * age_weight(self.updated_at, now, half_life_s);
        self.updated_at = now;
    }

    /// Requests per second at the time of the latest arrival.
    fn per_s(&self, half_life_s: f64) -> f64 {
        let counted_s = (self.updated_at - self.began_at).max(MIN_RATE_TIME_S);
        let counted_fraction = 1.0 - age_weight(0.0, counted_s, half_life_s);
        self.count * std::f64::consts::LN_2 / half_life_s / counted_fraction
    }
}

/// Mean number and mean work of the turns of requests that have turns less often the more work they
/// are.
#[derive(Clone, Copy, Debug, Default)]
struct TurnMean {
    count: f64,
    work: f64,
}

impl TurnMean {
    fn record(&mut self, relative_work: f64, weight: f64) {
        let turns = 1.0 / relative_work.max(1.0);
        self.count += weight * (turns - self.count);
        self.work += weight * (turns * relative_work - self.work);
    }
}

/// Mean lengths of the requests that arrive at this router.
#[derive(Debug, Default)]
pub(super) struct TrafficMean {
    requests: f64,
    prompt_tokens: f64,
    output: OutputWork,
    /// Means over the requests if each has a turn with the inverse of its weight, by [`Role`].
    turns: [TurnMean; 3],
    mean_rate: ArrivalRate,
    recent_rate: ArrivalRate,
    peak_per_s: f64,
}

impl TrafficMean {
    /// Counts a request that arrives at clock time `now`.
    pub fn record_arrival(&mut self, request: &Request, now: f64) {
        self.record_lengths(request);
        let decay = age_weight(self.mean_rate.updated_at, now, MEAN_RATE_HALF_LIFE_S);
        self.mean_rate.record_arrival(now, MEAN_RATE_HALF_LIFE_S);
        self.recent_rate.record_arrival(now, PEAK_RATE_HALF_LIFE_S);
        let recent_per_s = self.recent_rate.per_s(PEAK_RATE_HALF_LIFE_S);
        self.peak_per_s = (self.peak_per_s * decay).max(recent_per_s);
    }

    /// Counts an answer of so many tokens.
    pub fn record_answer(&mut self, request: &Request, tokens: f64) {
        self.output.record_answer(request, tokens);
    }

    /// Usual arrival rate, in requests per second. A lull does not lower it for long, so that
    /// little traffic is not taken for much of what a server can do.
    pub fn usual_per_s(&self) -> f64 {
        let mean_per_s = self.mean_rate.per_s(MEAN_RATE_HALF_LIFE_S);
        mean_per_s.max(PEAK_FRACTION * self.peak_per_s)
    }

    fn record_lengths(&mut self, request: &Request) {
        self.requests += 1.0;
        let weight = MIN_LENGTH_WEIGHT.max(1.0 / self.requests);
        self.prompt_tokens += weight * (request.prompt_tokens - self.prompt_tokens);
        self.output.record_arrival(request);
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            let relative_work = self.relative_work(request, role);
            self.turns[role as usize].record(relative_work, weight);
        }
    }

    /// Cost of a request in the slow-start account of a server: its work, or that of a mean request
    /// if that is more. Costs are scaled such that turns at even costs come to one mean request
    /// each, by their number or by their work, whichever is more.
    pub fn slow_start_cost(&self, request: &Request, role: Role) -> f64 {
        let turns = self.turns[role as usize];
        let scale = turns.count.max(turns.work).clamp(MIN_COST_SCALE, 1.0);
        scale * self.relative_work(request, role).max(1.0)
    }

    /// Work of a request at servers of a role, in requests of mean work.
    pub fn relative_work(&self, request: &Request, role: Role) -> f64 {
        let prefill = if self.prompt_tokens > 0.0 {
            request.prompt_tokens / self.prompt_tokens
        } else {
            1.0
        };
        let decode = self.output.relative_work(request);
        let work = match role {
            Role::Prefill => prefill,
            Role::Decode => decode,
            Role::Mixed => prefill.max(decode),
        };
        work.clamp(0.0, MAX_RELATIVE_WORK)
    }
}

#[cfg(test)]
#[path = "../part_tests/traffic_mean.rs"]
mod tests;
