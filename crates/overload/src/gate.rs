//! Decides on each request of this dispatcher whether to admit it, by the admission threshold received last, for as long as that threshold
//! is valid. Measures this dispatcher's load for the load report to the other dispatchers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::io::{AdmissionThreshold, LocalLoad, Millionths, Settings};
use crate::order::{level, rank, SunkCost, LEVELS};
use crate::repeats::RetryBudget;
use crate::returns::RetryAfterSchedule;
use crate::window::DecayingRate;

/// Time constant with which the measured demand decays.
const DEMAND_DECAY: Duration = Duration::from_millis(500);
/// Time constant with which the measured admissions, completions and times to first token decay.
const ADMITTED_DECAY: Duration = Duration::from_millis(1000);
/// Interval between two measurements of the local load.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// Number of prompt prefixes that are remembered as cached.
const MAX_PREFIXES: usize = 4096;
/// How long after its last use a prompt prefix counts as cached.
const PREFIX_LIFETIME: Duration = Duration::from_secs(60);
/// Cost of a cached prompt prefix as a fraction of its full cost.
const CACHED_PREFIX_COST: f64 = 0.1;
/// Number of servers whose queue lengths are kept.
const MAX_SERVERS: usize = 4096;
/// How long a server's queue length counts.
const QUEUE_LENGTH_LIFETIME: Duration = Duration::from_secs(2);
/// Number of tenants whose request rate is tracked; the requests of further tenants count as over quota.
const MAX_TENANTS: usize = 100_000;
/// Burst allowance of a tenant, seconds of its request rate.
const TENANT_BURST_S: f64 = 2.0;
/// Levels by which a request over its tenant's quota is lowered.
const OVER_QUOTA_LEVELS: u8 = LEVELS as u8 / 2;
/// Burst allowance of a dispatcher without a valid threshold, seconds of its even part of the servers' last known capacity.
const ISOLATED_BURST_S: f64 = 0.3;
/// Lower bound of the capacity reserved for retries at a dispatcher, as a fraction of the dispatcher's even part of the servers' capacity.
const MIN_RETRY_SHARE: f64 = 0.02;

/// A request on whose admission has to be decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionRequest {
    /// Relative importance of the request's class.
    pub priority_weight: f64,
    /// Length of the whole prompt, tokens.
    pub prompt_tokens: f64,
    /// Hash of the prompt prefix that the request shares with others; 0 for none.
    pub prefix_hash: u64,
    /// Length of the shared prefix, tokens.
    pub prefix_tokens: f64,
    /// Expected length of the output, tokens.
    pub output_tokens: f64,
    /// What earlier requests of the same session or workflow have cost.
    pub sunk_cost: SunkCost,
    /// Hash of what the request belongs to: its workflow, its conversation, or its fingerprint. The same at all dispatchers.
    pub identity: u64,
    /// Hash of the idempotency key or the content, by which a retry is recognized.
    pub fingerprint: u64,
    pub tenant: u32,
    /// Requests per second that the tenant may send to the whole cluster; infinite for no quota.
    pub quota_rps: f64,
    /// Latency objective for the first token, seconds.
    pub ttft_objective_s: f64,
}

/// An admitted request whose first token has not been received yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingWork {
    /// Expected work of the request, seconds of a server of weight 1.
    pub work: f64,
    ttft_objective_s: f64,
    admitted_at: Duration,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    Admit(PendingWork),
    Reject { retry_after_s: f64 },
}

/// A token bucket.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    at: Duration,
}

impl TokenBucket {
    /// Refills the bucket at `rate` per second up to `burst`, then takes `amount` from it; false if it holds less.
    fn try_take(&mut self, now: Duration, amount: f64, rate: f64, burst: f64) -> bool {
        let gained = rate * now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(burst);
        self.at = self.at.max(now);
        let allowed = self.tokens >= amount;
        if allowed {
            self.tokens -= amount;
        }
        allowed
    }
}

