//! An engine follows its formula, and does at its bounds what it says.

use bitternlatch_engine::{
    Constants, Engine, EngineError, Id, Input, Output, Prompt, Request, Work,
};

/// What came, and when.
struct Played {
    engine: Engine,
    came: Vec<(f64, Output)>,
}

fn played(constants: Constants) -> Played {
    Played {
        engine: Engine::new(constants).expect("constants"),
        came: Vec::new(),
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

impl Played {
    fn tell(&mut self, at: f64, input: Input) {
        let mut out = Vec::new();
        self.engine.step(at, input, &mut out);
        for said in out {
            self.came.push((at, said.clone()));
            if let Output::Fetched { id } = said {
                self.tell(at, Input::Taken(id));
            }
        }
    }

    fn submit(&mut self, at: f64, id: u64, tokens: u64, work: Work) {
        self.tell(
            at,
            Input::Submit(Request {
                id: Id(id),
                prompt: prompt(id, tokens),
                work,
            }),
        );
    }

    /// Steps it when it wants to be stepped, until a time.
    fn until(&mut self, end: f64) {
        while let Some(at) = self.engine.next_at().filter(|at| *at <= end) {
            self.tell(at, Input::Time);
        }
    }

    fn at(&self, fits: impl Fn(&Output) -> bool) -> f64 {
        self.came
            .iter()
            .find(|(_, o)| fits(o))
            .expect("it never came")
            .0
    }

    fn done(&self, of: u64) -> f64 {
        self.at(|o| matches!(o, Output::Token { id, last: true, .. } if *id == Id(of)))
    }

    fn read(&self, of: u64) -> f64 {
        self.at(|o| matches!(o, Output::Read { id, .. } if *id == Id(of)))
    }

    fn refused(&self, of: u64) -> Option<EngineError> {
        self.came.iter().find_map(|(_, o)| match o {
            Output::Refused { id, why } if *id == Id(of) => Some(*why),
            _ => None,
        })
    }

    fn preempted(&self) -> Vec<u64> {
        let one = |(_, o): &(f64, Output)| match o {
            Output::Preempted { id, .. } => Some(id.0),
            _ => None,
        };
        self.came.iter().filter_map(one).collect()
    }
}

fn near(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-9, "{a} and not {b}");
}

#[test]
fn one_alone_takes_what_the_formula_says() {
    let mut one = played(small());
    // A read in pieces: 1,000 tokens at 18,000 a second. The answer's first token comes with its end, 9 steps of 21 ms follow.
    one.submit(0.0, 1, 1_000, Work::ReadAndWrite { answer: 10 });
    one.until(10.0);
    near(one.done(1), 1_000.0 / 18_000.0 + 9.0 * 0.021);
    // A fetch at 250,000 tokens a second, the first token with it.
    one.submit(10.0, 2, 5_000, Work::FetchAndWrite { answer: 10 });
    one.until(20.0);
    near(one.done(2), 10.0 + 0.02 + 9.0 * 0.021);
    one.submit(20.0, 3, 900, Work::Read);
    one.until(30.0);
    near(one.read(3), 20.05);
    assert!(one.engine.holds(Id(3)) && one.engine.facts().used_blocks == 15);
    one.tell(30.0, Input::Release(Id(3)));
    assert!(one.engine.is_empty());
}

#[test]
fn a_batch_shares_its_steps_and_each_of_it_costs() {
    let mut all = played(small());
    // Fetched while a pause lasts, so that all begin together.
    (0..16).for_each(|id| all.submit(0.0, id, 1_000, Work::FetchAndWrite { answer: 11 }));
    all.tell(0.001, Input::PauseUntil(1.0));
    all.until(20.0);
    // The first one to come begins a step alone.
    near(all.done(0), 1.0 + 0.021 + 9.0 * (0.02 + 16.0 * 0.001));
    near(
        all.done(9),
        1.0 + 0.021 + 9.0 * (0.02 + 16.0 * 0.001) + 0.02 + 15.0 * 0.001,
    );
}

#[test]
fn a_full_batch_writes_as_fast_as_the_formula_and_no_faster() {
    let mut full = played(Constants {
        slots: 8,
        queue: 1_000,
        ..small()
    });
    (0..200).for_each(|id| full.submit(0.0, id, 64, Work::FetchAndWrite { answer: 101 }));
    full.until(100.0);
    let tokens = full
        .came
        .iter()
        .filter(|(at, o)| *at > 5.0 && *at <= 45.0 && matches!(o, Output::Token { .. }));
    let (rate, says) = (tokens.count() as f64 / 40.0, 8.0 / (0.02 + 8.0 * 0.001));
    // Each of 101 tokens comes with a fetch and not from a step; between two answers a slot stands still for most of a step.
    assert!(
        (rate / says - 1.0).abs() < 0.02,
        "{rate} a second and not {says}"
    );
}

#[test]
fn reads_that_come_by_chance_wait_as_one_server_makes_them() {
    let mut reader = played(Constants {
        queue: 10_000,
        memory_tokens: 6_400_000,
        ..small()
    });
    // 900 tokens are 50 ms; 14 a second come by chance: a load of 0.7.
    let (service, load, count) = (0.05, 0.7, 60_000);
    let (mut at, mut seed, mut came) = (0.0, 7u64, Vec::new());
    let mut next = || {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (seed >> 11) as f64 / (1u64 << 53) as f64
    };
    let mut waited = 0.0;
    for id in 0..count {
        at += -(1.0 - next()).ln() * service / load;
        reader.until(at);
        came.push(at);
        reader.tell(
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
        for (done, said) in std::mem::take(&mut reader.came) {
            if let Output::Read { id, .. } = said {
                waited += done - came[id.0 as usize] - service;
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
fn a_read_slows_those_that_write_by_its_tokens() {
    let mut both = played(small());
    both.submit(0.0, 1, 64, Work::FetchAndWrite { answer: 3 });
    let first = 64.0 / 250_000.0;
    both.until(first);
    both.submit(first + 0.001, 2, 360, Work::ReadAndWrite { answer: 1 });
    both.until(1.0);
    // The step under way is not touched, the next one reads 360 tokens in 20 ms beside its writing.
    near(both.done(1), first + 0.021 + 0.041);
    near(both.done(2), both.done(1));
}

#[test]
fn the_latest_is_thrown_out_reads_again_and_ends() {
    let tight = Constants {
        slots: 2,
        memory_tokens: 20 * 64,
        cache_tokens: 0,
        spare: 0.0,
        ..small()
    };
    let mut tight = played(tight);
    // 8 blocks each at first, 4 more each at the end, and 20 are there: the second is thrown out.
    (1..=2)
        .for_each(|id| tight.submit(0.0, id, 8 * 64 - 10, Work::FetchAndWrite { answer: 64 * 4 }));
    tight.submit(0.0, 3, 100, Work::FetchAndWrite { answer: 9 });
    tight.until(60.0);
    assert_eq!(tight.preempted(), [2]);
    assert!(
        tight.done(1) < tight.done(2),
        "the one that was let in first goes on"
    );
    let third = tight.at(|o| {
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
        third > tight.done(1),
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
    let numbers = tight.came.iter().filter_map(|(_, o)| match o {
        Output::Token {
            id: Id(2), number, ..
        } => Some(*number),
        _ => None,
    });
    assert!(numbers.eq(1..=256), "each token is given once");
}

#[test]
fn prompts_that_begin_alike_are_read_once_and_the_longest_unused_goes_first() {
    let mut one = played(Constants {
        memory_tokens: 10 * 64,
        cache_tokens: 10 * 64,
        ..small()
    });
    let read = |one: &mut Played, at: f64, id: u64, of: u64, tokens: u64| {
        one.tell(
            at,
            Input::Submit(Request {
                id: Id(id),
                prompt: prompt(of, tokens),
                work: Work::Read,
            }),
        );
        one.until(at + 1.0);
        let cached = one.came.iter().find_map(|(_, o)| match o {
            Output::Read { id: of, cached } if *of == Id(id) => Some(*cached),
            _ => None,
        });
        one.tell(at + 1.0, Input::Release(Id(id)));
        cached.expect("a read")
    };
    assert_eq!(read(&mut one, 0.0, 1, 1, 256 + 10), 0);
    assert_eq!(read(&mut one, 2.0, 2, 1, 256 + 10), 256);
    assert_eq!(read(&mut one, 4.0, 3, 2, 320), 0);
    // 4 blocks of the first and 5 of the second are kept; 3 new ones push out the end of the first.
    assert_eq!(read(&mut one, 6.0, 4, 3, 192), 0);
    assert_eq!(read(&mut one, 8.0, 5, 1, 128 + 1), 128);
    assert_eq!(one.engine.known_tokens(&prompt(1, 256)), 128);
    one.tell(10.0, Input::Flush);
    assert_eq!(read(&mut one, 10.0, 6, 2, 320), 0);
    // Two at once that begin alike hold their common blocks once.
    one.submit(20.0, 7, 256, Work::Read);
    one.tell(
        20.0,
        Input::Submit(Request {
            id: Id(8),
            prompt: prompt(7, 256),
            work: Work::Read,
        }),
    );
    one.until(22.0);
    assert_eq!(
        (one.engine.facts().held, one.engine.facts().used_blocks),
        (2, 4)
    );
}

#[test]
fn what_does_not_fit_is_refused_with_its_cause() {
    let mut one = played(Constants {
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
    one.until(5.0);
    near(
        one.at(|o| *o == Output::Expired { id: Id(3) }),
        400.0 / 18_000.0 + 3.0,
    );
    one.submit(5.0, 6, 100, Work::FetchAndWrite { answer: 5 });
    one.tell(5.0, Input::Drain);
    one.submit(5.0, 7, 100, Work::Read);
    one.until(6.0);
    assert_eq!(one.refused(7), Some(Draining));
    assert!(
        one.done(6) > 5.0 && one.engine.is_empty(),
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
fn slow_ones_pauses_late_fetches_and_cancelled_ones() {
    let mut one = played(small());
    one.tell(0.0, Input::Slowness(2.0));
    one.submit(0.0, 1, 900, Work::Read);
    one.until(1.0);
    near(one.read(1), 0.1);
    one.tell(1.0, Input::Slowness(f64::NAN));
    one.tell(1.0, Input::Slowness(1.0));
    one.submit(1.0, 2, 900, Work::Read);
    one.tell(1.01, Input::PauseUntil(2.0));
    one.until(3.0);
    near(one.read(2), 2.0 + (900.0 - 512.0) / 18_000.0);
    one.tell(3.0, Input::FetchDelay(5.0));
    one.submit(3.0, 3, 250, Work::FetchAndWrite { answer: 1 });
    one.until(9.0);
    near(one.done(3), 8.001);
    // A step under way goes on for one that has gone; nothing of it is said.
    one.submit(9.0, 4, 500, Work::ReadAndWrite { answer: 9 });
    one.tell(9.01, Input::Cancel(Id(4)));
    one.submit(9.01, 5, 360, Work::Read);
    one.until(10.0);
    near(one.read(5), 9.0 + 860.0 / 18_000.0);
    assert!(!one
        .came
        .iter()
        .any(|(_, o)| matches!(o, Output::Token { id: Id(4), .. })));
    assert_eq!(one.engine.facts().held, 3);
    one.tell(10.0, Input::LoseStates);
    assert!(one.engine.is_empty());
}
