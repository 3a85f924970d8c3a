//! Judges the five rules from frames captured at the clients' and the hosts' own sockets.
//!
//! Nothing that a dispatcher says of itself is believed: requests are followed by marks in their prompts
//! (`[req=NAME]`), which hosts receive as clients wrote them.

mod answers;
mod hosts;
mod load;
mod workflows;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use bitternlatch_mock_engine::capture::Line;
use serde::{Deserialize, Serialize};

pub use load::{quantile, Load, Part, Recovery};

/// What is allowed for times on a loaded machine beyond each rule's own figure, seconds.
pub const SLACK_S: f64 = 0.25;

/// What the day was made of: facts of the script, known before any dispatcher ran.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Facts {
    pub classes: Vec<ClassFacts>,
    pub hosts: Vec<HostFacts>,
    pub drain_grace_s: f64,
    pub pin_limit_s: f64,
    /// Longest time from a change of the list file to its being taken, seconds.
    pub list_s: f64,
    pub cold: ColdFacts,
    /// Dispatchers killed by the script: when (Unix µs), and which.
    pub kills: Vec<(u64, String)>,
    /// Hosts told to drain by the list: when the file was written, and which.
    pub list_drains: Vec<(u64, String)>,
    /// Hosts that the list no longer tells to drain: when the file was written, and which.
    pub list_ready: Vec<(u64, String)>,
    /// Hosts taken down by the script: when, and which.
    pub downs: Vec<(u64, String)>,
    /// Dispatchers and workers that the script paused, or kept away otherwise: from, to, and which.
    #[serde(default)]
    pub away: Vec<(u64, u64, String)>,
    /// Troubles of the script: from, to, and which.
    #[serde(default)]
    pub troubles: Vec<(u64, u64, String)>,
    /// Workflows that the day's workers carry.
    #[serde(default)]
    pub workflows: Vec<WorkflowFacts>,
    /// How long a worker carries one without a word, seconds.
    #[serde(default)]
    pub lease_s: f64,
}

/// A workflow as it is planned; its steps are marked `NAME.1` and so on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkflowFacts {
    pub name: String,
    /// `safe`, `keyed` or `unsafe`, a step.
    pub effects: Vec<String>,
}

impl WorkflowFacts {
    /// The mark of a step's request.
    pub fn mark(&self, step: usize) -> String {
        format!("{}.{step}", self.name)
    }

    fn unsafe_marks(&self) -> impl Iterator<Item = String> + '_ {
        let steps = self
            .effects
            .iter()
            .enumerate()
            .filter(|(_, effect)| *effect == "unsafe");
        steps.map(|(i, _)| self.mark(i + 1))
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassFacts {
    pub name: String,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    pub deadline_s: f64,
    pub worth: f64,
    pub late_worth: f64,
    pub ttft_aim_s: f64,
    pub ttft_aim_ms_per_1000_tokens: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostFacts {
    pub name: String,
    pub read_tokens_per_s: f64,
    pub token_gap_s: f64,
    pub slots: usize,
    /// Seconds that each running answer adds to a step; facts of before know none.
    #[serde(default)]
    pub sequence_step_s: f64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ColdFacts {
    pub start_capacity: f64,
    pub warm_after_s: f64,
    pub overload_factor: f64,
    pub window_s: f64,
}

/// One of the five rules, or of those that hold for workflows besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    NoRequestLost,
    NoEffectTwice,
    DrainsKept,
    NoColdHostPushedOver,
    NothingLeftPinned,
    /// Each workflow is finished, or unsettled with an unsafe step that may have run.
    WorkflowsEnd,
    /// What a worker was told of a step's result is shown to whoever claims the workflow later, alike.
    NoResultLost,
    /// A step whose result was told is not run again.
    DoneOnce,
    /// Once a later epoch was told, an older one does nothing.
    FencedStays,
}

/// One breach, with what it is about and when.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    pub rule: Rule,
    pub t: u64,
    pub what: String,
}

/// What clients got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    pub asked: usize,
    pub tries: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Tries whose session or dispatcher ended first.
    pub cut_off: usize,
    /// Worth answered in time over worth asked for, a client's repeats counted as its first try.
    pub worth: f64,
}

/// The verdict on one day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    pub service: Service,
    /// Times to first token of served requests, seconds from the first try, sorted.
    pub ttft_s: Vec<f64>,
    pub load: Load,
    pub frames: usize,
    pub workflows: Tally,
}

/// What became of a day's workflows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    pub planned: usize,
    pub finished: usize,
    pub unsettled: usize,
    pub parked: usize,
    /// Claims that were granted, and those of them by another than the worker before.
    pub claims: usize,
    pub taken_over: usize,
    /// Steps whose result was told to a worker.
    pub told: usize,
    /// Requests refused for an older epoch.
    pub fenced: usize,
    /// Runs of steps at tool hosts.
    pub runs: usize,
}

impl Verdict {
    /// Number of breaches by rule, all rules named.
    pub fn by_rule(&self) -> BTreeMap<Rule, usize> {
        use Rule::*;
        let five = [
            NoRequestLost,
            NoEffectTwice,
            DrainsKept,
            NoColdHostPushedOver,
            NothingLeftPinned,
        ];
        let workflows = [WorkflowsEnd, NoResultLost, DoneOnce, FencedStays];
        let rules = five.into_iter().chain(workflows);
        rules
            .map(|r| (r, self.breaches.iter().filter(|b| b.rule == r).count()))
            .collect()
    }
}

/// Judges captures; lines may come in any order.
pub fn judge(facts: &Facts, mut clients: Vec<Line>, mut hosts: Vec<Line>) -> Verdict {
    clients.sort_by_key(|l| l.t);
    hosts.sort_by_key(|l| l.t);
    let mut verdict = Verdict {
        frames: clients.len() + hosts.len(),
        ..Verdict::default()
    };
    let seen = hosts::Seen::of(&hosts);
    let tries = answers::judge(facts, &clients, &seen, &mut verdict);
    verdict.load = load::judge(facts, &tries, &hosts, &seen);
    workflows::judge(facts, &tries, &seen, &mut verdict);
    hosts::judge(facts, &hosts, &seen, &mut verdict);
    verdict.breaches.sort_by_key(|b| b.t);
    verdict
}

/// Reads a capture file.
///
/// # Errors
/// Where a line cannot be read, with its number.
pub fn read_lines(path: &Path) -> Result<Vec<Line>, String> {
    let shown = path.display();
    let file = File::open(path).map_err(|e| format!("{shown}: {e}"))?;
    let parse = |(i, line): (usize, std::io::Result<String>)| {
        let line = line.map_err(|e| format!("{shown}:{}: {e}", i + 1))?;
        serde_json::from_str(&line).map_err(|e| format!("{shown}:{}: {e}", i + 1))
    };
    BufReader::new(file)
        .lines()
        .enumerate()
        .map(parse)
        .collect()
}

/// Judges a day's folder: `facts.json`, `clients.jsonl` and `hosts.jsonl`.
///
/// # Errors
/// A file that is missing or broken.
pub fn judge_dir(dir: &Path) -> Result<Verdict, String> {
    let path = dir.join("facts.json");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let facts: Facts =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let clients = read_lines(&dir.join("clients.jsonl"))?;
    Ok(judge(
        &facts,
        clients,
        read_lines(&dir.join("hosts.jsonl"))?,
    ))
}

/// The mark of the request that a prompt ends with.
pub(crate) fn mark(prompt: &str) -> Option<&str> {
    let rest = &prompt[prompt.rfind("[req=")? + 5..];
    rest.split(']').next()
}

pub(crate) fn us(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
