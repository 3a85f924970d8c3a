//! Members that learn together over a simulated network: loss, cuts, restarts, drift, liars, crowds.
use std::time::Duration;

use bitternlatch_output_length::simulated::*;
use bitternlatch_output_length::*;
use bitternlatch_quota_lease::{ServiceInput, StorageError};
use bitternlatch_simulation::{ms, World};

const SECOND: Duration = Duration::from_secs(1);

fn expected(world: &World<Member>, i: usize, class: u32) -> Option<Expected> {
    let curves = &world.places[i].node.as_ref()?.curves;
    Some(
        curves
            .find(ModelKey(1), ClassKey(class), 500)?
            .expected(8000),
    )
}

fn answers(world: &World<Member>, i: usize) -> u64 {
    world.places[i].node.as_ref().map_or(0, Member::answers)
}

/// Whether the first member is there, as another knows.
fn there(world: &mut World<Member>, at: usize, is: bool) {
    let there = world.places[at].node.as_mut().map(|n| &mut n.there);
    there.into_iter().for_each(|t| {
        if is {
            t.extend([0])
        } else {
            t.retain(|i| *i != 0)
        }
    });
}

/// Answers at some members, spread over a time.
fn traffic(world: &mut World<Member>, at: &[usize], count: usize, class: u32, median: f64) {
    for n in 0..count {
        let tokens = around(&mut world.net, median, 0.5);
        end(world, at[n % at.len()], answer(class, tokens));
        let now = world.now();
        world.run(now + ms(10));
    }
}

fn let_pass(world: &mut World<Member>, seconds: u32) {
    let now = world.now();
    world.run(now + seconds * SECOND);
}

#[test]
fn a_member_that_is_cut_off_while_all_learn_counts_nothing_twice_when_it_is_back() {
    for seed in 0..5 {
        let mut world = world(4, seed);
        (world.net.loss, world.net.twice) = (0.2, 0.3);
        traffic(&mut world, &[0, 1, 2, 3], 300, 1, 200.0);
        world.net.passes = Box::new(|from, to| (from == 0) == (to == 0));
        (1..4).for_each(|i| there(&mut world, i, false));
        traffic(&mut world, &[0, 1, 2, 3], 300, 1, 200.0);
        let_pass(&mut world, 5);
        assert!((0..4).all(|i| answers(&world, i) < 600));
        world.net.passes = Box::new(|_, _| true);
        (1..4).for_each(|i| there(&mut world, i, true));
        let_pass(&mut world, 60);
        let all: Vec<u64> = (0..4).map(|i| answers(&world, i)).collect();
        let longest = world
            .places
            .iter()
            .filter_map(|p| Some(p.node.as_ref()?.longest))
            .max();
        assert!(
            longest <= Some(bitternlatch_membership::MAX_PAYLOAD),
            "{longest:?}"
        );
        assert_eq!(all, [600; 4], "seed {seed}");
    }
}

#[test]
fn one_that_starts_anew_predicts_as_before_within_a_second_by_its_peers_and_counts_itself_once() {
    let mut world = world(3, 7);
    traffic(&mut world, &[0, 1, 2], 600, 1, 300.0);
    let_pass(&mut world, 5);
    let before = expected(&world, 0, 1).unwrap();
    world.kill(0);
    let now = world.now_at(0);
    world.start(0, Member::new(0, 2, 3, now));
    let_pass(&mut world, 1);
    let after = expected(&world, 0, 1).unwrap();
    assert!(
        (after.p50 - before.p50).abs() < 0.1 * before.p50,
        "{before:?} {after:?}"
    );
    assert_eq!(answers(&world, 0), 600);
    traffic(&mut world, &[0], 30, 1, 300.0);
    let_pass(&mut world, 15);
    assert_eq!(
        (0..3).map(|i| answers(&world, i)).collect::<Vec<_>>(),
        [630; 3]
    );
}