/// Admission control of one dispatcher. Work is in seconds of a server of weight 1.
#[derive(Debug)]
pub struct AdmissionController {
    settings: Settings,
    /// Number of dispatchers on the cluster's roster.
    roster: usize,
    threshold: Option<AdmissionThreshold>,
    /// Work, per second, of all requests that are not retries, whether admitted or not, by priority level; recent requests weigh most.
    demand: Vec<DecayingRate>,
    admitted: DecayingRate,
    completed: DecayingRate,
    /// Work, per second, of the requests whose first token was received, each multiplied by its time to first token as a fraction of its
    /// latency objective.
    weighted_ttft: DecayingRate,
    /// Work, per second, of the requests in `weighted_ttft`.
    ttft_weights: DecayingRate,
    /// Work of the admitted requests that wait for their first token.
    backlog: f64,
    /// Number of admitted requests that wait for their first token.
    pending: u32,
    /// Admitted, rejected and retried requests since the last measurement.
    counts: (u32, u32, u32),
    retry_after: RetryAfterSchedule,
    retry_budget: RetryBudget,
    /// Limits the work that is admitted while no threshold is valid.
    isolated_limit: TokenBucket,
    tenants: BTreeMap<u32, TokenBucket>,
    /// When each prompt prefix was last admitted.
    prefixes: BTreeMap<u64, Duration>,
    /// Queue length of each server in requests, and when it was reported.
    queue_lengths: BTreeMap<u32, (Duration, f64)>,
    /// When the local load is due again.
    load_due_at: Duration,
}

impl AdmissionController {
    /// `roster` is the number of dispatchers that the cluster should have, `max_retry_after_s` the longest retry delay that clients
    /// honour.
    pub fn new(
        settings: Settings,
        roster: usize,
        max_retry_after_s: f64,
        seed: u64,
    ) -> AdmissionController {
        let roster = roster.max(1);
        AdmissionController {
            settings,
            roster,
            threshold: None,
            demand: vec![DecayingRate::new(DEMAND_DECAY); LEVELS],
            admitted: DecayingRate::new(ADMITTED_DECAY),
            completed: DecayingRate::new(ADMITTED_DECAY),
            weighted_ttft: DecayingRate::new(ADMITTED_DECAY),
            ttft_weights: DecayingRate::new(ADMITTED_DECAY),
            backlog: 0.0,
            pending: 0,
            counts: (0, 0, 0),
            retry_after: RetryAfterSchedule::new(max_retry_after_s, seed),
            retry_budget: RetryBudget::new(bitternlatch_quota_lease::unleased_quota(roster)),
            isolated_limit: TokenBucket {
                tokens: 0.0,
                at: Duration::ZERO,
            },
            tenants: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            queue_lengths: BTreeMap::new(),
            load_due_at: Duration::ZERO,
        }
    }

    /// Replaces the admission threshold.
    pub fn set_threshold(&mut self, threshold: AdmissionThreshold) {
        self.threshold = Some(threshold);
    }

    /// Expected work of a request, seconds of a server of weight 1.
    fn work(&mut self, now: Duration, request: &AdmissionRequest) -> f64 {
        let bounded = |v: f64| {
            if v.is_finite() {
                v.clamp(0.0, 1e9)
            } else {
                0.0
            }
        };
        let (prompt, output) = (
            bounded(request.prompt_tokens),
            bounded(request.output_tokens),
        );
        let is_cached = self
            .prefixes
            .get(&request.prefix_hash)
            .is_some_and(|at| now.saturating_sub(*at) < PREFIX_LIFETIME);
        let saved = if is_cached {
            bounded(request.prefix_tokens).min(prompt) * (1.0 - CACHED_PREFIX_COST)
        } else {
            0.0
        };
        (prompt - saved) / self.settings.read_tokens_per_s
            + output / self.settings.write_tokens_per_s
    }

