//! Start numbers: each start of a member has a larger number than the one before, even if the clock was set back.

use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum size of the start number file, bytes.
const MAX_FILE_BYTES: u64 = 64;

use crate::error::ClusterNetError;

/// Returns the number of this start: the Unix time in milliseconds, or the stored start number plus one if that is larger. The
/// number is stored before it is used, so that two starts from the same folder never have the same number.
///
/// # Errors
/// If the file cannot be read or written, or contains no number. The process must not start with a number that an earlier start
/// may have used.
pub(crate) fn next_start_number(path: Option<&Path>) -> Result<u64, ClusterNetError> {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let Some(path) = path else { return Ok(unix) };
    let file_error = |error| ClusterNetError::StartNumberFile {
        path: path.to_path_buf(),
        error,
    };
    let invalid_number = || ClusterNetError::InvalidStartNumber {
        path: path.to_path_buf(),
    };
    let last = match std::fs::metadata(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => 0,
        Err(e) => return Err(file_error(e)),
        Ok(metadata) if metadata.len() > MAX_FILE_BYTES => return Err(invalid_number()),
        Ok(_) => {
            let text = std::fs::read_to_string(path).map_err(file_error)?;
            text.trim().parse().map_err(|_| invalid_number())?
        }
    };
    let number = unix.max(last + 1);
    write(path, number).map_err(file_error)?;
    Ok(number)
}

/// Stores the number of a later start that has fenced this one, unless the stored number is already as large. Otherwise, after
/// a restore of an older copy of the folder with the clock set back, the next start would again take a smaller number and be
/// fenced too.
///
/// # Errors
/// If the file cannot be written.
pub(crate) fn store_if_later(path: &Path, later: u64) -> std::io::Result<()> {
    let stored = std::fs::read_to_string(path)
        .ok()
        .and_then(|text| text.trim().parse::<u64>().ok());
    match stored {
        Some(stored) if stored >= later => Ok(()),
        _ => write(path, later),
    }
}

/// Writes the start number atomically: a partially written number would prevent the next start.
fn write(path: &Path, number: u64) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    writeln!(file, "{number}")?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)
}

#[cfg(test)]
mod tests;
