//! The numbered server lists that the `view` records of all instances refer to.

use std::collections::BTreeMap;

use bitternlatch_policy::interface::ServerEntry;

use super::cursor::Cursor;
use super::error::{Result, WireError};
use super::records::read_entry;

/// Valid list numbers are below this one.
const MAX_LISTS: u32 = 16;

/// The latest server list under each number.
#[derive(Debug, Default)]
pub struct Lists(BTreeMap<u32, Vec<ServerEntry>>);

impl Lists {
    /// Reads an `inventory` record, whose code has been read already, and stores its list.
    pub fn read(&mut self, cursor: &mut Cursor) -> Result<()> {
        let at = cursor.position();
        let number = cursor.u32("inventory")?;
        if number >= MAX_LISTS {
            return Err(WireError::ListNumber { number, at });
        }
        let count = cursor.u32("inventory")?;
        // No memory is reserved from the count, which may be wrong; the list grows as entries are read.
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(read_entry(cursor)?);
        }
        self.0.insert(number, entries);
        Ok(())
    }

    /// Returns the latest list stored under a number.
    pub fn get(&self, number: u32) -> Option<&[ServerEntry]> {
        self.0.get(&number).map(Vec::as_slice)
    }
}
