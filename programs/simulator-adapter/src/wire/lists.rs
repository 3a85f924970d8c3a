//! The numbered lists of servers that the instances of a process refer to.

use std::collections::BTreeMap;

use bitternlatch_policy::interface::ServerEntry;

use super::cursor::Cursor;
use super::error::{Result, WireError};
use super::records::read_entry;

/// Lists have the numbers below this one.
const LIST_NUMBERS: u32 = 16;

/// The newest list by number.
#[derive(Debug, Default)]
pub struct Lists(BTreeMap<u32, Vec<ServerEntry>>);

impl Lists {
    /// Takes in an `inventory` record after its code.
    pub fn read(&mut self, cursor: &mut Cursor) -> Result<()> {
        let at = cursor.position();
        let number = cursor.u32("inventory")?;
        if number >= LIST_NUMBERS {
            return Err(WireError::ListNumber { number, at });
        }
        let count = cursor.u32("inventory")?;
        // The count alone reserves no memory.
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(read_entry(cursor)?);
        }
        self.0.insert(number, entries);
        Ok(())
    }

    /// The newest list with a number.
    pub fn get(&self, number: u32) -> Option<&[ServerEntry]> {
        self.0.get(&number).map(Vec::as_slice)
    }
}
