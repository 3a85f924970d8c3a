//! Tests of members that exchange windows over a simulated network, with message loss, partitions, restarts, changing lengths,
//! invalid reports and many classes and tenants.

use std::time::Duration;

use bitternlatch_output_length::simulated::*;
use bitternlatch_output_length::*;
use bitternlatch_quota_lease::{ServiceInput, StorageError};
use bitternlatch_simulation::{ms, World};

const SECOND: Duration = Duration::from_secs(1);

fn estimate(world: &World<SimulatedMember>, i: usize, class: u32) -> Option<LengthEstimate> {
    let curves = &world.places[i].node.as_ref()?.curves;
    Some(
        curves
            .find(ModelKey(1), ClassKey(class), 500)?
            .estimate(8000),
    )
}

fn responses(world: &World<SimulatedMember>, i: usize) -> u64 {
    world.places[i]
        .node
        .as_ref()
        .map_or(0, SimulatedMember::responses)
}

/// Sets whether the member `at` considers member 0 reachable.
fn set_reachable(world: &mut World<SimulatedMember>, at: usize, reachable: bool) {
    let peers = world.places[at].node.as_mut().map(|n| &mut n.peers);
    peers.into_iter().for_each(|p| {
        if reachable {
            p.extend([0])
        } else {
            p.retain(|i| *i != 0)
        }
    });
}

/// Finishes `count` responses with lengths around a median at the given members in turn, one every 10 ms.
fn traffic(
    world: &mut World<SimulatedMember>,
    at: &[usize],
    count: usize,
    class: u32,
    median: f64,
) {
    for n in 0..count {
        let tokens = random_length(&mut world.net, median, 0.5);
        finish_response(world, at[n % at.len()], response(class, tokens));
        let now = world.now();
        world.run(now + ms(10));
    }
}

fn run_for(world: &mut World<SimulatedMember>, seconds: u32) {
    let now = world.now();
    world.run(now + seconds * SECOND);
}

#[test]
fn responses_are_counted_once_by_all_members_after_a_partition_heals() {
    for seed in 0..5 {
        let mut world = simulate_members(4, seed);
        (world.net.loss, world.net.twice) = (0.2, 0.3);
        traffic(&mut world, &[0, 1, 2, 3], 300, 1, 200.0);
        world.net.passes = Box::new(|from, to| (from == 0) == (to == 0));
        (1..4).for_each(|i| set_reachable(&mut world, i, false));
        traffic(&mut world, &[0, 1, 2, 3], 300, 1, 200.0);
        run_for(&mut world, 5);
        assert!((0..4).all(|i| responses(&world, i) < 600));
        world.net.passes = Box::new(|_, _| true);
        (1..4).for_each(|i| set_reachable(&mut world, i, true));
        run_for(&mut world, 60);
        let all: Vec<u64> = (0..4).map(|i| responses(&world, i)).collect();
        let longest = world
            .places
            .iter()
            .filter_map(|p| Some(p.node.as_ref()?.longest_datagram))
            .max();
        assert!(
            longest <= Some(bitternlatch_membership::MAX_PAYLOAD),
            "{longest:?}"
        );
        assert_eq!(all, [600; 4], "seed {seed}");
    }
}

#[test]
fn restarted_member_recovers_its_estimates_from_peers_within_a_second_and_counts_no_response_twice()
{
    let mut world = simulate_members(3, 7);
    traffic(&mut world, &[0, 1, 2], 600, 1, 300.0);
    run_for(&mut world, 5);
    let before = estimate(&world, 0, 1).unwrap();
    world.kill(0);
    let now = world.now_at(0);
    world.start(0, SimulatedMember::new(0, 2, 3, now));
    run_for(&mut world, 1);
    let after = estimate(&world, 0, 1).unwrap();
    assert!(
        (after.p50 - before.p50).abs() < 0.1 * before.p50,
        "{before:?} {after:?}"
    );
    assert_eq!(responses(&world, 0), 600);
    traffic(&mut world, &[0], 30, 1, 300.0);
    run_for(&mut world, 15);
    assert_eq!(
        (0..3).map(|i| responses(&world, i)).collect::<Vec<_>>(),
        [630; 3]
    );
}