    /// Counts the request for its tenant, and returns whether the request exceeds this dispatcher's part of the tenant's quota.
    fn is_over_quota(&mut self, now: Duration, request: &AdmissionRequest) -> bool {
        if !request.quota_rps.is_finite() {
            return false;
        }
        let members = self
            .threshold
            .as_ref()
            .filter(|t| now < t.valid_until)
            .map_or(self.roster, |t| t.members as usize);
        let rate = request.quota_rps.max(0.0) / members.max(1) as f64;
        let burst = (rate * TENANT_BURST_S).max(1.0);
        if self.tenants.len() >= MAX_TENANTS && !self.tenants.contains_key(&request.tenant) {
            return true;
        }
        let bucket = self.tenants.entry(request.tenant).or_insert(TokenBucket {
            tokens: burst,
            at: now,
        });
        !bucket.try_take(now, 1.0, rate, burst)
    }

    /// Decides on a request, and counts it.
    pub fn evaluate(&mut self, now: Duration, request: &AdmissionRequest) -> AdmissionDecision {
        let work = self.work(now, request);
        let level = level(request.priority_weight, work, request.sunk_cost);
        let over_quota = self.is_over_quota(now, request);
        let level = if over_quota {
            level.saturating_sub(OVER_QUOTA_LEVELS)
        } else {
            level
        };
        let rank = rank(level, request.identity, now);
        let is_retry = self.retry_after.is_retry(now, request.fingerprint);
        // Retries are limited by their own budget. Counted as demand they would raise the threshold for other requests.
        if !is_retry {
            self.demand[usize::from(level).min(LEVELS - 1)].add(now, work);
        }
        if !self.passes_threshold(now, rank, work)
            || is_retry
                && !self
                    .retry_budget
                    .try_spend(now, work, self.threshold.as_ref())
        {
            return self.reject(now, work, request.fingerprint);
        }
        if is_retry {
            self.counts.2 += 1;
        } else {
            self.retry_budget.add_new_work(now, work);
        }
        self.retry_after.record_admission(request.fingerprint);
        if request.prefix_hash != 0
            && (self.prefixes.len() < MAX_PREFIXES
                || self.prefixes.contains_key(&request.prefix_hash))
        {
            self.prefixes.insert(request.prefix_hash, now);
        }
        self.admitted.add(now, work);
        self.backlog += work;
        self.pending += 1;
        self.counts.0 += 1;
        AdmissionDecision::Admit(PendingWork {
            work,
            ttft_objective_s: request.ttft_objective_s,
            admitted_at: now,
        })
    }

    /// Whether a request of this rank is admitted now. While the threshold is valid, it is compared with the rank, after being raised if
    /// the backlog exceeds `max_backlog`. Once the threshold has expired, this dispatcher admits only its even part of the last known
    /// capacity, which is safe whatever the other dispatchers do.
    fn passes_threshold(&mut self, now: Duration, rank: f64, work: f64) -> bool {
        match self.threshold.as_ref() {
            Some(threshold) if now < threshold.valid_until => {
                let excess = ((self.backlog + work) / threshold.max_backlog.get().max(1e-6) - 1.0)
                    .clamp(0.0, 1.0);
                let bound = threshold.rank.get() + (LEVELS as f64 - threshold.rank.get()) * excess;
                // If none of this dispatcher's admitted requests waits for its first token, a request of the threshold's rank or a higher
                // one is admitted even if its work alone exceeds `max_backlog`.
                rank >= bound || threshold.rank.get() <= rank && self.backlog == 0.0
            }
            expired => {
                let capacity = expired.map_or(self.roster as f64, |t| t.capacity.get());
                let lowest_rank = expired.map_or(0.0, |t| t.rank.get());
                let rate = capacity / self.roster as f64;
                let burst = (rate * ISOLATED_BURST_S).max(work);
                rank >= lowest_rank && self.isolated_limit.try_take(now, work, rate, burst)
            }
        }
    }

    /// Rejects a request and determines when it may be retried.
    fn reject(&mut self, now: Duration, work: f64, fingerprint: u64) -> AdmissionDecision {
        self.counts.1 += 1;
        AdmissionDecision::Reject {
            retry_after_s: self.retry_after_s(now, work, fingerprint),
        }
    }

