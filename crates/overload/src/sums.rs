//! The latest word of each member, fading by the own clock, and their sums.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::Process;

use crate::order::LEVELS;
use crate::Word;

/// A word counts whole for so long, then fades until it is forgotten.
const WHOLE: Duration = Duration::from_millis(1000);
const GONE: Duration = Duration::from_millis(2500);
/// So many times the median of its peers is nonsense.
const NONSENSE: f64 = 10.0;
/// Work a second below which nothing is nonsense.
const LITTLE: f64 = 0.5;
/// Members, the own one among them, from which a median is one.
const JUDGES: usize = 3;

struct Heard {
    start: u64,
    at: Duration,
    word: Word,
}

/// What all together say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sums {
    pub demand: Vec<f64>,
    pub taken: f64,
    pub completed: f64,
    pub backlog: f64,
    pub fresh: f64,
    pub repeats: f64,
    /// Medians; of `each` over those that have one.
    pub each: f64,
    pub waits: f64,
    pub hosts: f64,
    pub delay: f64,
    pub capacity: f64,
    /// Mean cut of the others.
    pub cut: f64,
    /// Members counted, those that fade by their share.
    pub members: f64,
    /// Members whose figures were bounded.
    pub nonsense: BTreeSet<NameKey>,
}

impl Sums {
    pub fn asked(&self) -> f64 {
        self.demand.iter().sum()
    }
}

/// The latest words of others; at most one a name of the roster.
#[derive(Default)]
pub struct Words(BTreeMap<NameKey, Heard>);

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => 0.0,
        n => (values[(n - 1) / 2] + values[n / 2]) / 2.0,
    }
}

impl Words {
    /// Takes a word; one that is not later than what is held of its origin changes nothing.
    pub fn hear(&mut self, now: Duration, from: Process, word: Word) {
        let held = self.0.get(&from.name).map(|h| (h.start, h.word.number));
        if held.is_none_or(|held| held < (from.start, word.number)) {
            self.0.insert(
                from.name,
                Heard {
                    start: from.start,
                    at: now,
                    word,
                },
            );
        }
    }

    /// Lets go of what has faded; of those that may start again it keeps the order for as long.
    pub fn forget(&mut self, now: Duration) {
        self.0.retain(|_, h| now.saturating_sub(h.at) < GONE);
    }

    fn weight(now: Duration, at: Duration) -> f64 {
        let age = now.saturating_sub(at);
        let fading = (GONE - WHOLE).as_secs_f64();
        (1.0 - age.saturating_sub(WHOLE).as_secs_f64() / fading).clamp(0.0, 1.0)
    }