#[test]
fn a_snapshot_is_aged_and_a_broken_or_other_one_is_said_and_passed_over() {
    let mut world = world(1, 3);
    let give = |world: &mut World<Member>, given| {
        world.act(0, |m, now, out| m.give(now, given, out));
    };
    give(&mut world, ServiceInput::Loaded(Ok(vec![])));
    traffic(&mut world, &[0], 300, 1, 300.0);
    give(&mut world, ServiceInput::Leave);
    let kept = world.kill(0).and_then(|n| n.kept).expect("kept");
    let restart = |world: &mut World<Member>, found| {
        let now = world.now_at(0);
        world.start(0, Member::new(0, 1 + now.as_millis() as u64, 1, now));
        give(world, ServiceInput::Loaded(found));
        let_pass(world, 1);
        world.places[0]
            .node
            .as_ref()
            .map(|n| n.logs.join("\n"))
            .unwrap_or_default()
    };
    let whole = vec![(b"lengths".to_vec(), kept.clone())];
    let_pass(&mut world, 3600);
    let log = restart(&mut world, Ok(whole.clone()));
    assert!(log.contains("read back answers=300 age_s=36"), "{log}");
    let old = expected(&world, 0, 1).expect("aged, but known");
    assert!((old.p50 - 300.0).abs() < 60.0, "{old:?}");
    // A few new ones outweigh what is an hour old.
    traffic(&mut world, &[0], 60, 1, 900.0);
    let_pass(&mut world, 2);
    assert!(expected(&world, 0, 1).unwrap().p50 > 600.0);
    for bad in [
        kept[..kept.len() / 2].to_vec(),
        vec![],
        vec![9; 50],
        vec![1, 255, 255],
    ] {
        let log = restart(&mut world, Ok(vec![(b"lengths".to_vec(), bad)]));
        assert!(
            log.contains("begins with nothing") && expected(&world, 0, 1).is_none(),
            "{log}"
        );
    }
    let log = restart(&mut world, Err(StorageError::Io("torn".into())));
    assert!(log.contains("begins with nothing"), "{log}");
}

#[test]
fn members_with_wholly_different_traffic_know_each_others_and_a_class_never_seen_goes_by_all() {
    let mut world = world(2, 5);
    assert!(expected(&world, 0, 1).is_none());
    for _ in 0..150 {
        traffic(&mut world, &[0], 1, 1, 50.0);
        traffic(&mut world, &[1], 1, 2, 1500.0);
    }
    let_pass(&mut world, 15);
    for i in 0..2 {
        let (short, long) = (
            expected(&world, i, 1).unwrap(),
            expected(&world, i, 2).unwrap(),
        );
        assert!(short.p50 < 70.0 && long.p50 > 1100.0, "{short:?} {long:?}");
        let never = expected(&world, i, 99).unwrap();
        assert!(never.p50 > short.p50 && never.p50 < long.p50, "{never:?}");
    }
}

#[test]
fn lengths_that_double_within_a_minute_are_found_and_the_old_ones_dropped() {
    let mut world = world(3, 11);
    traffic(&mut world, &[0, 1, 2], 6000, 1, 200.0);
    assert!((expected(&world, 0, 1).unwrap().p50 - 200.0).abs() < 20.0);
    for step in 0..6 {
        let median = 200.0 * 2f64.powf(f64::from(step + 1) / 6.0);
        traffic(&mut world, &[0, 1, 2], 1000, 1, median);
    }
    traffic(&mut world, &[0, 1, 2], 2000, 1, 400.0);
    for i in 0..3 {
        let now = expected(&world, i, 1).unwrap();
        assert!((now.p50 - 400.0).abs() < 50.0, "{now:?}");
        let found = world.places[i]
            .node
            .as_ref()
            .map(|n| n.logs.join("\n"))
            .unwrap();
        assert!(
            found.contains("changes=1") || found.contains("changes=2"),
            "{found}"
        );
    }
}

#[test]
fn the_p90_covers_nine_of_ten_in_steady_bimodal_and_drifting_traffic() {
    for shape in 0..3 {
        let mut world = world(3, 20 + shape);
        let (mut asked, mut covered) = (0.0, 0.0);
        for n in 0..12_000 {
            let median = match shape {
                0 => 200.0,
                1 if world.net.draw() < 0.3 => 1500.0,
                1 => 60.0,
                _ => 200.0 * 4f64.powf(f64::from(n) / 12_000.0),
            };
            let (tokens, at) = (around(&mut world.net, median, 0.5), n as usize % 3);
            if let Some(told) = expected(&world, at, 1).filter(|_| n > 1000) {
                asked += 1.0;
                covered += f64::from(u8::from(f64::from(tokens) <= told.p90.round()));
            }
            end(&mut world, at, answer(1, tokens));
            let now = world.now();
            world.run(now + ms(20));
        }
        let share = covered / asked;
        assert!((0.88..=0.92).contains(&share), "{shape}: {share}");
    }
}

#[test]
fn answers_that_were_cut_short_do_not_count_as_short() {
    let mut world = world(1, 2);
    for n in 0..400 {
        traffic(&mut world, &[0], 1, 1, 400.0);
        let left = Ended {
            end: End::Left,
            ..answer(1, 10 + n % 40)
        };
        end(&mut world, 0, left);
        end(
            &mut world,
            0,
            Ended {
                end: End::Ceiling,
                ceiling: 100,
                ..answer(1, 100)
            },
        );
    }
    let_pass(&mut world, 2);
    let known = expected(&world, 0, 1).unwrap();
    assert!((known.p50 - 400.0).abs() < 50.0, "{known:?}");
}