    /// The delay after which a request that was rejected here or elsewhere in this dispatcher may be retried, seconds. The request is
    /// remembered, so that its retry is recognized.
    pub fn retry_after_s(&mut self, now: Duration, work: f64, fingerprint: u64) -> f64 {
        self.retry_after.record_rejection(now, fingerprint);
        let valid = self.threshold.as_ref().filter(|t| now < t.valid_until);
        let roster_share = 1.0 / self.roster as f64;
        let retry_capacity = match valid {
            None => roster_share * MIN_RETRY_SHARE,
            Some(threshold) => (threshold.retry_capacity.get()
                / f64::from(threshold.members.max(1)))
            .max(threshold.capacity.get() * MIN_RETRY_SHARE * roster_share),
        };
        self.retry_after.delay_s(now, work, retry_capacity)
    }

    /// Whether an attempt may repeat this much work now; if so, the work is charged to the retry budget.
    pub fn may_retry(&mut self, now: Duration, work: f64) -> bool {
        let allowed = self
            .retry_budget
            .try_spend(now, work, self.threshold.as_ref());
        self.counts.2 += u32::from(allowed);
        allowed
    }

    /// The first token of an admitted request was received.
    pub fn first_token(&mut self, now: Duration, pending: PendingWork) {
        self.remove_pending(pending);
        self.completed.add(now, pending.work);
        let waited_s = now.saturating_sub(pending.admitted_at).as_secs_f64();
        self.weighted_ttft.add(
            now,
            pending.work * waited_s / pending.ttft_objective_s.max(1e-3),
        );
        self.ttft_weights.add(now, pending.work);
    }

    /// An admitted request ended or got its first token: its work no longer counts as backlog.
    pub fn remove_pending(&mut self, pending: PendingWork) {
        self.pending = self.pending.saturating_sub(1);
        self.backlog = if self.pending == 0 {
            0.0
        } else {
            (self.backlog - pending.work).max(0.0)
        };
    }

    /// A server reported the number of requests in its queue.
    pub fn queue_reported(&mut self, now: Duration, server: u32, queue_length: f64) {
        let fits =
            self.queue_lengths.len() < MAX_SERVERS || self.queue_lengths.contains_key(&server);
        if queue_length.is_finite() && queue_length >= 0.0 && fits {
            self.queue_lengths.insert(server, (now, queue_length));
        }
    }

    /// The measured load, if it is due. `server_weight` is the total weight of the ready servers that can prefill.
    pub fn local_load(&mut self, now: Duration, server_weight: f64) -> Option<LocalLoad> {
        if now < self.load_due_at {
            return None;
        }
        self.load_due_at = now + LOAD_INTERVAL;
        self.queue_lengths
            .retain(|_, (at, _)| now.saturating_sub(*at) < QUEUE_LENGTH_LIFETIME);
        self.prefixes
            .retain(|_, at| now.saturating_sub(*at) < PREFIX_LIFETIME);
        let mean_request_work = if self.pending == 0 {
            0.0
        } else {
            self.backlog / f64::from(self.pending)
        };
        let ttft_weights = self.ttft_weights.per_s(now);
        let (new_work, retry_work) = self.retry_budget.sums(now);
        let (admitted_count, rejected_count, retry_count) = std::mem::take(&mut self.counts);
        Some(LocalLoad {
            demand: self
                .demand
                .iter()
                .map(|d| Millionths::of(d.per_s(now)))
                .collect(),
            admitted: Millionths::of(self.admitted.per_s(now)),
            completed: Millionths::of(self.completed.per_s(now)),
            backlog: Millionths::of(self.backlog),
            mean_request_work: Millionths::of(mean_request_work),
            queued_at_servers: Millionths::of(
                self.queue_lengths
                    .values()
                    .map(|(_, length)| length * mean_request_work)
                    .sum(),
            ),
            server_weight: Millionths::of(server_weight),
            ttft_ratio: Millionths::of(if ttft_weights > 0.0 {
                self.weighted_ttft.per_s(now) / ttft_weights
            } else {
                0.0
            }),
            new_work: Millionths::of(new_work),
            retry_work: Millionths::of(retry_work),
            rejected_count,
            admitted_count,
            retry_count,
        })
    }
}
