//! What workers and tool hosts show of workflows: what was asked under which epoch, what was told, what ran.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;

use crate::answers::{Final, Try};
use crate::hosts::{Attempt, Seen};
use crate::{us, Breach, Facts, Rule, Verdict, WorkflowFacts, SLACK_S};

/// Runs of this many workers on one workflow before it may be parked.
const PARKED_AFTER: usize = 3;

/// A claim's answer, as far as it is judged.
#[derive(Deserialize)]
struct Granted {
    epoch: u64,
    #[serde(default)]
    context: String,
    #[serde(default)]
    steps: Vec<Shown>,
}

#[derive(Deserialize)]
struct Shown {
    number: u32,
    #[serde(default)]
    fate: Option<String>,
    #[serde(default)]
    result: Option<String>,
}

impl Shown {
    fn done(&self) -> Option<&str> {
        let done = self.fate.as_deref() == Some("done");
        done.then(|| self.result.as_deref().unwrap_or_default())
    }
}

impl Granted {
    /// Whether a step's result is shown: listed as done, or as a line of the context, `number: result`.
    fn shows(&self, step: u32, result: &str) -> bool {
        let line = format!("{step}: {result}");
        self.steps
            .iter()
            .any(|s| s.number == step && s.done().is_some())
            || self
                .context
                .lines()
                .any(|l| l.trim_end() == line.trim_end())
    }
}

/// What a worker asked of one workflow.
struct Asked<'a> {
    one: &'a Try,
    what: &'a str,
    epoch: u64,
    step: u32,
}

impl<'a> Asked<'a> {
    fn of(one: &'a Try) -> Option<(&'a str, Asked<'a>)> {
        let said = |key: &str| one.metadata.get(key).map(String::as_str);
        let number = |key: &str| said(key).and_then(|n| n.parse().ok()).unwrap_or(0);
        let workflow = said("workflow")?;
        let what = said("workflow_do").unwrap_or("step");
        let step = u32::try_from(number("workflow_step")).unwrap_or(0);
        Some((
            workflow,
            Asked {
                one,
                what,
                epoch: number("workflow_epoch"),
                step,
            },
        ))
    }

    /// When it was answered as asked, and with what.
    fn served(&self) -> Option<(u64, &'a str)> {
        let (t, how) = self.one.finals.first()?;
        (*how == Final::Served).then_some((*t, self.one.said.as_str()))
    }

    fn refused(&self, code: &str) -> bool {
        !self.one.finals.is_empty() && self.served().is_none() && self.one.said == code
    }

    fn granted(&self) -> Option<(u64, Granted)> {
        let (t, text) = self.served().filter(|_| self.what == "claim")?;
        Some((t, serde_json::from_str(text).ok()?))
    }

    /// Whether a host's attempt was made for it.
    fn caused(&self, attempt: &Attempt) -> bool {
        let id = self.one.response.get(5..29);
        id.is_some() && id == attempt.id.get(..24)
    }
}

