//! Hundreds of routers over one fleet while six in ten of its servers are replaced at once. A
//! router sees one request in two seconds, so that it judges most servers by what it knows of their
//! like.
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
/// Added to the id of a server that leaves, the id of the one that comes for it.
const COMES: u32 = 1000;
/// Requests a second: all that is left of the fleet, and what the warming ones can bear, are
/// needed.
const RATE: f64 = 250.0;
const RESTARTED_AT: f64 = T0 + 7.0;

fn leaves(id: ServerId) -> bool {
    id % 5 < 3
}

fn replaced(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(
        Settings {
            dispatchers: ROUTERS,
            ..settings(Effect::Idempotent)
        },
        T0,
    );
    let hosts = |ids: Range<u32>, kind: u16| ids.map(move |id| server(id, kind, (id % 2) as u16));
    let old: Vec<ServerEntry> = hosts(PREFILL_SERVERS, 0)
        .chain(hosts(DECODE_SERVERS, 1))
        .collect();
    let leaving = || old.iter().filter(|e| leaves(e.id)).cloned();
    let gone: Vec<_> = leaving()
        .map(|e| ServerEntry {
            status: ServerStatus::Draining,
            ..e
        })
        .collect();
    let fresh = |e: ServerEntry| ServerEntry {
        id: e.id + COMES,
        booted_at: RESTARTED_AT - 2.0,
        ..e
    };
    fleet.notify_all(T0, ListForm::Full, &old);
    fleet.notify_all(RESTARTED_AT - 2.0, ListForm::Delta, &gone);
    fleet.notify_all(
        RESTARTED_AT,
        ListForm::Delta,
        &leaving().map(fresh).collect::<Vec<_>>(),
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
        let mut fleet = replaced(seed);
        fleet.run_until(T0 + 40.0);
        let in_time = fleet.first_token_s.values().filter(|w| **w < 1.0).count() as f64;
        let share = in_time / fleet.first_token_s.len() as f64;
        assert!(share > 0.8, "seed {seed}: {share:.3} in time");
    }
}

#[test]
fn warming_prefill_servers_take_their_part_while_warm_ones_queue() {
    let mut fleet = replaced(1);
    fleet.run_until(RESTARTED_AT + 4.0);
    let warm = queued_and_accepted(&fleet, PREFILL_SERVERS.filter(|id| !leaves(*id)));
    let warming = queued_and_accepted(
        &fleet,
        PREFILL_SERVERS
            .filter(|id| leaves(*id))
            .map(|id| id + COMES),
    );
    // What the guard allows them is 0.3 of all: 18 of 30 prefill servers at 0.5 of an even share.
    let arrived = RATE * 4.0;
    assert!(
        f64::from(warming.1) > 0.1 * arrived,
        "{warm:?} at warm readers, {warming:?} at cold ones"
    );
}

#[test]
fn routers_together_keep_slow_start_of_every_server() {
    let mut fleet = replaced(2);
    fleet.run_until(RESTARTED_AT);
    // 2.5 times what it can do of an even share, with the noise of a few dozen draws: a quarter of
    // its capacity, and more as it warms up by what it was sent, or by time where that is less; a
    // decode server's is larger than its even share, as answers come after reads.
    for step in 1..5 {
        let ids = || {
            PREFILL_SERVERS
                .chain(DECODE_SERVERS)
                .filter(|id| leaves(*id))
                .map(|id| id + COMES)
        };
        let before: Vec<u32> = ids().map(|id| fleet.queued_and_accepted(id).1).collect();
        fleet.run_until(RESTARTED_AT + 3.0 * f64::from(step));
        for (id, before) in ids().zip(before) {
            let like = if id < COMES + 100 {
                PREFILL_SERVERS.len()
            } else {
                DECODE_SERVERS.len()
            };
            let even = RATE * 3.0 / like as f64;
            let accepted = f64::from(fleet.queued_and_accepted(id).1 - before);
            let age_s = 3.0 * f64::from(step - 1);
            let warmed = (f64::from(before) / (even / 3.0)).min(age_s) / 14.0;
            let limit = 2.5 * (0.25 + 0.75 * warmed) * even + 3.0 * even.sqrt();
            assert!(
                accepted <= limit,
                "{accepted} at {id} in step {step}, even {even}, most {limit}"
            );
        }
    }
}
