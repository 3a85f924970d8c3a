//! Makes bills from the journals of charges that dispatchers write.

pub mod reconcile;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use bitternlatch_budget::charge::{BillLine, Entries, InsertOutcome};
use bitternlatch_journal::Journal;
use jiff::civil::{Date, DateTime};
use jiff::tz::TimeZone;
use serde::Serialize;

/// Reads the entries of several journals into one set. Also returns a description of each entry that contradicts an
/// earlier entry for the same response.
///
/// # Errors
/// A journal that does not exist or cannot be read, with its path.
pub fn read_journals(journals: &[PathBuf]) -> Result<(Entries, Vec<String>), String> {
    let (mut all, mut contradictions) = (Entries::default(), Vec::new());
    for path in journals {
        // `Journal::open` would create a missing file.
        if !path.exists() {
            return Err(format!("{}: no such file", path.display()));
        }
        let journal = Journal::open(path).map_err(|e| e.to_string())?;
        let entries = journal
            .entries()
            .map_err(|e| format!("{}: {e}", path.display()))?;
        for entry in entries.latest() {
            if all.insert(entry.clone()) == InsertOutcome::Conflict {
                contradictions.push(format!("{} in {}", entry.response, path.display()));
            }
        }
    }
    Ok((all, contradictions))
}

/// Returns the time at which a day starts in a time zone, in microseconds since the Unix epoch.
///
/// # Errors
/// An invalid day or an unknown time zone.
pub fn day_start_us(day: &str, zone: &str) -> Result<u64, String> {
    let date: Date = day.parse().map_err(|e| format!("'{day}': {e}"))?;
    let zone = TimeZone::get(zone).map_err(|e| e.to_string())?;
    let start = zone
        .to_timestamp(DateTime::from(date))
        .map_err(|e| e.to_string())?;
    u64::try_from(start.as_microsecond()).map_err(|_| format!("'{day}' is before 1970"))
}

/// One row of a bill: the sums for one tenant and request class. The `possibly_` fields count the requests whose use is not
/// known and the most tokens that they can have used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    pub tenant: String,
    pub class: String,
    pub requests: u64,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    pub possibly_requests: u64,
    pub possibly_tokens: u64,
}

/// Converts a bill to rows, ordered by tenant and class.
pub fn rows(bill: &BTreeMap<(String, String), BillLine>) -> Vec<Row> {
    let row = |((tenant, class), line): (&(String, String), &BillLine)| Row {
        tenant: tenant.clone(),
        class: class.clone(),
        requests: line.requests,
        prompt_tokens: line.prompt,
        output_tokens: line.output,
        possibly_requests: line.possibly,
        possibly_tokens: line.possibly_tokens,
    };
    bill.iter().map(row).collect()
}

/// Reads the token counts of model servers from a capture file.
///
/// # Errors
/// A file that cannot be read, or its first invalid line, with the line number.
pub fn read_capture(path: &Path) -> Result<reconcile::ServerCounts, String> {
    let file_name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{file_name}: {e}"))?;
    let mut counts = reconcile::ServerCounts::default();
    for (i, line) in text.lines().enumerate() {
        counts
            .add_line(line)
            .map_err(|e| format!("{file_name}:{}: {e}", i + 1))?;
    }
    Ok(counts)
}
