//! Expected lengths of answers, learned by class from the answers that have ended.
//!
//! A request tells its output ceiling, or a predictor tells an expected length. Either may say much
//! or nothing about the true length, so it is only the input of a linear regression, whose slope is
//! zero for a class where it says nothing.

use super::decay::non_negative;
use crate::interface::Request;

/// Lowest weight of the newest sample in the means. Until as many samples were taken, the means are
/// plain averages.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
/// Answers of a class by which the length that a request announces counts.
const ANNOUNCED_WEIGHT: f64 = 8.0;
/// Longest answer that counts, in tokens: servers report what they like.
const MAX_TOKENS: f64 = 1e6;
/// Lowest expected length, as a fraction of the mean of the class.
const MIN_LENGTH_RATIO: f64 = 0.1;

/// Running mean whose oldest samples fade.
#[derive(Clone, Copy, Debug, Default)]
struct Mean(f64);

impl Mean {
    fn add(&mut self, sample: f64, weight: f64) {
        self.0 += weight * (sample - self.0);
    }
}

/// Regression of the true length of an answer on the announced one.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    answers: f64,
    announced: Mean,
    tokens: Mean,
    variance: Mean,
    covariance: Mean,
}

impl Regression {
    fn add(&mut self, announced: f64, tokens: f64) {
        self.answers += 1.0;
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / self.answers);
        let deviation = announced - self.announced.0;
        self.announced.add(announced, weight);
        self.tokens.add(tokens, weight);
        self.variance
            .add(deviation * (announced - self.announced.0), weight);
        self.covariance
            .add(deviation * (tokens - self.tokens.0), weight);
    }

    fn tokens_at(&self, announced: f64) -> f64 {
        let slope = if self.variance.0 > 0.0 {
            self.covariance.0 / self.variance.0
        } else {
            0.0
        };
        let tokens = self.tokens.0 + slope * (announced - self.announced.0);
        tokens.max(MIN_LENGTH_RATIO * self.tokens.0)
    }
}

/// Requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassOutput {
    /// Fraction of all requests that are of the class.
    fraction: Mean,
    announced: Mean,
    arrivals: f64,
    lengths: Regression,
}

/// Expected lengths of answers.
#[derive(Debug, Default)]
pub(super) struct OutputWork {
    arrivals: f64,
    classes: Vec<ClassOutput>,
    /// Answers of all classes.
    lengths: Regression,
}

/// Length that a request announces, in tokens: the predicted one, or its ceiling.
fn announced_tokens(request: &Request) -> f64 {
    request
        .output_tokens
        .map_or(request.max_output_tokens, |expected| {
            non_negative(expected.mean)
        })
}

impl OutputWork {
    /// Counts a request that arrives.
    pub fn record_arrival(&mut self, request: &Request) {
        let class = usize::from(request.class);
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassOutput::default());
        }
        self.arrivals += 1.0;
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / self.arrivals);
        for (index, of_class) in self.classes.iter_mut().enumerate() {
            of_class.fraction.add(f64::from(index == class), weight);
        }
        let of_class = &mut self.classes[class];
        of_class.arrivals += 1.0;
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / of_class.arrivals);
        of_class.announced.add(announced_tokens(request), weight);
    }

    /// Counts an answer that has ended.
    pub fn record_answer(&mut self, request: &Request, tokens: f64) {
        let announced = announced_tokens(request);
        let tokens = non_negative(tokens).min(MAX_TOKENS);
        self.lengths.add(announced, tokens);
        if let Some(of_class) = self.classes.get_mut(usize::from(request.class)) {
            of_class.lengths.add(announced, tokens);
        }
    }

    /// Expected length of a request's answer, as a multiple of the mean over all requests.
    pub fn relative_work(&self, request: &Request) -> f64 {
        let mean: f64 = self
            .classes
            .iter()
            .map(|class| class.fraction.0 * self.expected_tokens(class, class.announced.0))
            .sum();
        let class = self.classes.get(usize::from(request.class));
        match class {
            Some(class) if mean > 0.0 => {
                self.expected_tokens(class, announced_tokens(request)) / mean
            }
            _ => 1.0,
        }
    }

    fn expected_tokens(&self, class: &ClassOutput, announced: f64) -> f64 {
        let tokens_per_announced = if self.lengths.announced.0 > 0.0 {
            self.lengths.tokens.0 / self.lengths.announced.0
        } else {
            1.0
        };
        let answers = class.lengths.answers;
        let weight = answers / (answers + ANNOUNCED_WEIGHT);
        weight * class.lengths.tokens_at(announced)
            + (1.0 - weight) * tokens_per_announced * announced
    }
}

#[cfg(test)]
#[path = "../part_tests/output_work.rs"]
mod tests;
