//! A store of few, small things in one file, replaced whole: written beside it, made durable, renamed over it. So the file is
//! the one before or the one after, and a checksum tells where the disk kept neither.

use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use bitternlatch_quota_lease::{StorageError, StoredEntries};
use crc32fast::hash;

use crate::service::{Batch, Store};

/// What each file begins with: four letters and a version.
const HEAD: &[u8] = b"bls1";
/// Longest file that is read or written, bytes.
const FILE_BYTES: u64 = 16 * 1024 * 1024;

/// See the module's front.
pub struct SnapshotStore {
    path: PathBuf,
    kept: StoredEntries,
}

impl SnapshotStore {
    pub fn new(path: PathBuf) -> SnapshotStore {
        SnapshotStore { path, kept: vec![] }
    }

    fn failed(&self, e: &std::io::Error) -> StorageError {
        match e.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded => StorageError::Full,
            _ => StorageError::Io(format!("{}: {e}", self.path.display())),
        }
    }
}

fn encode(kept: &StoredEntries) -> Vec<u8> {
    let mut body = vec![];
    for (name, bytes) in kept {
        for part in [name, bytes] {
            body.extend((part.len() as u64).to_le_bytes());
            body.extend(part);
        }
    }
    [HEAD, &hash(&body).to_le_bytes(), &body].concat()
}

fn decode(file: &[u8]) -> Option<StoredEntries> {
    let (sum, mut rest) = file.strip_prefix(HEAD)?.split_first_chunk::<4>()?;
    if hash(rest) != u32::from_le_bytes(*sum) {
        return None;
    }
    let mut parts = vec![];
    while let Some((length, more)) = rest.split_first_chunk::<8>() {
        let (part, more) =
            more.split_at_checked(usize::try_from(u64::from_le_bytes(*length)).ok()?)?;
        parts.push(part.to_vec());
        rest = more;
    }
    let pairs = parts.chunks_exact(2);
    (rest.is_empty() && pairs.remainder().is_empty()).then(|| {
        pairs
            .map(|pair| (pair[0].clone(), pair[1].clone()))
            .collect()
    })
}

fn write_whole(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    // The name is durable once its folder is.
    let folder = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

impl Store for SnapshotStore {
    fn load(&mut self) -> Result<StoredEntries, StorageError> {
        let bad = |why: &str| StorageError::Io(format!("{}: {why}", self.path.display()));
        match std::fs::metadata(&self.path) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(vec![]),
            Err(e) => return Err(self.failed(&e)),
            Ok(about) if about.len() > FILE_BYTES => return Err(bad("larger than any snapshot")),
            Ok(_) => {}
        }
        let file = std::fs::read(&self.path).map_err(|e| self.failed(&e))?;
        self.kept = decode(&file).ok_or_else(|| bad("torn, emptied, or of another version"))?;
        Ok(self.kept.clone())
    }

    fn put(&mut self, batch: Batch) -> Result<(), StorageError> {
        let mut kept = self.kept.clone();
        for (name, bytes) in batch {
            kept.retain(|known| known.0 != name);
            kept.extend(bytes.map(|bytes| (name, bytes)));
        }
        let file = encode(&kept);
        if file.len() as u64 > FILE_BYTES {
            return Err(StorageError::Io(
                "a snapshot too large to be read back".to_string(),
            ));
        }
        write_whole(&self.path, &file).map_err(|e| self.failed(&e))?;
        self.kept = kept;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
