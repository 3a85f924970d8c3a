//! Why a request went where it went: one line for each that was refused, failed, tried again or late. Kept only
//! where asked for, from what the module is told and answers; nothing is decided here.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use bitternlatch_core::Traced;
use bitternlatch_policy::interface::{
    Action, Cause, ChoiceExplanation, Event, Outcome, Request, RequestId, ServerId, Settings,
};

/// Most requests accounted for at once; those that come on top are not.
const MOST: usize = 4096;
/// Most attempts named in a line.
const MAX_ATTEMPTS: usize = 8;
/// Most changes of what is held that a line names.
const MAX_CHANGES: usize = 8;

/// What became of the state that a prefill server holds for a request, as the module knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KvStateChange {
    HeldAt(ServerId),
    MayBeHeldAt(ServerId),
    Taken,
    Missing,
    Released,
}

/// What the module can say of its last decision on a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecisionReasons {
    /// What stood behind its last choice of a prefill server.
    pub reckoned: Option<ChoiceExplanation>,
    /// Why it was ended without being served.
    pub cause: Option<Cause>,
}

#[derive(Debug)]
struct Attempt {
    server: ServerId,
    at_s: f64,
    reckoned: Option<ChoiceExplanation>,
    /// How it ended, after how long, and the prompt tokens found in the prefix cache.
    ended: Option<(Outcome, f64, f64)>,
}

/// One request from its arrival to its end.
#[derive(Debug)]
struct RequestRecord {
    id: String,
    ask: Request,
    latency_objective_s: f64,
    arrived_s: f64,
    attempts: Vec<Attempt>,
    attempts_made: usize,
    first_token_s: Option<f64>,
    answer: Option<&'static str>,
    /// Why it was refused or failed.
    ended_by: DecisionReasons,
    /// What became of its state, and when, seconds from its arrival.
    states: Vec<(f64, KvStateChange)>,
}

/// Accounts of the requests in hand.
#[derive(Debug)]
pub struct AccessLog {
    /// By class: the aim of the time to first token, seconds, and what each prompt token adds.
    latency_objectives: Vec<(f64, f64)>,
    open: BTreeMap<RequestId, RequestRecord>,
}

impl AccessLog {
    pub fn new(settings: &Settings) -> AccessLog {
        let latency_objectives = settings
            .classes
            .iter()
            .map(|c| (c.ttft_objective_s, c.ttft_objective_per_token_s));
        AccessLog {
            latency_objectives: latency_objectives.collect(),
            open: BTreeMap::new(),
        }
    }

    /// Requests in hand that are accounted for.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Takes in one event with the module's answer to it. `id` gives the client's id of a request, `reasons` what
    /// the module says of its last decision on it. Gives the lines of those that have ended and are worth one.
    pub fn record(
        &mut self,
        traced: &Traced,
        id: impl Fn(RequestId) -> String,
        reasons: impl Fn(RequestId) -> DecisionReasons,
    ) -> Vec<String> {
        let mut maybe_complete = Vec::new();
        match &traced.event {
            Event::Arrival(ask) if self.open.len() < MOST => {
                let aim = self
                    .latency_objectives
                    .get(usize::from(ask.class))
                    .copied()
                    .unwrap_or_default();
                let account = RequestRecord {
                    id: id(ask.id),
                    ask: ask.clone(),
                    latency_objective_s: aim.0 + aim.1 * ask.prompt_tokens,
                    arrived_s: traced.now_s,
                    attempts: Vec::new(),
                    attempts_made: 0,
                    first_token_s: None,
                    answer: None,
                    ended_by: DecisionReasons::default(),
                    states: Vec::new(),
                };
                self.open.insert(ask.id, account);
            }
            Event::FirstToken { request, .. } => {
                self.on(*request, |a| {
                    a.first_token_s = Some(traced.now_s - a.arrived_s);
                    a.state(traced.now_s, KvStateChange::Taken);
                });
            }
            Event::AttemptEnded(end) => {
                self.on(end.request, |a| {
                    let out = |t: &&mut Attempt| t.server == end.server && t.ended.is_none();
                    if let Some(attempt) = a.attempts.iter_mut().rev().find(out) {
                        attempt.ended = Some((end.outcome, end.elapsed_s, end.prefix_hit_tokens));
                    }
                    match end.outcome {
                        Outcome::PrefillDone => {
                            a.state(traced.now_s, KvStateChange::HeldAt(end.server))
                        }
                        Outcome::Rejected {
                            state_missing: true,
                        } => a.state(traced.now_s, KvStateChange::Missing),
                        Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled
                            if !a.holds_state() =>
                        {
                            a.state(traced.now_s, KvStateChange::MayBeHeldAt(end.server));
                        }
                        _ => {}
                    }
                    if end.outcome == Outcome::Served {
                        a.answer.get_or_insert("served");
                    } else if a.first_token_s.is_some() {
                        a.answer.get_or_insert("broken");
                    }
                });
                maybe_complete.push(end.request);
            }
            Event::ClientDisconnected { request } => {
                self.on(*request, |a| a.answer = Some(a.answer.unwrap_or("gone")));
                maybe_complete.push(*request);
            }
            _ => {}
        }
        for action in &traced.actions {
            match action {
                Action::Send {
                    request, server, ..
                } => {
                    let reasons = reasons(*request).reckoned;
                    self.on(*request, |a| a.send(*server, traced.now_s, reasons));
                }
                Action::Reject { request, .. } => {
                    let reasons = reasons(*request);
                    self.on(*request, |a| {
                        (a.answer, a.ended_by) = (Some("refused"), reasons)
                    });
                    maybe_complete.push(*request);
                }
                Action::Fail { request } => {
                    let cause = reasons(*request).cause;
                    let reasons = DecisionReasons {
                        reckoned: None,
                        cause,
                    };
                    self.on(*request, |a| {
                        (a.answer, a.ended_by) = (Some("failed"), reasons)
                    });
                    maybe_complete.push(*request);
                }
                Action::Release { request } => {
                    self.on(*request, |a| a.state(traced.now_s, KvStateChange::Released));
                }
                _ => {}
            }
        }
        maybe_complete
            .into_iter()
            .filter_map(|request| self.end(request, traced.now_s))
            .collect()
    }

