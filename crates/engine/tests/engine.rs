//! Tests of the engine model: step times against the documented formula, and behavior at the limits of slots, queue and memory.

use bitternlatch_engine::{
    Constants, Engine, EngineError, Id, Input, Output, Prompt, Request, Work,
};

/// An engine with all its outputs and the times, in seconds, at which they were emitted.
struct RecordedEngine {
    engine: Engine,
    outputs: Vec<(f64, Output)>,
}

fn recorded(constants: Constants) -> RecordedEngine {
    RecordedEngine {
        engine: Engine::new(constants).expect("constants"),
        outputs: Vec::new(),
    }
}

fn small() -> Constants {
    Constants {
        sequence_s: 0.001,
        memory_tokens: 64_000,
        ..Constants::default()
    }
}

fn prompt(id: u64, tokens: u64) -> Prompt {
    Prompt {
        tokens,
        marks: (0..tokens / 64).map(|n| id * 1_000_000 + n).collect(),
    }
}

impl RecordedEngine {
    fn step(&mut self, at: f64, input: Input) {
        let mut out = Vec::new();
        self.engine.step(at, input, &mut out);
        for output in out {
            self.outputs.push((at, output.clone()));
            if let Output::Fetched { id } = output {
                self.step(at, Input::Taken(id));
            }
        }
    }

    fn submit(&mut self, at: f64, id: u64, tokens: u64, work: Work) {
        self.step(
            at,
            Input::Submit(Request {
                id: Id(id),
                prompt: prompt(id, tokens),
                work,
            }),
        );
    }

    /// Steps the engine at each time it asks for, up to `end`.
    fn run_until(&mut self, end: f64) {
        while let Some(at) = self.engine.next_at().filter(|at| *at <= end) {
            self.step(at, Input::Time);
        }
    }

    fn output_at(&self, fits: impl Fn(&Output) -> bool) -> f64 {
        self.outputs
            .iter()
            .find(|(_, o)| fits(o))
            .expect("it never came")
            .0
    }

    fn finished_at(&self, of: u64) -> f64 {
        self.output_at(|o| matches!(o, Output::Token { id, last: true, .. } if *id == Id(of)))
    }

    fn prefilled_at(&self, of: u64) -> f64 {
        self.output_at(|o| matches!(o, Output::Read { id, .. } if *id == Id(of)))
    }

    fn refused(&self, of: u64) -> Option<EngineError> {
        self.outputs.iter().find_map(|(_, o)| match o {
            Output::Refused { id, why } if *id == Id(of) => Some(*why),
            _ => None,
        })
    }

    fn preempted(&self) -> Vec<u64> {
        let one = |(_, o): &(f64, Output)| match o {
            Output::Preempted { id, .. } => Some(id.0),
            _ => None,
        };
        self.outputs.iter().filter_map(one).collect()
    }
}

fn near(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-9, "{a} and not {b}");
}

#[test]
fn single_request_follows_step_time_formula() {
    let mut one = recorded(small());
    // Chunked prefill of 1,000 tokens at 18,000 tokens/s. The first output token comes at the end of prefill; 9 decode steps of 21 ms follow.
    one.submit(0.0, 1, 1_000, Work::ReadAndWrite { answer: 10 });
    one.run_until(10.0);
    near(one.finished_at(1), 1_000.0 / 18_000.0 + 9.0 * 0.021);
    // A KV cache fetch at 250,000 tokens/s; the first output token comes at the end of the fetch.
    one.submit(10.0, 2, 5_000, Work::FetchAndWrite { answer: 10 });
    one.run_until(20.0);
    near(one.finished_at(2), 10.0 + 0.02 + 9.0 * 0.021);
    one.submit(20.0, 3, 900, Work::Read);
    one.run_until(30.0);
    near(one.prefilled_at(3), 20.05);
    assert!(one.engine.holds(Id(3)) && one.engine.facts().used_blocks == 15);
    one.step(30.0, Input::Release(Id(3)));
    assert!(one.engine.is_empty());
}

#[test]
fn batched_decode_steps_take_sequence_s_per_sequence() {
    let mut all = recorded(small());
    // All KV cache fetches end during a pause, so that all requests start to decode together.
    (0..16).for_each(|id| all.submit(0.0, id, 1_000, Work::FetchAndWrite { answer: 11 }));
    all.step(0.001, Input::PauseUntil(1.0));
    all.run_until(20.0);
    // The first request to be fetched starts a step alone; the others join the batch in the next step.
    near(
        all.finished_at(0),
        1.0 + 0.021 + 9.0 * (0.02 + 16.0 * 0.001),
    );
    near(
        all.finished_at(9),
        1.0 + 0.021 + 9.0 * (0.02 + 16.0 * 0.001) + 0.02 + 15.0 * 0.001,
    );
}

