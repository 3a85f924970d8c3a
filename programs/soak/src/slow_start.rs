//! The platform's rule on cold servers: what a server can do after its start, when it falls, and whose work that was.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A fall breaks the rule if more than this fraction of the work came from processes that had been notified.
const NOTIFIED_FRACTION: f64 = 2.0 / 3.0;
/// Budgets below this many requests have the wider margin for chance.
const SMALL_BUDGET: f64 = 30.0;

/// How a server warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUp {
    ByAge,
    /// By the work that it receives, up to the work of a warm server over the warm-up time, and never faster than by
    /// age.
    ByRequests,
}

/// What the settings of a day say of cold servers, and what the settings don't say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartTerms {
    pub overload_factor: f64,
    pub start_capacity: f64,
    pub window_s: f64,
    pub warm_after_s: f64,
    /// Requests of mean work that a warm server can do in a second.
    pub warm_rate: f64,
    pub warm_up: WarmUp,
}

impl SlowStartTerms {
    /// The same for a server of so many times the mean speed.
    pub fn at_speed(self, speed: f64) -> SlowStartTerms {
        SlowStartTerms {
            warm_rate: self.warm_rate * speed,
            ..self
        }
    }
}

/// Work, in requests of mean work, over which a server falls whose budget for the window is `budget`.
pub fn max_work(budget: f64) -> f64 {
    let deviations = if budget < SMALL_BUDGET { 3.0 } else { 2.0 };
    budget + deviations * budget.sqrt() + deviations
}

/// One piece of work that has reached a cold server.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    work: f64,
    from_notified: bool,
    /// Capacity of the server when it arrived, as a fraction.
    capacity: f64,
}

/// The window in which a server fell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fall {
    pub work: f64,
    pub notified_work: f64,
    pub max_work: f64,
    /// Seconds from the server's start to the fall.
    pub age_s: f64,
}

impl Fall {
    /// Whether the rule is broken.
    pub fn breaks_rule(&self) -> bool {
        self.notified_work > NOTIFIED_FRACTION * self.work
    }
}

/// A server from its start on.
#[derive(Clone, Debug)]
pub struct ColdServer {
    terms: SlowStartTerms,
    started_at: Instant,
    received: f64,
    window: VecDeque<Arrival>,
    peak: f64,
}

impl ColdServer {
    pub fn new(terms: SlowStartTerms, started_at: Instant) -> ColdServer {
        ColdServer {
            terms,
            started_at,
            received: 0.0,
            peak: 0.0,
            window: VecDeque::new(),
        }
    }

    /// Most work of a window so far, as a fraction of what makes the server fall.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// Whether the server is warm by its age.
    pub fn is_warm(&self, now: Instant) -> bool {
        self.age(now) >= 1.0
    }

    fn age(&self, now: Instant) -> f64 {
        let age_s = now.saturating_duration_since(self.started_at).as_secs_f64();
        age_s / self.terms.warm_after_s
    }

    /// Fraction of its full capacity that the server has.
    pub fn capacity(&self, now: Instant) -> f64 {
        let age = self.age(now);
        if age >= 1.0 {
            return 1.0;
        }
        let warmed = match self.terms.warm_up {
            WarmUp::ByAge => age,
            WarmUp::ByRequests => {
                let warm_work = self.terms.warm_rate * self.terms.warm_after_s;
                (self.received / warm_work).min(age)
            }
        };
        self.terms.start_capacity + (1.0 - self.terms.start_capacity) * warmed
    }

    /// Counts work that has reached the server; returns the fall if it is too much for the window that ends now. The
    /// budget of a window is that of the capacity at its begin.
    pub fn receive(&mut self, at: Instant, work: f64, from_notified: bool) -> Option<Fall> {
        let terms = self.terms;
        let window = Duration::from_secs_f64(terms.window_s);
        let capacity = self.capacity(at);
        self.window.push_back(Arrival {
            at,
            work,
            from_notified,
            capacity,
        });
        while self
            .window
            .front()
            .is_some_and(|first| at.saturating_duration_since(first.at) >= window)
        {
            self.window.pop_front();
        }
        self.received += work;
        let capacity = self.window.front().map_or(1.0, |first| first.capacity);
        let budget = terms.overload_factor * capacity * terms.warm_rate * terms.window_s;
        let sum = |fits: fn(&Arrival) -> bool| -> f64 {
            let fitting = self.window.iter().filter(|arrival| fits(arrival));
            fitting.map(|arrival| arrival.work).sum()
        };
        let work_in_window = sum(|_| true);
        let max_work = max_work(budget);
        self.peak = self.peak.max(work_in_window / max_work);
        (work_in_window > max_work).then(|| Fall {
            work: work_in_window,
            notified_work: sum(|arrival| arrival.from_notified),
            max_work,
            age_s: at.saturating_duration_since(self.started_at).as_secs_f64(),
        })
    }
}
