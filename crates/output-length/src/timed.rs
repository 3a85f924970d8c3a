//! Local learning where nobody tells how many tokens an answer had: by the time that it ran, from its first token to its end,
//! at its class's aim for the time between tokens. Engines are at least that quick, so it is a careful, low figure.

use std::collections::BTreeMap;

use bitternlatch_policy::interface::{self, Event, Outcome, RequestId, Settings};

use crate::ids::{ClassKey, ModelKey, TenantKey};
use crate::io::{End, Ended};
use crate::local::Local;

/// Requests followed; past it the earliest is let go of, and teaches nothing.
const FOLLOWED: usize = 8 * 1024;
/// Bytes of a token, where only tokens are known.
const TOKEN_BYTES: u32 = 4;

struct Followed {
    class: u16,
    tenant: u32,
    prompt_tokens: u32,
    ceiling: u32,
    told: Option<u32>,
    /// When its first token came.
    first_s: Option<f64>,
}

/// Follows what a router is told, and tells it with each arrival what to expect.
pub struct Timed {
    local: Local,
    /// Seconds between tokens, by class.
    gaps: Vec<f64>,
    followed: BTreeMap<RequestId, Followed>,
}

fn whole(tokens: f64) -> u32 {
    tokens.clamp(0.0, 1e7) as u32
}

fn key(class: u16) -> ClassKey {
    ClassKey(u32::from(class) + 1)
}

impl Timed {
    pub fn new(settings: &Settings) -> Timed {
        let gaps = settings
            .classes
            .iter()
            .map(|c| c.inter_token_objective_s)
            .collect();
        Timed {
            local: Local::default(),
            gaps,
            followed: BTreeMap::new(),
        }
    }

    /// Takes an event before its router does; an arrival is given what is expected of it.
    pub fn see(&mut self, now_s: f64, event: &mut Event) {
        match event {
            Event::Arrival(ask) => {
                let (prompt, ceiling) = (whole(ask.prompt_tokens), whole(ask.max_output_tokens));
                let known = self
                    .local
                    .expect(ModelKey(1), key(ask.class), prompt, ceiling);
                ask.output_tokens = known.map(|e| interface::ExpectedTokens {
                    mean: e.mean,
                    p90: e.p90,
                });
                if self.followed.len() >= FOLLOWED {
                    self.followed.pop_first();
                }
                let followed = Followed {
                    class: ask.class,
                    tenant: ask.tenant,
                    prompt_tokens: prompt,
                    ceiling,
                    told: known.map(|e| e.p90.round() as u32),
                    first_s: None,
                };
                self.followed.insert(ask.id, followed);
            }
            Event::FirstToken { request, .. } => {
                self.followed
                    .get_mut(request)
                    .into_iter()
                    .for_each(|f| f.first_s = Some(now_s));
            }
            Event::AttemptEnded(end) if end.finished || end.outcome == Outcome::Served => {
                let followed = self.followed.remove(&end.request);
                if let Some(f) = followed.filter(|_| end.outcome == Outcome::Served) {
                    self.learn(now_s, &f);
                }
            }
            Event::ClientDisconnected { request } => drop(self.followed.remove(request)),
            _ => {}
        }
    }

    fn learn(&mut self, now_s: f64, f: &Followed) {
        let gap = self
            .gaps
            .get(usize::from(f.class))
            .copied()
            .filter(|gap| *gap > 0.0);
        let (Some(gap), Some(first_s)) = (gap, f.first_s) else {
            return;
        };
        let tokens = whole((now_s - first_s).max(0.0) / gap)
            .saturating_add(1)
            .min(f.ceiling);
        let ended = Ended {
            model: ModelKey(1),
            class: key(f.class),
            tenant: TenantKey(f.tenant),
            prompt_tokens: f.prompt_tokens,
            ceiling: f.ceiling,
            tokens,
            bytes: tokens.saturating_mul(TOKEN_BYTES),
            end: if tokens < f.ceiling {
                End::Whole
            } else {
                End::Ceiling
            },
            told: f.told,
            host: String::new(),
        };
        self.local.ended(now_s, &ended);
    }
}

#[cfg(test)]
mod tests {
    use bitternlatch_policy::interface::{AttemptEnd, Request};

    use super::*;

    #[test]
    fn an_arrival_is_told_what_those_before_it_took_and_one_that_left_teaches_nothing() {
        let mut timed = Timed {
            local: Local::default(),
            gaps: vec![0.05],
            followed: BTreeMap::new(),
        };
        let ask = |id| Request {
            id,
            prompt_tokens: 900.0,
            max_output_tokens: 800.0,
            ..Request::default()
        };
        let mut told = None;
        for id in 0..200 {
            let at = f64::from(id) * 0.5;
            let mut arrival = Event::Arrival(ask(id));
            timed.see(at, &mut arrival);
            let Event::Arrival(ask) = arrival else {
                unreachable!()
            };
            told = ask.output_tokens;
            timed.see(
                at,
                &mut Event::FirstToken {
                    request: id,
                    attempt: 0,
                    server: 1,
                    elapsed_s: 0.1,
                },
            );
            if id % 4 == 0 {
                timed.see(at + 0.1, &mut Event::ClientDisconnected { request: id });
            }
            let end = AttemptEnd {
                request: id,
                attempt: 0,
                server: 1,
                outcome: Outcome::Served,
                elapsed_s: 5.1,
                finished: true,
                prefix_hit_tokens: 0.0,
                report: vec![],
            };
            timed.see(at + 5.0, &mut Event::AttemptEnded(end));
        }
        let told = told.expect("told");
        assert!(
            (told.mean - 100.0).abs() < 8.0 && told.p90 < 115.0,
            "{told:?}"
        );
        assert!(timed.followed.is_empty());
    }
}