#[test]
fn a_host_that_reports_nonsense_is_not_counted_and_named() {
    let mut world = world(1, 2);
    for n in 0..100 {
        traffic(&mut world, &[0], 1, 1, 300.0);
        let tokens = if n % 2 == 0 { 0 } else { 1_000_000_000 };
        end(
            &mut world,
            0,
            Ended {
                tokens,
                bytes: 900,
                host: "liar".into(),
                ..answer(1, 0)
            },
        );
    }
    let_pass(&mut world, 6);
    assert!((expected(&world, 0, 1).unwrap().p50 - 300.0).abs() < 50.0);
    let node = world.places[0].node.as_ref().unwrap();
    assert_eq!(
        node.logs.iter().filter(|l| l.contains("host=liar")).count(),
        1,
        "{:?}",
        node.logs
    );
    assert_eq!(node.answers(), 100);
}

#[test]
fn a_member_of_another_version_or_with_unsound_counts_is_named_once_and_changes_nothing() {
    let mut world = world(2, 2);
    traffic(&mut world, &[0], 50, 1, 300.0);
    let before = answers(&world, 0);
    for said in [
        vec![2, 0, 0],
        vec![],
        vec![1, 0, 1, 255],
        vec![1; 200],
        b"noise".to_vec(),
    ] {
        for frame in [false, true] {
            world.act(0, |m, now, out| {
                bitternlatch_simulation::Node::take(m, now, 1, Said(frame, said.clone()), out)
            });
        }
    }
    let_pass(&mut world, 1);
    let node = world.places[0].node.as_ref().unwrap();
    assert_eq!(
        (
            node.answers(),
            node.logs
                .iter()
                .filter(|l| l.contains("peer 00000002"))
                .count()
        ),
        (before, 1)
    );
}

#[test]
fn ten_thousand_classes_and_tenants_are_bounded_and_still_told_something() {
    let mut world = world(2, 2);
    for n in 0..10_000 {
        let tokens = around(&mut world.net, 200.0, 0.5);
        let one = Ended {
            tenant: TenantKey(n),
            prompt_tokens: n,
            ..answer(n + 1, tokens)
        };
        end(&mut world, 0, one);
    }
    let_pass(&mut world, 30);
    for i in 0..2 {
        let node = world.places[i].node.as_ref().unwrap();
        let windows = node.machine.learner().windows();
        assert!(windows.len() <= WINDOWS_MOST && node.curves.len() <= CURVES_MOST);
        let known = expected(&world, i, 77_777).unwrap();
        assert!((known.p50 - 200.0).abs() < 60.0, "{i}: {known:?}");
    }
}

#[test]
fn a_tenant_that_floods_a_cell_moves_the_others_estimates_within_its_part_only() {
    let known = |flood: u32| {
        let mut world = world(1, 9);
        for n in 0..1000 {
            let tokens = around(&mut world.net, 200.0, 0.5);
            end(
                &mut world,
                0,
                Ended {
                    tenant: TenantKey(1 + n % 8),
                    ..answer(1, tokens)
                },
            );
            for _ in 0..flood {
                end(
                    &mut world,
                    0,
                    Ended {
                        tenant: TenantKey(20),
                        ..answer(1, 7000)
                    },
                );
            }
            let now = world.now();
            world.run(now + ms(50));
        }
        expected(&world, 0, 1).unwrap()
    };
    let (alone, flooded) = (known(0), known(20));
    // Nine tenants: at most 1.25 ninths are one tenant's, so the median lies between the others' 42nd and 58th hundredth.
    assert!(
        flooded.p50 < alone.p50 * 1.15 && flooded.p50 > alone.p50 * 0.85,
        "{alone:?} {flooded:?}"
    );
}

#[test]
fn one_that_tells_ten_times_as_much_as_the_others_weighs_twice_their_mean_at_the_most() {
    let mut world = world(4, 13);
    for _ in 0..200 {
        (1..4).for_each(|i| end(&mut world, i, answer(1, 200)));
        (0..10).for_each(|_| end(&mut world, 0, answer(1, 5000)));
        let now = world.now();
        world.run(now + ms(50));
    }
    let_pass(&mut world, 5);
    let known = expected(&world, 1, 1).unwrap();
    // Two fifths of the weight are its own in place of ten thirteenths.
    assert!(known.p50 < 300.0, "{known:?}");
}