#[test]
fn snapshot_is_aged_when_loaded_and_an_invalid_one_is_logged_and_ignored() {
    let mut world = simulate_members(1, 3);
    let step_first = |world: &mut World<SimulatedMember>, input| {
        world.act(0, |m, now, out| m.step(now, input, out));
    };
    step_first(&mut world, ServiceInput::Loaded(Ok(vec![])));
    traffic(&mut world, &[0], 300, 1, 300.0);
    step_first(&mut world, ServiceInput::Leave);
    let snapshot = world.kill(0).and_then(|n| n.snapshot).expect("a snapshot");
    let restart = |world: &mut World<SimulatedMember>, loaded| {
        let now = world.now_at(0);
        world.start(
            0,
            SimulatedMember::new(0, 1 + now.as_millis() as u64, 1, now),
        );
        step_first(world, ServiceInput::Loaded(loaded));
        run_for(world, 1);
        world.places[0]
            .node
            .as_ref()
            .map(|n| n.logs.join("\n"))
            .unwrap_or_default()
    };
    let entries = vec![(b"lengths".to_vec(), snapshot.clone())];
    run_for(&mut world, 3600);
    let log = restart(&mut world, Ok(entries.clone()));
    assert!(log.contains("read back answers=300 age_s=36"), "{log}");
    let old = estimate(&world, 0, 1).expect("an estimate from the aged snapshot");
    assert!((old.p50 - 300.0).abs() < 60.0, "{old:?}");
    // A few new responses outweigh those of the snapshot, which is an hour old.
    traffic(&mut world, &[0], 60, 1, 900.0);
    run_for(&mut world, 2);
    assert!(estimate(&world, 0, 1).unwrap().p50 > 600.0);
    for bad in [
        snapshot[..snapshot.len() / 2].to_vec(),
        vec![],
        vec![9; 50],
        vec![1, 255, 255],
    ] {
        let log = restart(&mut world, Ok(vec![(b"lengths".to_vec(), bad)]));
        assert!(
            log.contains("begins with nothing") && estimate(&world, 0, 1).is_none(),
            "{log}"
        );
    }
    let log = restart(&mut world, Err(StorageError::Io("torn".into())));
    assert!(log.contains("begins with nothing"), "{log}");
}

#[test]
fn members_share_estimates_of_different_classes_and_estimate_an_unseen_class_from_all_requests() {
    let mut world = simulate_members(2, 5);
    assert!(estimate(&world, 0, 1).is_none());
    for _ in 0..150 {
        traffic(&mut world, &[0], 1, 1, 50.0);
        traffic(&mut world, &[1], 1, 2, 1500.0);
    }
    run_for(&mut world, 15);
    for i in 0..2 {
        let (short, long) = (
            estimate(&world, i, 1).unwrap(),
            estimate(&world, i, 2).unwrap(),
        );
        assert!(short.p50 < 70.0 && long.p50 > 1100.0, "{short:?} {long:?}");
        let unseen = estimate(&world, i, 99).unwrap();
        assert!(
            unseen.p50 > short.p50 && unseen.p50 < long.p50,
            "{unseen:?}"
        );
    }
}

#[test]
fn doubling_of_lengths_within_a_minute_is_detected_and_earlier_windows_are_dropped() {
    let mut world = simulate_members(3, 11);
    traffic(&mut world, &[0, 1, 2], 6000, 1, 200.0);
    assert!((estimate(&world, 0, 1).unwrap().p50 - 200.0).abs() < 20.0);
    for step in 0..6 {
        let median = 200.0 * 2f64.powf(f64::from(step + 1) / 6.0);
        traffic(&mut world, &[0, 1, 2], 1000, 1, median);
    }
    traffic(&mut world, &[0, 1, 2], 2000, 1, 400.0);
    for i in 0..3 {
        let now = estimate(&world, i, 1).unwrap();
        assert!((now.p50 - 400.0).abs() < 50.0, "{now:?}");
        let log = world.places[i]
            .node
            .as_ref()
            .map(|n| n.logs.join("\n"))
            .unwrap();
        assert!(
            log.contains("changes=1") || log.contains("changes=2"),
            "{log}"
        );
    }
}

#[test]
fn p90_covers_nine_of_ten_responses_in_steady_bimodal_and_drifting_traffic() {
    for shape in 0..3 {
        let mut world = simulate_members(3, 20 + shape);
        let (mut predicted, mut covered) = (0.0, 0.0);
        for n in 0..12_000 {
            let median = match shape {
                0 => 200.0,
                1 if world.net.draw() < 0.3 => 1500.0,
                1 => 60.0,
                _ => 200.0 * 4f64.powf(f64::from(n) / 12_000.0),
            };
            let (tokens, at) = (random_length(&mut world.net, median, 0.5), n as usize % 3);
            if let Some(estimate) = estimate(&world, at, 1).filter(|_| n > 1000) {
                predicted += 1.0;
                covered += f64::from(u8::from(f64::from(tokens) <= estimate.p90.round()));
            }
            finish_response(&mut world, at, response(1, tokens));
            let now = world.now();
            world.run(now + ms(20));
        }
        let share = covered / predicted;
        assert!((0.88..=0.92).contains(&share), "{shape}: {share}");
    }
}

#[test]
fn responses_that_ended_early_do_not_lower_the_estimate() {
    let mut world = simulate_members(1, 2);
    for n in 0..400 {
        traffic(&mut world, &[0], 1, 1, 400.0);
        let disconnected = FinishedResponse {
            end: ResponseEnd::ClientDisconnected,
            ..response(1, 10 + n % 40)
        };
        finish_response(&mut world, 0, disconnected);
        finish_response(
            &mut world,
            0,
            FinishedResponse {
                end: ResponseEnd::TokenLimit,
                max_output_tokens: 100,
                ..response(1, 100)
            },
        );
    }
    run_for(&mut world, 2);
    let estimate = estimate(&world, 0, 1).unwrap();
    assert!((estimate.p50 - 400.0).abs() < 50.0, "{estimate:?}");
}

