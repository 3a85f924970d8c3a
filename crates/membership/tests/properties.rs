//! Properties under arbitrary faults of network and processes: members agree once the faults end, and at most one side of a
//! partition takes itself for a majority.

use bitternlatch_membership::simulated::*;
use bitternlatch_membership::*;
use proptest::prelude::*;

const MEMBERS: usize = 5;

#[derive(Clone, Debug)]
enum Step {
    /// Sets the partition (bit i is the side of member i), the loss and the duplication, both in tenths.
    Network(u8, u8, u8),
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let member = 0..MEMBERS;
    prop_oneof![
        (0u8..32, 0u8..6, 0u8..5).prop_map(|(side, lost, twice)| Step::Network(side, lost, twice)),
        member.clone().prop_map(Step::Kill),
        member.clone().prop_map(Step::Start),
        member.clone().prop_map(Step::Pause),
        member.prop_map(Step::Resume),
        (100u64..6_000).prop_map(Step::Run),
        (100u64..6_000).prop_map(Step::Run),
    ]
}

fn apply(world: &mut World, step: &Step) {
    match *step {
        Step::Network(side, lost, twice) => {
            world.net.passes = Box::new(move |from, to| side >> from & 1 == side >> to & 1);
            (world.net.loss, world.net.twice) = (f64::from(lost) / 10.0, f64::from(twice) / 10.0);
        }
        Step::Kill(i) => world.kill(i),
        Step::Start(i) => world.start(i),
        Step::Pause(i) => world.nodes[i].paused = true,
        Step::Resume(i) => world.resume(i),
        Step::Run(ms_) => world.run(world.net.now + ms(ms_)),
    }
}

/// Ends all faults, resumes paused processes and starts those that are not running.
fn heal(world: &mut World) {
    world.net.passes = Box::new(|_, _| true);
    (world.net.loss, world.net.twice) = (0.0, 0.0);
    for i in 0..MEMBERS {
        match world.nodes[i].member.is_some() {
            true => world.resume(i),
            false => world.start(i),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn members_agree_after_faults_end(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..25)) {
        let mut world = World::new(MEMBERS, seed);
        steps.iter().for_each(|s| apply(&mut world, s));
        heal(&mut world);
        let healed = world.net.now;
        world.run(healed + ms(30_000));
        let states: Vec<_> = (0..MEMBERS).map(|i| world.quorum_state(i)).collect();
        prop_assert!(world.all_see_whole_roster(), "{:?}", states);
        for of in 0..MEMBERS {
            for at in (0..MEMBERS).filter(|at| *at != of) {
                prop_assert_eq!(world.state(of, at), Some(State::Alive));
            }
        }
        // A healthy cluster reports no further changes.
        let before = world.events.len();
        world.run(healed + ms(60_000));
        prop_assert_eq!(&world.events[before..], &[]);
    }

    #[test]
    fn at_most_one_partition_is_a_majority(
        seed in any::<u64>(),
        side in 1u8..31,
        steps in prop::collection::vec(step(), 0..10),
    ) {
        let mut world = World::new(MEMBERS, seed);
        steps.iter().for_each(|s| apply(&mut world, s));
        heal(&mut world);
        world.net.passes = Box::new(move |from, to| side >> from & 1 == side >> to & 1);
        world.run(world.net.now + ms(10_000));
        let majority = |i: &usize| world.quorum_state(*i).is_some_and(|s| s >= QuorumState::Majority);
        let sides: std::collections::BTreeSet<u8> = (0..MEMBERS).filter(majority).map(|i| side >> i & 1).collect();
        prop_assert!(sides.len() <= 1, "{:?}", sides);
    }
}