/// One workflow, as its workers and the tool hosts saw it.
struct Course<'a> {
    plan: &'a WorkflowFacts,
    asked: Vec<Asked<'a>>,
    /// By step from 1: runs at tool hosts.
    runs: BTreeMap<u32, Vec<&'a Attempt>>,
    /// When each step's result was told, in order of time.
    told: BTreeMap<u32, Vec<(u64, &'a str)>>,
    /// When asked, when granted, by whom, what.
    claims: Vec<(u64, u64, &'a str, Granted)>,
}

pub(crate) fn judge(facts: &Facts, tries: &[Try], seen: &Seen, verdict: &mut Verdict) {
    let mut asked: BTreeMap<&str, Vec<Asked>> = BTreeMap::new();
    for (workflow, one) in tries.iter().filter_map(Asked::of) {
        asked.entry(workflow).or_default().push(one);
    }
    let by_mark = seen.by_mark();
    for plan in &facts.workflows {
        let course = Course::of(
            plan,
            asked.remove(plan.name.as_str()).unwrap_or_default(),
            &by_mark,
        );
        course.count(verdict);
        course.ends(verdict);
        course.results(verdict);
        course.runs_once(facts, verdict);
        course.fenced(facts, verdict);
    }
}

impl<'a> Course<'a> {
    fn of(
        plan: &'a WorkflowFacts,
        asked: Vec<Asked<'a>>,
        by_mark: &BTreeMap<&str, Vec<&'a Attempt>>,
    ) -> Course<'a> {
        let mut told: BTreeMap<u32, Vec<(u64, &str)>> = BTreeMap::new();
        for one in asked.iter().filter(|a| a.what == "step") {
            told.entry(one.step).or_default().extend(one.served());
        }
        told.retain(|_, told| !told.is_empty());
        told.values_mut().for_each(|told| told.sort_unstable());
        let granted = |a: &Asked<'a>| {
            a.granted()
                .map(|(t, g)| (a.one.t, t, a.one.conn.0.as_str(), g))
        };
        let mut claims: Vec<_> = asked.iter().filter_map(granted).collect();
        claims.sort_by_key(|c| c.1);
        let runs = (1..=plan.effects.len() as u32).map(|step| {
            let all = by_mark.get(plan.mark(step as usize).as_str());
            (
                step,
                all.into_iter()
                    .flatten()
                    .copied()
                    .filter(|a| a.runs())
                    .collect(),
            )
        });
        Course {
            runs: runs.collect(),
            plan,
            asked,
            told,
            claims,
        }
    }

    fn breach(&self, verdict: &mut Verdict, rule: Rule, t: u64, what: String) {
        verdict.breaches.push(Breach {
            rule,
            t,
            what: format!("workflow {}: {what}", self.plan.name),
        });
    }

    fn effect(&self, step: u32) -> &str {
        self.plan
            .effects
            .get(step.wrapping_sub(1) as usize)
            .map_or("", String::as_str)
    }

    fn refused(&self, code: &str) -> Option<&Asked<'a>> {
        self.asked.iter().find(|a| a.refused(code))
    }

    fn finished(&self) -> bool {
        let finish = |a: &&Asked| a.what == "finish";
        // Where the answer was lost, a later claim is told of the end.
        self.asked
            .iter()
            .filter(finish)
            .any(|a| a.served().is_some())
            || (self.asked.iter().any(|a| finish(&a)) && self.refused("workflow_ended").is_some())
    }

    fn count(&self, verdict: &mut Verdict) {
        let tally = &mut verdict.workflows;
        tally.planned += 1;
        tally.finished += usize::from(self.finished());
        tally.unsettled += usize::from(self.refused("workflow_unsettled").is_some());
        tally.parked += usize::from(self.refused("workflow_parked").is_some());
        tally.claims += self.claims.len();
        tally.taken_over += self
            .claims
            .windows(2)
            .filter(|two| two[0].2 != two[1].2)
            .count();
        tally.told += self.told.len();
        tally.fenced += self
            .asked
            .iter()
            .filter(|a| a.refused("workflow_fenced"))
            .count();
        tally.runs += self.runs.values().map(Vec::len).sum::<usize>();
    }

    /// It is finished with all its steps done, or unsettled and rightly so.
    fn ends(&self, verdict: &mut Verdict) {
        let mut breach = |t: u64, what: String| self.breach(verdict, Rule::WorkflowsEnd, t, what);
        let end = self.asked.iter().map(|a| a.one.t).max().unwrap_or(0);
        let unsettled = self.refused("workflow_unsettled");
        if let Some(one) = unsettled {
            if !self.may_have_run() {
                breach(
                    one.one.t,
                    "unsettled though no unsafe step may have run unknown".to_string(),
                );
            }
        }
        if self.finished() {
            let steps = 1..=self.plan.effects.len() as u32;
            let shown: BTreeSet<u32> = self.shown().map(|(_, step, _)| step).collect();
            let unknown = |s: &u32| !self.told.contains_key(s) && !shown.contains(s);
            if let Some(step) = steps.into_iter().find(unknown) {
                breach(
                    end,
                    format!("finished, and the result of step {step} was told to nobody"),
                );
            }
            if unsettled.is_some() {
                breach(end, "both finished and unsettled".to_string());
            }
            return;
        }
        let epochs: BTreeSet<u64> = self.claims.iter().map(|c| c.3.epoch).collect();
        let parked = self.refused("workflow_parked").is_some();
        if parked && epochs.len() < PARKED_AFTER {
            breach(end, format!("parked after {} claims", epochs.len()));
        } else if unsettled.is_none() && !parked {
            breach(
                end,
                "neither finished nor unsettled by the day's end".to_string(),
            );
        }
    }

    /// Whether an unsafe step was asked for and nobody was told its result.
    fn may_have_run(&self) -> bool {
        let open = |a: &Asked| {
            a.what == "step" && self.effect(a.step) == "unsafe" && !self.told.contains_key(&a.step)
        };
        self.asked.iter().any(open)
    }

    /// Done steps of claims: when the claim was granted, which step, its result.
    fn shown(&self) -> impl Iterator<Item = (u64, u32, &str)> {
        let steps = self
            .claims
            .iter()
            .flat_map(|c| c.3.steps.iter().map(|s| (c.1, s)));
        steps.filter_map(|(t, s)| Some((t, s.number, s.done()?)))
    }

    /// What was told once is shown to each later claim, and one step has one result.
    fn results(&self, verdict: &mut Verdict) {
        for (step, told) in &self.told {
            let Some((since, result)) = told.first() else {
                continue;
            };
            let again = told.iter().find(|(_, again)| again != result).map(|t| t.0);
            let shown = self
                .shown()
                .find(|(_, s, shown)| s == step && shown != result)
                .map(|s| s.0);
            if let Some(t) = again.or(shown) {
                self.breach(
                    verdict,
                    Rule::NoResultLost,
                    t,
                    format!("two results were told of step {step}"),
                );
            }
            for (_, t, who, claim) in self.claims.iter().filter(|c| c.0 > *since) {
                if !claim.shows(*step, result) {
                    let what = format!(
                        "step {step} was told, and {who} was not shown it under {}",
                        claim.epoch
                    );
                    self.breach(verdict, Rule::NoResultLost, *t, what);
                }
            }
        }
    }

    /// Repeats of keyed steps bear one key; what is known to be done runs no more.
    fn runs_once(&self, facts: &Facts, verdict: &mut Verdict) {
        for (step, runs) in &self.runs {
            let keys: BTreeSet<Option<&str>> = runs
                .iter()
                .map(|a| a.body.idempotency_key.as_deref())
                .collect();
            if self.effect(*step) == "keyed" && (keys.len() > 1 || keys.contains(&None)) {
                let what = format!("keyed step {step} ran under {keys:?}");
                self.breach(verdict, Rule::NoEffectTwice, runs[0].told, what);
            }
            let Some((told, _)) = self.told.get(step).and_then(|t| t.first()) else {
                continue;
            };
            // Of safe and keyed ones a send that was permitted before may still be under way.
            let grace = if self.effect(*step) == "unsafe" {
                0.0
            } else {
                facts.lease_s + SLACK_S
            };
            if let Some(late) = runs.iter().find(|a| a.told > told + us(grace)) {
                let what = format!(
                    "step {step} was sent to {} though its result was told",
                    late.host
                );
                self.breach(verdict, Rule::DoneOnce, late.told, what);
            }
        }
    }

    /// Epochs are given once and rise; what is asked under an older one runs nowhere.
    fn fenced(&self, facts: &Facts, verdict: &mut Verdict) {
        for (i, (asked, t, who, claim)) in self.claims.iter().enumerate() {
            let before = self.claims[..i].iter();
            let wrong = |b: &&(u64, u64, &str, Granted)| {
                // The same worker may be told its own again.
                (b.3.epoch == claim.epoch && b.2 != *who)
                    || (b.1 < *asked && b.3.epoch > claim.epoch)
            };
            if let Some(other) = before.clone().find(wrong) {
                let what = format!(
                    "{who} holds epoch {} after {} held {}",
                    claim.epoch, other.2, other.3.epoch
                );
                self.breach(verdict, Rule::FencedStays, *t, what);
            }
        }
        for one in self
            .asked
            .iter()
            .filter(|a| a.what == "step" && a.epoch > 0)
        {
            let later = self
                .claims
                .iter()
                .filter(|c| c.3.epoch > one.epoch)
                .map(|c| c.1)
                .min();
            let Some(later) = later else { continue };
            let runs = self.runs.get(&one.step).into_iter().flatten();
            for run in runs.filter(|run| one.caused(run)) {
                let from = later.max(one.one.t);
                // What was permitted before the claim may leave until that permission ends.
                let grace = if one.one.t > later {
                    0
                } else {
                    us(facts.lease_s + SLACK_S)
                };
                if one.one.t > later || run.told > from + grace {
                    let what = format!(
                        "step {} under epoch {} was sent to {} after a later claim",
                        one.step, one.epoch, run.host
                    );
                    self.breach(verdict, Rule::FencedStays, run.told, what);
                }
            }
        }
    }
}
