//! The decision module: [`Router`] and its parts. Its types (settings, events, actions, ids) are in
//! `interface.rs`.

mod admission;
mod decode;
mod estimate;
mod health;
mod held_states;
mod prefix_index;
mod requests;
mod server_table;
mod slow_start;
mod timers;

use std::collections::{BTreeMap, VecDeque};

use self::estimate::{DecisionContext, Estimate};
use self::held_states::HeldState;
use self::prefix_index::{KnownPrefixes, PrefixIndex};
use self::requests::{Execution, RequestState, Stage};
use self::server_table::{InFlightAttempt, Report, Server};
use crate::interface::*;

/// Uncached tokens of the read that stands for one whose prompt is not known.
const TYPICAL_UNCACHED: f64 = 700.0;
const TYPICAL_TOKENS: f64 = 2500.0; // All tokens of that read.
const NEWEST_WEIGHT: f64 = 0.15; // Weight of the newest sample in speed ratios and other moving averages.
const WARM_PRIOR: Report = Report {
    load: 0.4,
    others: 0.3,
}; // Prior of a report of a warm server.
/// The same of a cold one, which the guard keeps nearly empty.
const WARMING_PRIOR: Report = Report {
    load: 0.1,
    others: 0.0,
};
/// Seconds that an arrival waits for its probes: a few round trips with a handshake.
const PROBE_WAIT_S: f64 = 0.015;
/// Load and seconds by which equals are spread over routers, and a key's next home must be quicker.
const SPREAD: f64 = 0.05;
/// Half-life, in seconds, of delay seen beyond prediction: about the time in which a queue turns over.
const EXCESS_HALF_LIFE_S: f64 = 0.7;
/// The same for a cell's link, for delay beyond what admission expected, and for loss by failures.
const HALF_LIFE_S: f64 = 2.0;
const DECODE_LOAD_S: f64 = 0.2; // Seconds of waiting that a full writer stands for, by share of its memory.
/// Load by which another cell's writer must be lighter; twice for another zone's, or a mixed server.
const CELL_MARGIN: f64 = 0.15;
const MAX_RETRY_TOKENS: f64 = 4.0; // Further attempts that can be saved up.
const INITIAL_RESPONSES_PER_CHOICE: f64 = 0.5; // Answers a choice before any is seen, as if twice too much were asked.

/// What is to be done, in order.
type Actions = Vec<Action>;

/// Decides for one dispatcher: events in, actions out, with no clock, I/O or randomness of its own.
pub struct Router {
    settings: Settings,
    seed: u64,
    servers: BTreeMap<ServerId, Server>,
    requests: BTreeMap<RequestId, RequestState>,
    prefixes: PrefixIndex,
    /// Per kind, warm and cold apart: mean of its servers' reports, and when it was last told.
    role_load: Vec<[(Report, f64); 2]>,
    /// Per cell: delay of states over its link beyond prediction, and when it was seen.
    links: BTreeMap<u16, (f64, f64)>,
    typical_prompt: (f64, f64), // Mean uncached and total tokens of a read.
    tenant_allowances: Vec<(f64, f64)>, // Per tenant: requests in hand within the share, and when counted.
    quota_fraction: f64,                // This router's of what all share.
    lateness: (f64, f64), // Mean first-token delay beyond promise, and when it was seen.
    retry_tokens: f64,
    recent_keys: VecDeque<u64>,      // Keys of the latest requests.
    response_rates: [(f64, f64); 3], // By role: not drawn on yet, and the most held; choices draw on them.
    last_choice: ExplainedChoice,
    last_failure: Option<FailedRequest>,
}

fn hash_pair(a: u64, b: u64) -> u64 {
    let z = (a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 31)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 32)
}

fn decayed((value, at): (f64, f64), now: f64, half_s: f64) -> f64 {
    // Most servers have nothing to fade, and powers are most of a decision's time over thousands of them.
    if value == 0.0 {
        return 0.0;
    }
    value * 0.5f64.powf((now - at).max(0.0) / half_s)
}

fn set_timer(id: RequestId, at: f64, actions: &mut Actions) {
    actions.push(Action::SetTimer {
        at,
        label: u64::from(id),
    });
}

fn non_negative(v: f64) -> f64 {
    Some(v).filter(|v| v.is_finite() && *v > 0.0).unwrap_or(0.0)
}

impl Router {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Router {
            role_load: vec![[(WARM_PRIOR, 0.0), (WARMING_PRIOR, 0.0)]; settings.kinds.len()],
            tenant_allowances: vec![(f64::INFINITY, 0.0); settings.tenants.len()],
            quota_fraction: 1.0 / f64::from(settings.dispatchers),
            settings: settings,
            seed,
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            prefixes: PrefixIndex::default(),
            links: BTreeMap::new(),
            typical_prompt: (TYPICAL_UNCACHED, TYPICAL_TOKENS),
            lateness: (0.0, 0.0),
            retry_tokens: MAX_RETRY_TOKENS,
            recent_keys: VecDeque::new(),
            response_rates: [(
                INITIAL_RESPONSES_PER_CHOICE / NEWEST_WEIGHT,
                INITIAL_RESPONSES_PER_CHOICE / NEWEST_WEIGHT,
            ); 3],
            last_choice: ExplainedChoice::default(),
            last_failure: None,
        }
    }

    /// What stood behind the last choice of a prefill server; zeros for request 0 before the first.
    pub fn last_choice(&self) -> ExplainedChoice {
        self.last_choice
    }

    /// The last request that was ended without being served.
    pub fn last_failure(&self) -> Option<FailedRequest> {
        self.last_failure
    }

    /// Takes one event at clock time `now` and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Actions) {
        match event {
            Event::Servers { form, entries } => self.on_list(now, form, entries, actions),
            Event::Arrival(request) => self.on_arrival(now, request, actions),
            Event::FirstToken {
                request: id,
                server,
                elapsed_s: t,
                ..
            } => self.on_first(now, id, server, t),
            Event::AttemptEnded(end) => self.on_end(now, end, actions),
            Event::ClientDisconnected { request } => {
                self.cancel(request, actions);
                self.finish(request, None, actions);
            }
            Event::Timer { label } => self.on_timer(now, label, actions),
            Event::ProbeEnded {
                server,
                outcome,
                elapsed_s,
                report,
            } => {
                self.record_load_report(now, server, &report);
                self.on_probe(now, server, outcome, elapsed_s, actions);
            }
            Event::PeerReport {
                server,
                observation,
                reporters,
                peers: of,
                age_s,
            } => self.on_peer_report(
                now,
                server,
                (observation, reporters, of, non_negative(age_s)),
            ),
            Event::QuotaFraction {
                fraction: quota_fraction,
                since,
            } => self.on_quota_fraction(quota_fraction, since),
            Event::ReservationAnswer { .. } | Event::PeerMessage { .. } => {}
        }
    }
}
