//! A store for a few small entries in one file. Each write replaces the file: the new content is written to a temporary file,
//! synced, and renamed over the old file. After a crash the file has either the old or the new content; a checksum detects a file
//! that the disk damaged.

use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use bitternlatch_quota_lease::{StorageError, StoredEntries};
use crc32fast::hash;

use crate::service::{Batch, Store};

/// The first bytes of a snapshot file: the format and its version.
const MAGIC: &[u8] = b"bls1";
/// Maximum size of a snapshot file, bytes.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// A [`Store`] that keeps all entries in memory and in one file, which each write replaces atomically.
pub struct SnapshotStore {
    path: PathBuf,
    entries: StoredEntries,
}

impl SnapshotStore {
    pub fn new(path: PathBuf) -> SnapshotStore {
        SnapshotStore {
            path,
            entries: vec![],
        }
    }

    fn storage_error(&self, e: &std::io::Error) -> StorageError {
        match e.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded => StorageError::Full,
            _ => StorageError::Io(format!("{}: {e}", self.path.display())),
        }
    }
}

fn encode(entries: &StoredEntries) -> Vec<u8> {
    let mut body = vec![];
    for (name, bytes) in entries {
        for field in [name, bytes] {
            body.extend((field.len() as u64).to_le_bytes());
            body.extend(field);
        }
    }
    [MAGIC, &hash(&body).to_le_bytes(), &body].concat()
}

fn decode(file: &[u8]) -> Option<StoredEntries> {
    let (checksum, mut rest) = file.strip_prefix(MAGIC)?.split_first_chunk::<4>()?;
    if hash(rest) != u32::from_le_bytes(*checksum) {
        return None;
    }
    let mut fields = vec![];
    while let Some((length, more)) = rest.split_first_chunk::<8>() {
        let (field, more) =
            more.split_at_checked(usize::try_from(u64::from_le_bytes(*length)).ok()?)?;
        fields.push(field.to_vec());
        rest = more;
    }
    let pairs = fields.chunks_exact(2);
    (rest.is_empty() && pairs.remainder().is_empty()).then(|| {
        pairs
            .map(|pair| (pair[0].clone(), pair[1].clone()))
            .collect()
    })
}

fn replace_file(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = PathBuf::from(temporary);
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    // A rename is durable only after the directory has been synced.
    let directory = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()
}

impl Store for SnapshotStore {
    fn load(&mut self) -> Result<StoredEntries, StorageError> {
        let invalid = |reason: &str| StorageError::Io(format!("{}: {reason}", self.path.display()));
        match std::fs::metadata(&self.path) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(vec![]),
            Err(e) => return Err(self.storage_error(&e)),
            Ok(metadata) if metadata.len() > MAX_FILE_BYTES => {
                return Err(invalid("the file is too large for a snapshot"))
            }
            Ok(_) => {}
        }
        let file = std::fs::read(&self.path).map_err(|e| self.storage_error(&e))?;
        self.entries = decode(&file)
            .ok_or_else(|| invalid("the snapshot is damaged or of another version"))?;
        Ok(self.entries.clone())
    }

    fn put(&mut self, batch: Batch) -> Result<(), StorageError> {
        let mut entries = self.entries.clone();
        for (name, bytes) in batch {
            entries.retain(|entry| entry.0 != name);
            entries.extend(bytes.map(|bytes| (name, bytes)));
        }
        let file = encode(&entries);
        if file.len() as u64 > MAX_FILE_BYTES {
            return Err(StorageError::Io(
                "the snapshot would exceed the maximum file size".to_string(),
            ));
        }
        replace_file(&self.path, &file).map_err(|e| self.storage_error(&e))?;
        self.entries = entries;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