#[test]
fn full_batch_decode_rate_matches_formula() {
    let mut full = recorded(Constants {
        slots: 8,
        queue: 1_000,
        ..small()
    });
    (0..200).for_each(|id| full.submit(0.0, id, 64, Work::FetchAndWrite { answer: 101 }));
    full.run_until(100.0);
    let tokens = full
        .outputs
        .iter()
        .filter(|(at, o)| *at > 5.0 && *at <= 45.0 && matches!(o, Output::Token { .. }));
    let (rate, says) = (tokens.count() as f64 / 40.0, 8.0 / (0.02 + 8.0 * 0.001));
    // The tolerance covers two effects: one of the 101 tokens of a request comes with the fetch and not from a decode step, and
    // a slot is idle for most of a step between two requests.
    assert!(
        (rate / says - 1.0).abs() < 0.02,
        "{rate} a second and not {says}"
    );
}

#[test]
fn poisson_prefills_wait_as_in_an_md1_queue() {
    let mut reader = recorded(Constants {
        queue: 10_000,
        memory_tokens: 6_400_000,
        ..small()
    });
    // The prefill of 900 tokens takes 50 ms. Poisson arrivals at 14 requests/s give a load of 0.7; the expected mean wait is that
    // of an M/D/1 queue.
    let (service, load, count) = (0.05, 0.7, 60_000);
    let (mut at, mut seed, mut arrivals) = (0.0, 7u64, Vec::new());
    let mut next = || {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (seed >> 11) as f64 / (1u64 << 53) as f64
    };
    let mut waited = 0.0;
    for id in 0..count {
        at += -(1.0 - next()).ln() * service / load;
        reader.run_until(at);
        arrivals.push(at);
        reader.step(
            at,
            Input::Submit(Request {
                id: Id(id),
                prompt: Prompt {
                    tokens: 900,
                    marks: vec![],
                },
                work: Work::Read,
            }),
        );
        for (done, output) in std::mem::take(&mut reader.outputs) {
            if let Output::Read { id, .. } = output {
                waited += done - arrivals[id.0 as usize] - service;
                reader
                    .engine
                    .step(done, Input::Release(id), &mut Vec::new());
            }
        }
    }
    let (mean, says) = (waited / count as f64, load * service / (2.0 * (1.0 - load)));
    assert!(
        (mean / says - 1.0).abs() < 0.05,
        "{mean} s in the mean and not {says}"
    );
}

#[test]
fn prefill_lengthens_decode_step_by_its_tokens() {
    let mut both = recorded(small());
    both.submit(0.0, 1, 64, Work::FetchAndWrite { answer: 3 });
    let first = 64.0 / 250_000.0;
    both.run_until(first);
    both.submit(first + 0.001, 2, 360, Work::ReadAndWrite { answer: 1 });
    both.run_until(1.0);
    // The running step keeps its duration; the next step prefills 360 tokens in 20 ms in addition to its decoding.
    near(both.finished_at(1), first + 0.021 + 0.041);
    near(both.finished_at(2), both.finished_at(1));
}

#[test]
fn latest_admitted_is_preempted_recomputed_and_finished() {
    let tight = Constants {
        slots: 2,
        memory_tokens: 20 * 64,
        cache_tokens: 0,
        spare: 0.0,
        ..small()
    };
    let mut tight = recorded(tight);
    // Each request needs 8 blocks at first and 12 at the end, and the memory has 20 blocks: the second request is preempted.
    (1..=2)
        .for_each(|id| tight.submit(0.0, id, 8 * 64 - 10, Work::FetchAndWrite { answer: 64 * 4 }));
    tight.submit(0.0, 3, 100, Work::FetchAndWrite { answer: 9 });
    tight.run_until(60.0);
    assert_eq!(tight.preempted(), [2]);
    assert!(
        tight.finished_at(1) < tight.finished_at(2),
        "the one that was let in first goes on"
    );
    let third = tight.output_at(|o| {
        matches!(
            o,
            Output::Token {
                id: Id(3),
                number: 1,
                ..
            }
        )
    });
    assert!(
        third > tight.finished_at(1),
        "a short one that waits does not pass one that was thrown out"
    );
    let facts = tight.engine.facts();
    assert_eq!(
        (facts.preemptions, facts.used_blocks, facts.waiting),
        (1, 0, 0)
    );
    let read_again = facts.read_again;
    assert!(
        (8 * 64..8 * 64 + 256).contains(&read_again),
        "prompt and answer so far: {read_again}"
    );
    let numbers = tight.outputs.iter().filter_map(|(_, o)| match o {
        Output::Token {
            id: Id(2), number, ..
        } => Some(*number),
        _ => None,
    });
    assert!(numbers.eq(1..=256), "each token is given once");
}

