//! The start settings of a dispatcher. The simulator's wire gives them as path=value lines, the platform's
//! configuration as nested JSON; both become the same [`Facts`], and one reader gives them their meaning.

mod facts;
mod read;

pub use facts::{Facts, SettingsError};
pub use read::{read_bounds, read_names, read_settings, Bounds, Names};
