//! Fairness among prompts whose lengths differ by a factor of a hundred: long prompts are answered
//! nearly as often as the rest of their class, and with capacity left no session and no router
//! starves.
mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;

use bitternlatch_policy::interface::*;
use common::*;
use fleet::{draw, interarrival_s, Fleet};

const ROUTERS: u32 = 10;
const PREFILL_SERVERS: u32 = 6;
const DECODE_SERVERS: u32 = 8;
const SESSIONS: u64 = 60;
/// Shortest prompt, tokens.
const MIN_PROMPT_TOKENS: f64 = 200.0;
/// Longest prompt, tokens.
const MAX_PROMPT_TOKENS: f64 = 24_000.0;
/// Time for which requests arrive, seconds.
const DURATION_S: f64 = 40.0;
/// A router starves if it answers none of this many successive requests that arrive within
/// `STARVED_RUN_S`.
const STARVED_RUN: usize = 15;
/// Time, in seconds, within which a run of unanswered requests counts as starvation of a router.
const STARVED_RUN_S: f64 = 4.0;

/// Draws a prompt length whose logarithm is uniformly distributed.
fn prompt_tokens(seed: u64, id: RequestId) -> f64 {
    MIN_PROMPT_TOKENS
        * (MAX_PROMPT_TOKENS / MIN_PROMPT_TOKENS).powf(draw(seed ^ 0xA11CE, u64::from(id)))
}

struct Arrival {
    id: RequestId,
    at: f64,
    router: usize,
    session: u64,
    tokens: f64,
}

/// Draws Poisson arrivals at `rate` per second for `DURATION_S`, each with a random session and
/// router.
fn arrivals(seed: u64, rate: f64) -> Vec<Arrival> {
    let mut at = T0 + 1.0;
    let mut all = Vec::new();
    for id in 1.. {
        let n = u64::from(id) * 8;
        at += interarrival_s(seed, n, rate);
        if at > T0 + DURATION_S {
            break;
        }
        let router = (draw(seed, n + 1) * f64::from(ROUTERS)) as usize;
        let session = (draw(seed, n + 2) * SESSIONS as f64) as u64;
        all.push(Arrival {
            id,
            at,
            router,
            session,
            tokens: prompt_tokens(seed, id),
        });
    }
    all
}

/// Simulates the arrivals and returns for each request whether it was answered, in time or late.
fn answered(arrivals: &[Arrival]) -> BTreeMap<RequestId, bool> {
    let mut fleet = Fleet::new(
        Settings {
            dispatchers: ROUTERS,
            ..settings(Effect::Idempotent)
        },
        T0,
    );
    let prefill_servers = (1..=PREFILL_SERVERS).map(|id| server(id, 0, 0));
    let decode_servers = (1..=DECODE_SERVERS).map(|id| server(100 + id, 1, 0));
    fleet.notify_all(
        T0,
        ListForm::Full,
        &prefill_servers.chain(decode_servers).collect::<Vec<_>>(),
    );
    for arrival in arrivals {
        let (session, prefix) = (arrival.session + 1, arrival.session + 1);
        let (prompt_tokens, prefix_tokens) = (arrival.tokens, arrival.tokens / 4.0);
        let new_request = Request {
            session,
            prefix,
            prompt_tokens,
            prefix_tokens,
            ..new_request(arrival.id)
        };
        fleet.arrive(arrival.at, arrival.router, new_request);
    }
    fleet.run_until(T0 + DURATION_S + 20.0);
    fleet
        .first_token_s
        .iter()
        .map(|(id, wait)| (*id, wait.is_finite()))
        .collect()
}

/// Returns the fraction of the given requests that were answered.
fn answered_fraction<'a>(
    requests: impl Iterator<Item = &'a Arrival>,
    answered: &BTreeMap<RequestId, bool>,
) -> f64 {
    let (mut all, mut served) = (0, 0);
    for request in requests {
        all += 1;
        served += u32::from(answered[&request.id]);
    }
    f64::from(served) / f64::from(all.max(1))
}

/// Load levels: name, requests per second, and the least ratio of the answered fraction of long
/// prompts to that of their class: two thirds at low load, one half otherwise.
const LOADS: [(&str, f64, f64); 4] = [
    ("low", 8.0, 2.0 / 3.0),
    ("high", 16.0, 0.5),
    ("overload", 28.0, 0.5),
    ("heavy overload", 45.0, 0.5),
];

#[test]
fn longest_prompts_are_served_like_the_rest_of_their_class() {
    for (name, rate, min_ratio) in LOADS {
        for seed in 1..4 {
            let arrivals = arrivals(seed, rate);
            let answered = answered(&arrivals);
            let mut by_length: Vec<&Arrival> = arrivals.iter().collect();
            by_length.sort_by(|a, b| b.tokens.total_cmp(&a.tokens));
            let (tenth, third) = (arrivals.len() / 10, arrivals.len() * 3 / 10);
            let class = answered_fraction(arrivals.iter(), &answered);
            let longest = answered_fraction(by_length[..tenth].iter().copied(), &answered);
            let next = answered_fraction(by_length[tenth..third].iter().copied(), &answered);
            println!(
                "{name} {seed}: class {class:.3}, longest tenth {longest:.3}, next fifth {next:.3}"
            );
            assert!(
                longest >= min_ratio * class,
                "{name}, seed {seed}: longest tenth {longest:.3} of {class:.3}"
            );
            assert!(
                next >= min_ratio * class,
                "{name}, seed {seed}: next fifth {next:.3} of {class:.3}"
            );
            // Without this bound a router that answers nothing would pass.
            assert!(
                class >= if name == "low" { 0.99 } else { 0.3 },
                "{name}, seed {seed}: {class:.3}"
            );
        }
    }
}

#[test]
fn with_capacity_left_no_session_or_router_starves() {
    let (_, rate, _) = LOADS[0];
    for seed in 1..4 {
        let arrivals = arrivals(seed, rate);
        let answered = answered(&arrivals);
        for session in 0..SESSIONS {
            let requests = || arrivals.iter().filter(|a| a.session == session);
            assert!(
                requests().count() == 0 || answered_fraction(requests(), &answered) > 0.0,
                "seed {seed}: session {session}"
            );
        }
        for router in 0..ROUTERS as usize {
            let at: Vec<&Arrival> = arrivals.iter().filter(|a| a.router == router).collect();
            let starved_runs = at.windows(STARVED_RUN).filter(|run| {
                run[STARVED_RUN - 1].at - run[0].at <= STARVED_RUN_S
                    && run.iter().all(|a| !answered[&a.id])
            });
            assert_eq!(
                starved_runs.count(),
                0,
                "seed {seed}: router {router} answers nothing"
            );
        }
    }
}
