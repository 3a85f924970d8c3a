//! Ids: what answers are told apart by, and who counted them.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

/// A model's name, hashed; 0 stands for all models.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelKey(pub u32);

/// A class's name, hashed, as numbers of classes differ between settings; 0 stands for all classes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassKey(pub u32);

/// A tenant, as this process tells them apart; never said to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TenantKey(pub u32);

/// Which lengths of prompts: bins of a factor of four, from 64 tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PromptBin(pub u8);

impl PromptBin {
    /// All prompts.
    pub const ANY: PromptBin = PromptBin(u8::MAX);

    pub fn of(prompt_tokens: u32) -> PromptBin {
        PromptBin((0..5).filter(|i| prompt_tokens >= 64 << (2 * i)).count() as u8)
    }
}

/// Answers that are taken for alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    pub model: ModelKey,
    pub class: ClassKey,
    pub bin: PromptBin,
}

impl Cell {
    /// All answers.
    pub const ALL: Cell = Cell {
        model: ModelKey(0),
        class: ClassKey(0),
        bin: PromptBin::ANY,
    };

    pub fn of(model: ModelKey, class: ClassKey, prompt_tokens: u32) -> Cell {
        Cell {
            model,
            class,
            bin: PromptBin::of(prompt_tokens),
        }
    }

    /// The same with all prompts.
    pub fn whole_class(self) -> Cell {
        Cell {
            bin: PromptBin::ANY,
            ..self
        }
    }
}

/// One start of a process under a name; what it counted is kept apart from what it counted after another start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    pub name: NameKey,
    pub generation: u64,
}

/// The number of a window of one origin and cell, rising.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Number(pub u32);
