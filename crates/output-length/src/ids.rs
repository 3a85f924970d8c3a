//! Keys of the groups of similar requests whose output lengths are estimated together, and ids of the processes and windows
//! that counted responses.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

/// The hash of a model's name; 0 stands for all models.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelKey(pub u32);

/// The hash of a request class's name; 0 stands for all classes. Names are hashed because the numbers of classes differ between
/// the settings of dispatchers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassKey(pub u32);

/// A tenant's number in this process; never sent to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TenantKey(pub u32);

/// A range of prompt lengths. Range 0 holds prompts below 64 tokens; each further lower bound is four times the one before, up
/// to range 5, from 16384 tokens on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PromptBin(pub u8);

impl PromptBin {
    /// Prompts of any length.
    pub const ANY: PromptBin = PromptBin(u8::MAX);

    pub fn of(prompt_tokens: u32) -> PromptBin {
        PromptBin((0..5).filter(|i| prompt_tokens >= 64 << (2 * i)).count() as u8)
    }
}

/// A group of requests whose output lengths are estimated together: same model, same class and similar prompt length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    pub model: ModelKey,
    pub class: ClassKey,
    #[serde(rename = "bin")]
    pub prompt_bin: PromptBin,
}

impl Cell {
    /// The cell of all requests.
    pub const ALL: Cell = Cell {
        model: ModelKey(0),
        class: ClassKey(0),
        prompt_bin: PromptBin::ANY,
    };

    pub fn of(model: ModelKey, class: ClassKey, prompt_tokens: u32) -> Cell {
        Cell {
            model,
            class,
            prompt_bin: PromptBin::of(prompt_tokens),
        }
    }

    /// The cell of the same model and class for prompts of any length.
    pub fn any_prompt(self) -> Cell {
        Cell {
            prompt_bin: PromptBin::ANY,
            ..self
        }
    }
}

/// One incarnation of a member that counts responses. What it counted is stored separately from what the same member counted
/// in its other incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    #[serde(rename = "name")]
    pub member: NameKey,
    #[serde(rename = "generation")]
    pub incarnation: u64,
}

/// The number of a window among those of one origin and cell; each new window gets the next higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WindowNumber(pub u32);