#[test]
fn implausible_reports_of_a_server_are_not_counted_and_the_server_is_logged_once() {
    let mut world = simulate_members(1, 2);
    for n in 0..100 {
        traffic(&mut world, &[0], 1, 1, 300.0);
        let tokens = if n % 2 == 0 { 0 } else { 1_000_000_000 };
        finish_response(
            &mut world,
            0,
            FinishedResponse {
                output_tokens: tokens,
                text_bytes: 900,
                server: "writer-2".into(),
                ..response(1, 0)
            },
        );
    }
    run_for(&mut world, 6);
    assert!((estimate(&world, 0, 1).unwrap().p50 - 300.0).abs() < 50.0);
    let node = world.places[0].node.as_ref().unwrap();
    assert_eq!(
        node.logs
            .iter()
            .filter(|l| l.contains("host=writer-2"))
            .count(),
        1,
        "{:?}",
        node.logs
    );
    assert_eq!(node.responses(), 100);
}

#[test]
fn invalid_messages_of_a_peer_change_nothing_and_the_peer_is_logged_once() {
    let mut world = simulate_members(2, 2);
    traffic(&mut world, &[0], 50, 1, 300.0);
    let before = responses(&world, 0);
    for payload in [
        vec![2, 0, 0],
        vec![],
        vec![1, 0, 1, 255],
        vec![1; 200],
        b"noise".to_vec(),
    ] {
        for frame in [false, true] {
            world.act(0, |m, now, out| {
                bitternlatch_simulation::Node::take(
                    m,
                    now,
                    1,
                    SimulatedMessage(frame, payload.clone()),
                    out,
                )
            });
        }
    }
    run_for(&mut world, 1);
    let node = world.places[0].node.as_ref().unwrap();
    assert_eq!(
        (
            node.responses(),
            node.logs
                .iter()
                .filter(|l| l.contains("peer 00000002"))
                .count()
        ),
        (before, 1)
    );
}

#[test]
fn ten_thousand_classes_and_tenants_stay_within_the_limits_and_still_get_an_estimate() {
    let mut world = simulate_members(2, 2);
    for n in 0..10_000 {
        let tokens = random_length(&mut world.net, 200.0, 0.5);
        let response = FinishedResponse {
            tenant: TenantKey(n),
            prompt_tokens: n,
            ..response(n + 1, tokens)
        };
        finish_response(&mut world, 0, response);
    }
    run_for(&mut world, 30);
    for i in 0..2 {
        let node = world.places[i].node.as_ref().unwrap();
        let windows = node.machine.learner().windows();
        assert!(windows.len() <= MAX_WINDOWS && node.curves.len() <= MAX_CURVES);
        let estimate = estimate(&world, i, 77_777).unwrap();
        assert!((estimate.p50 - 200.0).abs() < 60.0, "{i}: {estimate:?}");
    }
}

#[test]
fn tenant_with_most_responses_of_a_cell_shifts_its_median_by_at_most_its_limited_share() {
    let estimate_with = |flood: u32| {
        let mut world = simulate_members(1, 9);
        for n in 0..1000 {
            let tokens = random_length(&mut world.net, 200.0, 0.5);
            finish_response(
                &mut world,
                0,
                FinishedResponse {
                    tenant: TenantKey(1 + n % 8),
                    ..response(1, tokens)
                },
            );
            for _ in 0..flood {
                finish_response(
                    &mut world,
                    0,
                    FinishedResponse {
                        tenant: TenantKey(20),
                        ..response(1, 7000)
                    },
                );
            }
            let now = world.now();
            world.run(now + ms(50));
        }
        estimate(&world, 0, 1).unwrap()
    };
    let (alone, flooded) = (estimate_with(0), estimate_with(20));
    // One of nine tenants may have at most 1.25 ninths of a window, so the median lies between the 42nd and the 58th percentile
    // of the other tenants' lengths.
    assert!(
        flooded.p50 < alone.p50 * 1.15 && flooded.p50 > alone.p50 * 0.85,
        "{alone:?} {flooded:?}"
    );
}

#[test]
fn member_with_ten_times_as_many_responses_weighs_at_most_twice_the_mean_of_the_others() {
    let mut world = simulate_members(4, 13);
    for _ in 0..200 {
        (1..4).for_each(|i| finish_response(&mut world, i, response(1, 200)));
        (0..10).for_each(|_| finish_response(&mut world, 0, response(1, 5000)));
        let now = world.now();
        world.run(now + ms(50));
    }
    run_for(&mut world, 5);
    let estimate = estimate(&world, 1, 1).unwrap();
    // Member 0 has two fifths of the weight; without the limit it would have ten thirteenths.
    assert!(estimate.p50 < 300.0, "{estimate:?}");
}
