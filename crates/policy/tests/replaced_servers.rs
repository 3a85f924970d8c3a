//! Hundreds of routers share one fleet while six in ten of its servers are replaced at once. Each
//! router receives about one request every two seconds, so it must estimate the load of most
//! servers from what it knows about similar ones.
mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::ops::Range;

use bitternlatch_policy::interface::*;
use common::*;
use fleet::Fleet;

const ROUTERS: u32 = 300;
const PREFILL_SERVERS: Range<u32> = 1..31;
const DECODE_SERVERS: Range<u32> = 101..141;
/// Added to the id of a removed server, this gives the id of its replacement.
const REPLACEMENT_OFFSET: u32 = 1000;
/// Requests per second: enough to need all remaining servers as well as the capacity that the
/// warming ones already have.
const RATE: f64 = 250.0;
/// Clock time at which the routers are notified of the replacements, seconds; they started 2 s
/// earlier.
const NOTIFIED_AT: f64 = T0 + 7.0;

/// Whether a server of the original fleet is replaced.
fn is_replaced(id: ServerId) -> bool {
    id % 5 < 3
}

/// Creates a fleet that starts draining the replaced servers 2 s before it lists their
/// replacements.
fn fleet_with_replacements(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(
        Settings {
            dispatchers: ROUTERS,
            ..settings(Effect::Idempotent)
        },
        T0,
    );
    let servers = |ids: Range<u32>, kind: u16| ids.map(move |id| server(id, kind, (id % 2) as u16));
    let old: Vec<ServerEntry> = servers(PREFILL_SERVERS, 0)
        .chain(servers(DECODE_SERVERS, 1))
        .collect();
    let replaced = || old.iter().filter(|e| is_replaced(e.id)).cloned();
    let draining: Vec<_> = replaced()
        .map(|e| ServerEntry {
            status: ServerStatus::Draining,
            ..e
        })
        .collect();
    let fresh = |e: ServerEntry| ServerEntry {
        id: e.id + REPLACEMENT_OFFSET,
        booted_at: NOTIFIED_AT - 2.0,
        ..e
    };
    fleet.notify_all(T0, ListForm::Full, &old);
    fleet.notify_all(NOTIFIED_AT - 2.0, ListForm::Delta, &draining);
    fleet.notify_all(
        NOTIFIED_AT,
        ListForm::Delta,
        &replaced().map(fresh).collect::<Vec<_>>(),
    );
    fleet.arrivals(seed, RATE, 20.0, new_request);
    fleet
}

fn queued_and_accepted(fleet: &Fleet, ids: impl Iterator<Item = ServerId>) -> (usize, u32) {
    ids.map(|id| fleet.queued_and_accepted(id))
        .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
}

#[test]
fn most_first_tokens_are_in_time_while_six_in_ten_servers_are_replaced() {
    for seed in 1..4 {
        let mut fleet = fleet_with_replacements(seed);
        fleet.run_until(T0 + 40.0);
        let in_time = fleet.first_token_s.values().filter(|w| **w < 1.0).count() as f64;
        let share = in_time / fleet.first_token_s.len() as f64;
        assert!(share > 0.8, "seed {seed}: {share:.3} in time");
    }
}

#[test]
fn warming_prefill_servers_take_their_share_while_warm_ones_queue() {
    let mut fleet = fleet_with_replacements(1);
    fleet.run_until(NOTIFIED_AT + 4.0);
    let warm = queued_and_accepted(&fleet, PREFILL_SERVERS.filter(|id| !is_replaced(*id)));
    let warming = queued_and_accepted(
        &fleet,
        PREFILL_SERVERS
            .filter(|id| is_replaced(*id))
            .map(|id| id + REPLACEMENT_OFFSET),
    );
    // Slow start allows the warming servers 0.3 of all requests: 18 of 30 prefill servers, each
    // with 0.5 of an even share.
    let arrived = RATE * 4.0;
    assert!(
        f64::from(warming.1) > 0.1 * arrived,
        "{warm:?} at warm prefill servers, {warming:?} at warming ones (queued, accepted)"
    );
}

#[test]
fn routers_together_keep_slow_start_of_every_server() {
    let mut fleet = fleet_with_replacements(2);
    fleet.run_until(NOTIFIED_AT);
    // A server may receive 2.5 times what it can process of an even share, plus the noise of a few
    // dozen random arrivals. Its capacity starts at a quarter and grows with the requests that it
    // has received, or with time if that gives less. The capacity of a decode server is larger than
    // its even share, as answers come after prefills.
    for step in 1..5 {
        let ids = || {
            PREFILL_SERVERS
                .chain(DECODE_SERVERS)
                .filter(|id| is_replaced(*id))
                .map(|id| id + REPLACEMENT_OFFSET)
        };
        let before: Vec<u32> = ids().map(|id| fleet.queued_and_accepted(id).1).collect();
        fleet.run_until(NOTIFIED_AT + 3.0 * f64::from(step));
        for (id, before) in ids().zip(before) {
            let same_role = if id < REPLACEMENT_OFFSET + 100 {
                PREFILL_SERVERS.len()
            } else {
                DECODE_SERVERS.len()
            };
            let even = RATE * 3.0 / same_role as f64;
            let accepted = f64::from(fleet.queued_and_accepted(id).1 - before);
            let age_s = 3.0 * f64::from(step - 1);
            let warmed = (f64::from(before) / (even / 3.0)).min(age_s) / 14.0;
            let limit = 2.5 * (0.25 + 0.75 * warmed) * even + 3.0 * even.sqrt();
            assert!(
                accepted <= limit,
                "{accepted} attempts at {id} in step {step}, even share {even}, limit {limit}"
            );
        }
    }
}
