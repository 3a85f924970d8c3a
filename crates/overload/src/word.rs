//! What a member says of itself: one datagram.

use crate::order::LEVELS;
use crate::OverloadError;

const VERSION: u8 = 1;
const SINGLES: usize = 11;
/// Bytes of a word.
pub const WORD_BYTES: usize = 1 + 8 + 2 * (LEVELS + SINGLES);

/// A member's figures. Work is in seconds of a host of weight 1, rates a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Word {
    /// Rising within one start of a process.
    pub number: u64,
    /// Work asked by level.
    pub demand: Vec<f64>,
    /// Work taken, and work whose answer began.
    pub taken: f64,
    pub completed: f64,
    /// Work taken whose answer has not begun, and of one such request in the mean.
    pub backlog: f64,
    pub each: f64,
    /// Work that hosts say waits at them.
    pub waits: f64,
    /// Hosts that read, by weight.
    pub hosts: f64,
    /// The wait for a first token as a share of its aim.
    pub delay: f64,
    /// Work taken that was fresh, and that was a repeat, in 5 s.
    pub fresh: f64,
    pub repeats: f64,
    /// Its own cut and what it takes the hosts to do.
    pub cut: f64,
    pub capacity: f64,
}

/// Numbers go as their logarithm, so that all that can be said is finite and not negative; to 1 in 4,000, up to a million.
fn code(value: f64) -> u16 {
    if !(value.is_finite() && value > 0.0) {
        return 0;
    }
    (1.0 + ((value.log2() + 20.0) * 1600.0).clamp(0.0, 65_000.0)).round() as u16
}

fn value(code: u16) -> f64 {
    match code {
        0 => 0.0,
        code => ((f64::from(code) - 1.0) / 1600.0 - 20.0).exp2(),
    }
}

impl Word {
    fn singles(&self) -> [f64; SINGLES] {
        [
            self.taken,
            self.completed,
            self.backlog,
            self.each,
            self.waits,
            self.hosts,
            self.delay,
            self.fresh,
            self.repeats,
            self.cut,
            self.capacity,
        ]
    }

    pub fn write(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(self.number.to_le_bytes());
        let level = |i: usize| self.demand.get(i).copied().unwrap_or(0.0);
        let all = (0..LEVELS).map(level).chain(self.singles());
        all.for_each(|v| bytes.extend(code(v).to_le_bytes()));
        bytes
    }

    /// # Errors
    /// Where it is of another version or length.
    pub fn read(bytes: &[u8]) -> Result<Word, OverloadError> {
        match bytes.first() {
            Some(&VERSION) if bytes.len() == WORD_BYTES => {}
            Some(&VERSION) | None => return Err(OverloadError::Unreadable),
            Some(_) => return Err(OverloadError::OtherVersion),
        }
        let mut number = [0; 8];
        number.copy_from_slice(&bytes[1..9]);
        let mut all = bytes[9..]
            .chunks_exact(2)
            .map(|b| value(u16::from_le_bytes([b[0], b[1]])));
        let demand = all.by_ref().take(LEVELS).collect();
        let mut next = || all.next().unwrap_or(0.0);
        Ok(Word {
            number: u64::from_le_bytes(number),
            demand,
            taken: next(),
            completed: next(),
            backlog: next(),
            each: next(),
            waits: next(),
            hosts: next(),
            delay: next(),
            fresh: next(),
            repeats: next(),
            cut: next(),
            capacity: next(),
        })
    }

    /// Work asked over all levels.
    pub fn asked(&self) -> f64 {
        self.demand.iter().sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_word_fits_a_datagram_and_comes_back() {
        let word = Word {
            number: 7,
            demand: (0..LEVELS).map(|i| i as f64 * 3.7).collect(),
            cut: 31.25,
            capacity: f64::NAN,
            ..Word::default()
        };
        let bytes = word.write();
        assert!(
            bytes.len() <= bitternlatch_membership::MAX_PAYLOAD,
            "{}",
            bytes.len()
        );
        let read = Word::read(&bytes).expect("a word");
        assert_eq!((read.number, read.capacity), (7, 0.0));
        assert!((read.cut - 31.25).abs() < 0.01 && (read.demand[40] - 148.0).abs() < 0.05);
    }

    proptest! {
        #[test]
        fn whatever_comes_is_refused_or_read_as_finite_numbers(mut bytes in prop::collection::vec(any::<u8>(), 0..130), whole: bool) {
            if whole {
                bytes.resize(WORD_BYTES, 0xFF);
                bytes[0] = VERSION;
            }
            if let Ok(word) = Word::read(&bytes) {
                prop_assert!(word.demand.iter().chain(&word.singles()).all(|v| v.is_finite() && *v >= 0.0));
            }
        }
    }
}
