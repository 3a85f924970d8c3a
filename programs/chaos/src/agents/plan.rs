//! Workflows planned ahead from a seed. All workers know the whole plan: who finds one that its worker left goes on with it.

use bitternlatch_invariant_checker::WorkflowFacts;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

/// `[agents]`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agents {
    pub workers: usize,
    pub workflows: usize,
    /// Steps of each.
    pub steps: u32,
    pub unsafe_share: f64,
    pub keyed_share: f64,
    /// Kills, pauses and cuts drawn from the seed, and the seconds within which they begin.
    #[serde(default)]
    pub kills: usize,
    #[serde(default)]
    pub kills_within_s: f64,
    /// Workflows that one worker carries at once.
    #[serde(default = "four")]
    pub at_once: usize,
    /// Seconds between a step's answer and the next step, at the most.
    #[serde(default)]
    pub think_s: f64,
    /// Seconds after which a workflow that nobody ended is held for lost.
    pub within_s: f64,
    /// Classes of the steps: safe, keyed, unsafe.
    #[serde(default = "classes")]
    pub classes: [String; 3],
    #[serde(default = "prompt")]
    pub prompt_tokens: u32,
    #[serde(default = "answer")]
    pub answer_tokens: u32,
}

fn four() -> usize {
    4
}
fn classes() -> [String; 3] {
    ["slot-query", "season-hold", "season-booking"].map(str::to_string)
}
fn prompt() -> u32 {
    200
}
fn answer() -> u32 {
    6
}

/// What a step does to the world, as its class says.
pub const EFFECTS: [&str; 3] = ["safe", "keyed", "unsafe"];

/// One workflow, planned whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Planned {
    pub name: String,
    pub steps: Vec<Step>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// An index into `EFFECTS`.
    pub effect: usize,
    pub text: String,
}

impl Agents {
    /// The first fault.
    ///
    /// # Errors
    /// With its key.
    pub fn check(&self) -> Result<(), String> {
        let counts = [
            ("workers", self.workers, 64),
            ("workflows", self.workflows, 10_000),
        ];
        let more = [
            ("steps", self.steps as usize, 10_000),
            ("at_once", self.at_once, 64),
        ];
        for (key, value, most) in counts.into_iter().chain(more) {
            if !(1..=most).contains(&value) {
                return Err(format!("agents.{key}: {value} is not between 1 and {most}"));
            }
        }
        if !(0.0..=1.0).contains(&(self.unsafe_share + self.keyed_share)) {
            return Err("agents: shares are 0 to 1 together".to_string());
        }
        if !(1.0..=600.0).contains(&self.within_s) {
            return Err(format!(
                "agents.within_s: {} is not between 1 and 600",
                self.within_s
            ));
        }
        Ok(())
    }
}

impl Planned {
    /// What the judge is told of it.
    pub fn facts(&self) -> WorkflowFacts {
        let effect = |step: &Step| EFFECTS[step.effect.min(2)].to_string();
        WorkflowFacts {
            name: self.name.clone(),
            effects: self.steps.iter().map(effect).collect(),
        }
    }
}

/// All workflows of a day; the same for the same seed.
pub fn workflows(agents: &Agents, seed: u64) -> Vec<Planned> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed ^ 0xa9e5);
    let mut share = move || (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let mut step = |of: &str, number: u32| {
        let draw = share();
        let effect = match () {
            () if draw < agents.unsafe_share => 2,
            () if draw < agents.unsafe_share + agents.keyed_share => 1,
            () => 0,
        };
        let words = agents.prompt_tokens as usize * 4;
        let mut text = format!("{of}: which halls are free in week {number}, and what then? ");
        while text.len() < words {
            text.push_str(&format!("{:x} ", (share() * 1e15) as u64));
        }
        // The answer opens with who gave it, so that two runs of a step are told apart.
        let text = format!(
            "{text}[signed][len={}][req={of}.{number}]",
            agents.answer_tokens
        );
        Step { effect, text }
    };
    let one = |n: usize| {
        let name = format!("wf-{n}");
        let steps = (1..=agents.steps)
            .map(|number| step(&name, number))
            .collect();
        Planned { name, steps }
    };
    (1..=agents.workflows).map(one).collect()
}
