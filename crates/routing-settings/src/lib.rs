//! Reads the start settings of a dispatcher.
//!
//! The simulator's protocol carries the settings as `key=value` lines, the platform's configuration
//! as nested JSON. Both are converted to the same [`RawSettings`], which the `read_*` functions
//! interpret.

mod bounds;
mod error;
mod facts;
mod names;
mod router_settings;

pub use self::bounds::{read_bounds, Bounds};
pub use self::error::SettingsError;
pub use self::facts::RawSettings;
pub use self::names::{read_names, Names};
pub use self::router_settings::read_settings;
