//! Property tests: under random inputs, block accounting stays consistent and every request ends.

use std::collections::BTreeSet;

use proptest::prelude::*;

use crate::memory::Memory;
use crate::{Constants, Engine, Id, Input, Output, Prompt, Request, Work};

#[derive(Clone, Debug)]
enum Action {
    Submit(Work, u64, u64),
    Cancel(usize),
    Release(usize),
    Wait(f64),
    Other(Input),
}

fn action() -> impl Strategy<Value = Action> {
    let work = prop_oneof![
        Just(Work::Read),
        (0u32..60).prop_map(|answer| Work::ReadAndWrite { answer }),
        (0u32..60).prop_map(|answer| Work::FetchAndWrite { answer }),
    ];
    prop_oneof![
        8 => (work, 0u64..90, 0u64..3).prop_map(|(work, tokens, prefix)| Action::Submit(work, tokens, prefix)),
        1 => (0usize..40).prop_map(Action::Cancel),
        1 => (0usize..40).prop_map(Action::Release),
        6 => (0.0f64..0.3).prop_map(Action::Wait),
        1 => prop_oneof![
            Just(Input::Flush),
            Just(Input::LoseStates),
            (0.0f64..20.0).prop_map(Input::PauseUntil),
            (0.2f64..4.0).prop_map(Input::Slowness),
            (0.0f64..1.0).prop_map(Input::FetchDelay),
        ].prop_map(Action::Other),
    ]
}

fn constants() -> impl Strategy<Value = Constants> {
    (
        1usize..6,
        1u64..9,
        1usize..3,
        0u64..400,
        0.0f64..0.2,
        proptest::option::of(0.5f64..5.0),
    )
        .prop_map(|(slots, block, reads, cache, spare, hold_s)| Constants {
            slots,
            queue: 8,
            memory_tokens: 200,
            block_tokens: block,
            cache_tokens: cache,
            spare,
            read_tokens_a_step: 16,
            reads_a_step: reads,
            read_tokens_per_s: 400.0,
            transfer_tokens_per_s: 2_000.0,
            sequence_s: 0.001,
            hold_s,
            ..Constants::default()
        })
}

struct CheckedEngine {
    engine: Engine,
    open: BTreeSet<Id>,
    preempted: u64,
}

impl CheckedEngine {
    fn step(&mut self, now: f64, input: Input) {
        let (mut out, mut fetched) = (Vec::new(), Vec::new());
        self.engine.step(now, input, &mut out);
        for output in out {
            match output {
                Output::Token { id, last: true, .. }
                | Output::Read { id, .. }
                | Output::Refused { id, why: _ } => {
                    assert!(self.open.remove(&id), "ended twice: {id:?}")
                }
                Output::Token { id, .. } => assert!(self.open.contains(&id)),
                Output::Preempted { .. } => self.preempted += 1,
                Output::Fetched { id } => fetched.push(id),
                Output::Expired { id } => assert!(!self.open.contains(&id)),
            }
        }
        let (facts, engine) = (self.engine.facts(), &self.engine);
        let held = Memory::recount(engine.sequences.values().map(|s| &s.allocation));
        assert_eq!(
            facts.used_blocks, held,
            "blocks in use are those that somebody refers to"
        );
        assert!(facts.used_blocks <= facts.memory_blocks, "{facts:?}");
        let kept = (engine.constants.cache_tokens / engine.constants.block_tokens) as usize;
        assert!(
            facts.cached_blocks <= kept.saturating_sub(facts.used_blocks),
            "{facts:?}"
        );
        assert!(facts.slots_used <= engine.constants.slots);
        assert!(engine.prefilling_count() <= engine.constants.reads_a_step);
        assert_eq!(facts.preemptions, self.preempted);
        assert_eq!(
            facts.running + facts.waiting + facts.held,
            engine.sequences.len()
        );
        fetched
            .into_iter()
            .for_each(|id| self.step(now, Input::Taken(id)));
    }

    /// Steps the engine until no event is scheduled.
    fn drain(&mut self) {
        for _ in 0..200_000 {
            let Some(at) = self.engine.next_at() else {
                return;
            };
            self.step(at, Input::Time);
        }
        panic!("it does not come to an end: {:?}", self.engine.facts());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    #[test]
    fn block_accounting_is_consistent_and_every_request_ends(
        constants in constants(), actions in proptest::collection::vec(action(), 1..120)
    ) {
        let mut checked =
            CheckedEngine { engine: Engine::new(constants).expect("constants"), open: BTreeSet::new(), preempted: 0 };
        let (mut now, mut ids) = (0.0, Vec::new());
        for action in actions {
            match action {
                Action::Submit(work, tokens, prefix) => {
                    let id = Id(ids.len() as u64);
                    ids.push(id);
                    checked.open.insert(id);
                    // Prompts with the same `prefix` number share their first blocks.
                    let marks = (0..tokens / constants.block_tokens).map(|n| prefix * 1000 + n).collect();
                    checked.step(now, Input::Submit(Request { id, prompt: Prompt { tokens, marks }, work }));
                }
                Action::Cancel(_) | Action::Release(_) if ids.is_empty() => {}
                Action::Cancel(n) => {
                    let id = ids[n % ids.len()];
                    // Outputs due before the cancellation are processed first.
                    checked.step(now, Input::Time);
                    checked.step(now, Input::Cancel(id));
                    checked.open.remove(&id);
                }
                Action::Release(n) => checked.step(now, Input::Release(ids[n % ids.len()])),
                Action::Wait(s) => {
                    now += s;
                    checked.step(now, Input::Time);
                }
                Action::Other(input) => checked.step(now, input),
            }
        }
        checked.drain();
        // Held states may have kept queued requests out of memory; releasing them lets those requests run.
        for id in ids {
            let at = checked.engine.now;
            checked.step(at, Input::Release(id));
            checked.drain();
        }
        prop_assert!(checked.open.is_empty(), "never ended: {:?}", checked.open);
        prop_assert!(checked.engine.is_empty() && checked.engine.facts().used_blocks == 0);
    }
}
