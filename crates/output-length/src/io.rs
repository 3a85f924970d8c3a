//! What the core tells and is told; recorded.

use serde::{Deserialize, Serialize};

use crate::curve::Curve;
use crate::ids::{Cell, ClassKey, ModelKey, TenantKey};

/// `[cluster.lengths]`; the table switches it on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Where what was learnt is kept, relative to the settings file; without it a restart asks peers alone.
    pub kept: Option<String>,
}

/// Why an answer is no longer than it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It was whole.
    Whole,
    /// It met its ceiling: whole it would have been longer.
    Ceiling,
    /// Its client left: how long it would have been is not known.
    Left,
}

/// One answer that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    pub model: ModelKey,
    pub class: ClassKey,
    pub tenant: TenantKey,
    pub prompt_tokens: u32,
    /// Most tokens that it was allowed.
    pub ceiling: u32,
    /// As its host reports; as far as it came where its client left.
    pub tokens: u32,
    /// Bytes of its text.
    pub bytes: u32,
    pub end: End,
    /// The p90 that was told of it when it came.
    pub told: Option<u32>,
    /// Whose report it is.
    pub host: String,
}

/// By the core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Ended(Ended),
}

/// To the core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    /// What to expect in these cells from now on.
    Curves(Vec<(Cell, Curve)>),
}