#[test]
fn prefix_cache_shares_prompts_and_evicts_least_recently_used() {
    let mut one = recorded(Constants {
        memory_tokens: 10 * 64,
        cache_tokens: 10 * 64,
        ..small()
    });
    let read = |one: &mut RecordedEngine, at: f64, id: u64, of: u64, tokens: u64| {
        one.step(
            at,
            Input::Submit(Request {
                id: Id(id),
                prompt: prompt(of, tokens),
                work: Work::Read,
            }),
        );
        one.run_until(at + 1.0);
        let cached = one.outputs.iter().find_map(|(_, o)| match o {
            Output::Read { id: of, cached } if *of == Id(id) => Some(*cached),
            _ => None,
        });
        one.step(at + 1.0, Input::Release(Id(id)));
        cached.expect("a read")
    };
    assert_eq!(read(&mut one, 0.0, 1, 1, 256 + 10), 0);
    assert_eq!(read(&mut one, 2.0, 2, 1, 256 + 10), 256);
    assert_eq!(read(&mut one, 4.0, 3, 2, 320), 0);
    // The cache holds 4 blocks of the first prompt and 5 of the second; 3 new blocks evict the last blocks of the first prompt.
    assert_eq!(read(&mut one, 6.0, 4, 3, 192), 0);
    assert_eq!(read(&mut one, 8.0, 5, 1, 128 + 1), 128);
    assert_eq!(one.engine.known_tokens(&prompt(1, 256)), 128);
    one.step(10.0, Input::Flush);
    assert_eq!(read(&mut one, 10.0, 6, 2, 320), 0);
    // Two concurrent requests with the same prompt share its blocks.
    one.submit(20.0, 7, 256, Work::Read);
    one.step(
        20.0,
        Input::Submit(Request {
            id: Id(8),
            prompt: prompt(7, 256),
            work: Work::Read,
        }),
    );
    one.run_until(22.0);
    assert_eq!(
        (one.engine.facts().held, one.engine.facts().used_blocks),
        (2, 4)
    );
}

#[test]
fn requests_that_do_not_fit_are_refused_with_reason() {
    let mut one = recorded(Constants {
        slots: 1,
        queue: 1,
        memory_tokens: 640,
        hold_s: Some(3.0),
        ..small()
    });
    one.submit(0.0, 1, 700, Work::Read);
    one.submit(0.0, 2, 100, Work::FetchAndWrite { answer: 600 });
    one.submit(0.0, 3, 400, Work::Read);
    one.submit(0.0, 3, 10, Work::Read);
    one.submit(0.0, 4, 10, Work::Read);
    one.submit(0.0, 5, 300, Work::FetchAndWrite { answer: 1 });
    let causes = [1, 2, 3, 4, 5].map(|id| one.refused(id));
    use EngineError::*;
    assert_eq!(
        causes,
        [
            Some(NeverFits),
            Some(NeverFits),
            Some(Twice),
            Some(QueueFull),
            Some(MemoryFull)
        ]
    );
    one.run_until(5.0);
    near(
        one.output_at(|o| *o == Output::Expired { id: Id(3) }),
        400.0 / 18_000.0 + 3.0,
    );
    one.submit(5.0, 6, 100, Work::FetchAndWrite { answer: 5 });
    one.step(5.0, Input::Drain);
    one.submit(5.0, 7, 100, Work::Read);
    one.run_until(6.0);
    assert_eq!(one.refused(7), Some(Draining));
    assert!(
        one.finished_at(6) > 5.0 && one.engine.is_empty(),
        "what is here when it drains is ended"
    );
    assert_eq!(
        Engine::new(Constants {
            read_tokens_per_s: f64::NAN,
            ..small()
        })
        .err(),
        Some(Unworkable)
    );
    let all = [
        Unworkable, QueueFull, MemoryFull, NeverFits, Draining, Twice,
    ];
    let advice: std::collections::BTreeSet<&str> = all.iter().map(|e| e.advice()).collect();
    assert_eq!(advice.len(), all.len(), "each has advice of its own");
}

#[test]
fn slowness_pauses_fetch_delays_and_cancellation() {
    let mut one = recorded(small());
    one.step(0.0, Input::Slowness(2.0));
    one.submit(0.0, 1, 900, Work::Read);
    one.run_until(1.0);
    near(one.prefilled_at(1), 0.1);
    one.step(1.0, Input::Slowness(f64::NAN));
    one.step(1.0, Input::Slowness(1.0));
    one.submit(1.0, 2, 900, Work::Read);
    one.step(1.01, Input::PauseUntil(2.0));
    one.run_until(3.0);
    near(one.prefilled_at(2), 2.0 + (900.0 - 512.0) / 18_000.0);
    one.step(3.0, Input::FetchDelay(5.0));
    one.submit(3.0, 3, 250, Work::FetchAndWrite { answer: 1 });
    one.run_until(9.0);
    near(one.finished_at(3), 8.001);
    // A running step keeps its duration after one of its requests is cancelled, and emits no token for that request.
    one.submit(9.0, 4, 500, Work::ReadAndWrite { answer: 9 });
    one.step(9.01, Input::Cancel(Id(4)));
    one.submit(9.01, 5, 360, Work::Read);
    one.run_until(10.0);
    near(one.prefilled_at(5), 9.0 + 860.0 / 18_000.0);
    assert!(!one
        .outputs
        .iter()
        .any(|(_, o)| matches!(o, Output::Token { id: Id(4), .. })));
    assert_eq!(one.engine.facts().held, 3);
    one.step(10.0, Input::LoseStates);
    assert!(one.engine.is_empty());
}