    fn on(&mut self, request: RequestId, change: impl Fn(&mut RequestRecord)) {
        self.open.get_mut(&request).into_iter().for_each(change);
    }

    /// Closes the account of a request that has its answer and nothing out.
    fn end(&mut self, request: RequestId, now_s: f64) -> Option<String> {
        let account = self.open.get(&request)?;
        let out = account.attempts.iter().any(|t| t.ended.is_none());
        if account.answer.is_none() || out {
            return None;
        }
        let account = self.open.remove(&request)?;
        account.is_reportable().then(|| account.line(now_s))
    }
}

impl RequestRecord {
    fn send(&mut self, server: ServerId, now_s: f64, reckoned: Option<ChoiceExplanation>) {
        self.attempts_made += 1;
        if self.attempts.len() < MAX_ATTEMPTS {
            let at_s = now_s - self.arrived_s;
            self.attempts.push(Attempt {
                server,
                at_s,
                reckoned,
                ended: None,
            });
        }
    }

    fn state(&mut self, now_s: f64, change: KvStateChange) {
        if self.states.len() < MAX_CHANGES {
            self.states.push((now_s - self.arrived_s, change));
        }
    }

    fn holds_state(&self) -> bool {
        matches!(
            self.states.last(),
            Some((_, KvStateChange::HeldAt(_) | KvStateChange::MayBeHeldAt(_)))
        )
    }

    fn late(&self) -> bool {
        self.first_token_s
            .is_some_and(|s| s > self.latency_objective_s)
    }

    /// An attempt that ended in anything but an answer or a read.
    fn repeated(&self) -> bool {
        let good =
            |t: &Attempt| matches!(t.ended, Some((Outcome::Served | Outcome::PrefillDone, ..)));
        self.attempts.iter().any(|t| !good(t)) || self.attempts_made > self.attempts.len()
    }

    fn is_reportable(&self) -> bool {
        self.answer != Some("served") || self.repeated() || self.late()
    }

    fn line(&self, now_s: f64) -> String {
        let ask = &self.ask;
        let mut line = format!(
            "{} {}{} class {} prompt {} of which shared {} aim {:.3} took {:.3}",
            self.id,
            self.answer.unwrap_or_default(),
            if self.late() { " late" } else { "" },
            ask.class,
            ask.prompt_tokens,
            ask.prefix_tokens,
            self.latency_objective_s,
            now_s - self.arrived_s,
        );
        if let Some(first) = self.first_token_s {
            let _ = write!(line, " first token {first:.3}");
        }
        if let Some(cause) = self.ended_by.cause {
            let _ = write!(line, " because {cause:?}");
        }
        if let Some(r) = self.ended_by.reckoned {
            let _ = write!(line, " refused at {r}");
        }
        for t in &self.attempts {
            let _ = write!(line, "; {:.3} to {}", t.at_s, t.server);
            if let Some(r) = t.reckoned {
                let _ = write!(line, " reckoned {r}");
            }
            if let Some((outcome, took, hit)) = t.ended {
                let _ = write!(
                    line,
                    " {} after {took:.3} found {hit}",
                    outcome_text(outcome)
                );
            }
        }
        for (at_s, change) in &self.states {
            let _ = write!(line, "; {at_s:.3} state {change:?}");
        }
        line
    }
}

/// The outcome's word in a line. Operators search for these words, so that names in the code do not change them.
fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "Served",
        Outcome::PrefillDone => "ReadDone",
        Outcome::Error => "Error",
        Outcome::Rejected {
            state_missing: true,
        } => "Full { state_gone: true }",
        Outcome::Rejected {
            state_missing: false,
        } => "Full { state_gone: false }",
        Outcome::TimedOut => "TimedOut",
        Outcome::ConnectFailed => "ConnectFailed",
        Outcome::Reset => "Reset",
        Outcome::Cancelled => "Cancelled",
        Outcome::NotSent => "NotSent",
    }
}
