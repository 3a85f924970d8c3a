//! The number of this start: later ones are larger, whatever the clock says.

use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Longest file that is read, bytes.
const FILE_BYTES: u64 = 64;

use crate::error::ClusterNetError;

/// The clock's milliseconds, or one more than the start that the file tells of if that is later; written there
/// before it is used, so that no two starts of one folder have one number.
///
/// # Errors
/// Where the file cannot be read or written, or holds no number; a start that could pass for an earlier one is none.
pub(crate) fn number(kept: Option<&Path>) -> Result<u64, ClusterNetError> {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let Some(path) = kept else { return Ok(unix) };
    let bad = |error| ClusterNetError::StartNumberFile {
        path: path.to_path_buf(),
        error,
    };
    let no_number = || ClusterNetError::InvalidStartNumber {
        path: path.to_path_buf(),
    };
    let last = match std::fs::metadata(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => 0,
        Err(e) => return Err(bad(e)),
        Ok(about) if about.len() > FILE_BYTES => return Err(no_number()),
        Ok(_) => {
            let text = std::fs::read_to_string(path).map_err(bad)?;
            text.trim().parse().map_err(|_| no_number())?
        }
    };
    let number = unix.max(last + 1);
    write(path, number).map_err(bad)?;
    Ok(number)
}

/// Keeps the number of a start that has taken this one's place: with an older copy of its folder and a clock set back the next
/// start would else be taken for an earlier one again, and again end.
///
/// # Errors
/// As the file's.
pub(crate) fn raise(path: &Path, later: u64) -> std::io::Result<()> {
    let kept = std::fs::read_to_string(path)
        .ok()
        .and_then(|text| text.trim().parse::<u64>().ok());
    match kept {
        Some(kept) if kept >= later => Ok(()),
        _ => write(path, later),
    }
}

/// Whole or not at all: a torn number would stop the next start.
fn write(path: &Path, number: u64) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    writeln!(file, "{number}")?;
    file.sync_all()?;
    std::fs::rename(&beside, path)
}

#[cfg(test)]
mod tests;
