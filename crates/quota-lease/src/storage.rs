//! What a service keeps on disk, and why that can fail.

/// Names and values that were on disk.
pub type StoredEntries = Vec<(Vec<u8>, Vec<u8>)>;

/// Why something is not on disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// No space is left; writes succeed again once there is some.
    #[error("the disk is full")]
    Full,
    /// The file cannot be read or written, or holds what was never written.
    #[error("what is kept cannot be written: {0}")]
    Io(String),
    /// The settings name no file.
    #[error("there is no disk to keep it on")]
    NoDisk,
}

impl StorageError {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            StorageError::Full => "free space on the disk that holds the kept files; it goes on by itself",
            StorageError::Io(_) => {
                "look at the disk and the rights of the kept files' folder, then start the process again"
            }
            StorageError::NoDisk => "name a file under 'kept' in the settings to let this survive a restart",
        }
    }
}