    /// Of the own word and all that were heard. `all` is the number of members where words come from a sample of them: the others
    /// are taken to be like those heard.
    pub fn sums(&self, now: Duration, own: &Word, all: Option<usize>) -> Sums {
        let heard: Vec<(NameKey, f64, &Word)> = self
            .0
            .iter()
            .map(|(n, h)| (*n, Self::weight(now, h.at), &h.word))
            .collect();
        let weights: f64 = heard.iter().map(|h| h.1).sum();
        let scale = all
            .filter(|_| weights > 0.0)
            .map_or(1.0, |all| (all as f64 - 1.0) / weights);
        let whole = || std::iter::once(own).chain(heard.iter().filter(|h| h.1 > 0.5).map(|h| h.2));
        let of = |figure: fn(&Word) -> f64| median(whole().map(figure).collect());
        let judged = heard.len() + 1 >= JUDGES;
        let mut nonsense = BTreeSet::new();
        // A figure beyond all bounds counts as the bound.
        let mut sum = |figure: fn(&Word) -> f64| {
            let most = if judged {
                NONSENSE * of(figure).max(LITTLE)
            } else {
                f64::INFINITY
            };
            let each = heard.iter().map(|(name, weight, word)| {
                let value = figure(word);
                if value > most {
                    nonsense.insert(*name);
                }
                value.min(most) * weight
            });
            figure(own) + scale * each.sum::<f64>()
        };
        let (taken, completed, backlog) =
            (sum(|w| w.taken), sum(|w| w.completed), sum(|w| w.backlog));
        let (fresh, repeats) = (sum(|w| w.fresh), sum(|w| w.repeats));
        // Summed by level below; here for who is named.
        sum(Word::asked);
        let mut demand = vec![0.0; LEVELS];
        let most = if judged {
            NONSENSE * of(Word::asked).max(LITTLE)
        } else {
            f64::INFINITY
        };
        for (i, level) in demand.iter_mut().enumerate() {
            let part = |w: &Word| w.demand.get(i).copied().unwrap_or(0.0);
            let bounded = |w: &Word| part(w) * (most / w.asked().max(1e-9)).min(1.0);
            *level = part(own)
                + scale
                    * heard
                        .iter()
                        .map(|(_, weight, w)| bounded(w) * weight)
                        .sum::<f64>();
        }
        let cuts = heard
            .iter()
            .map(|(_, weight, w)| w.cut.min(LEVELS as f64) * weight)
            .sum::<f64>();
        Sums {
            demand,
            taken,
            completed,
            backlog,
            fresh,
            repeats,
            each: median(whole().map(|w| w.each).filter(|e| *e > 0.0).collect()),
            waits: of(|w| w.waits),
            hosts: of(|w| w.hosts),
            delay: of(|w| w.delay),
            capacity: of(|w| w.capacity),
            cut: if weights > 0.0 {
                cuts / weights
            } else {
                own.cut
            },
            members: 1.0 + weights,
            nonsense,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn word(number: u64, asked: f64) -> Word {
        let mut demand = vec![0.0; LEVELS];
        demand[(number % 40) as usize] = asked;
        Word {
            number,
            demand,
            completed: asked / 2.0,
            ..Word::default()
        }
    }

    fn process(name: u32, start: u64) -> Process {
        Process {
            name: NameKey(name),
            start,
        }
    }

    #[test]
    fn a_liar_is_bounded_and_named_and_what_is_not_said_again_fades() {
        let mut words = Words::default();
        for name in 1..=3 {
            words.hear(ms(0), process(name, 1), word(1, 2.0));
        }
        words.hear(ms(0), process(9, 1), word(1, 1e6));
        let sums = words.sums(ms(100), &word(1, 2.0), None);
        assert_eq!(sums.nonsense, BTreeSet::from([NameKey(9)]));
        assert!((sums.asked() - 28.0).abs() < 1e-9, "{}", sums.asked());
        let later = words.sums(ms(1750), &word(1, 2.0), None);
        assert!(later.members < sums.members && later.asked() < sums.asked());
        words.forget(ms(2500));
        assert_eq!(words.sums(ms(2500), &word(1, 2.0), None).asked(), 2.0);
    }

    #[test]
    fn a_sample_stands_for_all() {
        let mut words = Words::default();
        for name in 1..=16 {
            words.hear(ms(0), process(name, 1), word(1, 3.0));
        }
        assert!((words.sums(ms(0), &word(1, 3.0), Some(300)).asked() - 900.0).abs() < 1e-6);
    }

    proptest! {
        /// After any order, loss of all but the latest, and repetition the sums are the same.
        #[test]
        fn sums_converge_after_any_order_loss_and_repetition(
            said in prop::collection::vec((1u32..6, 1u64..3, 1u64..8, 0.0f64..9.0), 1..60),
            order in prop::collection::vec(any::<prop::sample::Index>(), 0..120),
        ) {
            // One word an origin and number.
            let by: BTreeMap<(u32, u64, u64), f64> = said.iter().map(|(n, s, k, a)| ((*n, *s, *k), *a)).collect();
            let all: Vec<_> = by.into_iter().collect();
            let (mut straight, mut mixed) = (Words::default(), Words::default());
            let hear = |words: &mut Words, ((name, start, number), asked): ((u32, u64, u64), f64)| {
                words.hear(ms(5), process(name, start), word(number, asked));
            };
            all.iter().for_each(|one| hear(&mut straight, *one));
            order.iter().for_each(|i| hear(&mut mixed, *i.get(&all)));
            // The latest of each comes at last, after whatever was lost.
            let latest: BTreeMap<u32, _> = all.iter().map(|one| (one.0 .0, *one)).collect();
            latest.into_values().rev().for_each(|one| hear(&mut mixed, one));
            prop_assert_eq!(straight.sums(ms(9), &word(1, 1.0), None), mixed.sums(ms(9), &word(1, 1.0), None));
        }
    }
}
