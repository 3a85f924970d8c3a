//! The entries that a service stores on disk, and the errors of storing them.

/// Names and values of the entries stored on disk.
pub type StoredEntries = Vec<(Vec<u8>, Vec<u8>)>;

/// Why an entry could not be stored or loaded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// The disk is full. Writes succeed again once there is free space.
    #[error("the disk is full")]
    Full,
    /// The storage file cannot be read or written, or is corrupt.
    #[error("storage file error: {0}")]
    Io(String),
    /// No storage file is configured.
    #[error("no storage file is configured")]
    NoDisk,
}

impl StorageError {
    /// What an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            StorageError::Full => "free space on the disk of the storage files; writes then resume without a restart",
            StorageError::Io(_) => {
                "check the disk and the permissions of the storage directory, then restart the process"
            }
            StorageError::NoDisk => "set a file under 'kept' in the settings to store this state across restarts",
        }
    }
}
