//! Bills from journals of charges.

pub mod reconcile;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use bitternlatch_budget::charge::{BillLine, Entries, InsertOutcome};
use bitternlatch_journal::Journal;
use jiff::civil::{Date, DateTime};
use jiff::tz::TimeZone;
use serde::Serialize;

/// Entries of several journals as one. Entries that contradict each other are told.
///
/// # Errors
/// A journal that is not there or cannot be read, with its file.
pub fn gather(journals: &[PathBuf]) -> Result<(Entries, Vec<String>), String> {
    let (mut all, mut contradictions) = (Entries::default(), Vec::new());
    for path in journals {
        // Opening would make one that is not there.
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

/// Unix microseconds at which a day begins in a zone.
///
/// # Errors
/// A day or zone that is none.
pub fn begin_of(day: &str, zone: &str) -> Result<u64, String> {
    let date: Date = day.parse().map_err(|e| format!("'{day}': {e}"))?;
    let zone = TimeZone::get(zone).map_err(|e| e.to_string())?;
    let at = zone
        .to_timestamp(DateTime::from(date))
        .map_err(|e| e.to_string())?;
    u64::try_from(at.as_microsecond()).map_err(|_| format!("'{day}' is before 1970"))
}

/// One row of a bill.
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

/// The rows of a bill, by tenant and class.
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

/// Reads a capture of hosts into counts.
///
/// # Errors
/// A file that cannot be read, or the first line that is none of a capture, by its number.
pub fn counts(path: &Path) -> Result<reconcile::Counts, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    let mut counts = reconcile::Counts::default();
    for (i, line) in text.lines().enumerate() {
        counts
            .take(line)
            .map_err(|e| format!("{shown}:{}: {e}", i + 1))?;
    }
    Ok(counts)
}
