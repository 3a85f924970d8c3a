//! The simulator's protocol: framing, records and the map of instances. It makes no routing decisions.

mod adapter;
pub(crate) mod codes;
mod cursor;
mod error;
mod lists;
mod records;
mod reply;
mod serve;

pub use self::adapter::{parse_settings, Adapter};
pub use self::error::WireError;
pub use self::reply::encode_reply;
pub use self::serve::serve;

#[cfg(test)]
mod tests;
