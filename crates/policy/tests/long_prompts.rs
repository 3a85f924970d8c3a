//! Who is answered where prompts differ in length a hundredfold: long prompts have their share of
//! what their class is answered, and where there is room no session and no router goes without.
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
const SHORTEST: f64 = 200.0;
const LONGEST: f64 = 24_000.0;
const FOR_S: f64 = 40.0;
/// A router that turns away so many on end within `ON_END_S`, and sends none on, turns away all.
const ON_END: usize = 15;
const ON_END_S: f64 = 4.0;

/// Lengths spread evenly by their logarithm.
fn prompt_tokens(seed: u64, id: RequestId) -> f64 {
    SHORTEST * (LONGEST / SHORTEST).powf(draw(seed ^ 0xA11CE, u64::from(id)))
}

struct Arrived {
    id: RequestId,
    at: f64,
    router: usize,
    session: u64,
    tokens: f64,
}

/// Requests a second for `FOR_S`, each of any session at any router.
fn arrivals(seed: u64, rate: f64) -> Vec<Arrived> {
    let mut at = T0 + 1.0;
    let mut all = Vec::new();
    for id in 1.. {
        let n = u64::from(id) * 8;
        at += interarrival_s(seed, n, rate);
        if at > T0 + FOR_S {
            break;
        }
        let router = (draw(seed, n + 1) * f64::from(ROUTERS)) as usize;
        let session = (draw(seed, n + 2) * SESSIONS as f64) as u64;
        all.push(Arrived {
            id,
            at,
            router,
            session,
            tokens: prompt_tokens(seed, id),
        });
    }
    all
}

/// Whether each was answered, in time or late.
fn answered(arrivals: &[Arrived]) -> BTreeMap<RequestId, bool> {
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
    for one in arrivals {
        let (session, prefix) = (one.session + 1, one.session + 1);
        let (prompt_tokens, prefix_tokens) = (one.tokens, one.tokens / 4.0);
        let new_request = Request {
            session,
            prefix,
            prompt_tokens,
            prefix_tokens,
            ..new_request(one.id)
        };
        fleet.arrive(one.at, one.router, new_request);
    }
    fleet.run_until(T0 + FOR_S + 20.0);
    fleet
        .first_token_s
        .iter()
        .map(|(id, wait)| (*id, wait.is_finite()))
        .collect()
}

fn share<'a>(of: impl Iterator<Item = &'a Arrived>, answered: &BTreeMap<RequestId, bool>) -> f64 {
    let (mut all, mut served) = (0, 0);
    for one in of {
        all += 1;
        served += u32::from(answered[&one.id]);
    }
    f64::from(served) / f64::from(all.max(1))
}

/// Loads, as a share of what the prefill servers can do, and the part of their class's answered
/// share that long prompts have at least: two thirds on a quiet day, half on others.
const LOADS: [(&str, f64, f64); 4] = [
    ("quiet", 8.0, 2.0 / 3.0),
    ("busy", 16.0, 0.5),
    ("over", 28.0, 0.5),
    ("far over", 45.0, 0.5),
];

#[test]
fn longest_prompts_are_served_like_the_rest_of_their_class() {
    for (name, rate, least) in LOADS {
        for seed in 1..4 {
            let arrivals = arrivals(seed, rate);
            let answered = answered(&arrivals);
            let mut by_length: Vec<&Arrived> = arrivals.iter().collect();
            by_length.sort_by(|a, b| b.tokens.total_cmp(&a.tokens));
            let (tenth, third) = (arrivals.len() / 10, arrivals.len() * 3 / 10);
            let class = share(arrivals.iter(), &answered);
            let longest = share(by_length[..tenth].iter().copied(), &answered);
            let next = share(by_length[tenth..third].iter().copied(), &answered);
            println!(
                "{name} {seed}: class {class:.3}, longest tenth {longest:.3}, next fifth {next:.3}"
            );
            assert!(
                longest >= least * class,
                "{name}, seed {seed}: longest tenth {longest:.3} of {class:.3}"
            );
            assert!(
                next >= least * class,
                "{name}, seed {seed}: next fifth {next:.3} of {class:.3}"
            );
            // Else a router that answers nobody would pass.
            assert!(
                class >= if name == "quiet" { 0.99 } else { 0.3 },
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
            let of = || arrivals.iter().filter(|a| a.session == session);
            assert!(
                of().count() == 0 || share(of(), &answered) > 0.0,
                "seed {seed}: session {session}"
            );
        }
        for router in 0..ROUTERS as usize {
            let at: Vec<&Arrived> = arrivals.iter().filter(|a| a.router == router).collect();
            let turned_away = at.windows(ON_END).filter(|run| {
                run[ON_END - 1].at - run[0].at <= ON_END_S && run.iter().all(|a| !answered[&a.id])
            });
            assert_eq!(
                turned_away.count(),
                0,
                "seed {seed}: router {router} turns away all"
            );
        }
    }
}
