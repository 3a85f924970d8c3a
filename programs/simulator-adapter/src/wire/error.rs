//! The errors that end the adapter.

use std::io;
use std::str::Utf8Error;

use bitternlatch_routing_settings::SettingsError;
use thiserror::Error;

/// An error that ends the adapter, with its position in the frame. All but the first two variants indicate a bug in the
/// simulator or in this adapter; the description of the simulator's protocol shows which one.
#[derive(Debug, Error)]
pub enum WireError {
    /// Standard input or standard output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// The settings in a `start` record are invalid; the operator corrects the named key.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings in a `start` record are not UTF-8.
    #[error("the settings are not UTF-8: {0}")]
    SettingsNotUtf8(Utf8Error),
    /// A field extends past the end of its frame.
    #[error("frame ends at byte {end} inside {field} at byte {at}")]
    FrameEnds {
        /// Length of the frame, in bytes.
        end: usize,
        /// Name of the field or of its record.
        field: &'static str,
        /// Offset of the field, in bytes.
        at: usize,
    },
    /// The frame's length differs from the one in its header.
    #[error("frame says {size} bytes but has {found}")]
    FrameSize {
        /// Length in the header, in bytes.
        size: u32,
        /// Actual length, in bytes.
        found: usize,
    },
    /// The clock time of the batch is not finite.
    #[error("the clock is not a finite number")]
    InvalidClock,
    /// A record is invalid.
    #[error("record {index}: {source}")]
    Record {
        /// Index of the record in its frame, from 0.
        index: u32,
        /// The error in the record.
        source: Box<WireError>,
    },
    /// The frame contains more bytes than its records.
    #[error("{bytes} bytes left after {records} records")]
    BytesLeft {
        /// Number of bytes after the last record.
        bytes: usize,
        /// Number of records in the header.
        records: u32,
    },
    /// An event comes before any `at` record, so its instance is unknown.
    #[error("event {code} at byte {at} comes before any instance")]
    NoInstance {
        /// Code of the event.
        code: u8,
        /// Offset of the event, in bytes.
        at: usize,
    },
    /// An event is for an instance that has not been started.
    #[error("event {code} at byte {at} is for instance {instance}, which has not started")]
    NotStarted {
        /// Code of the event.
        code: u8,
        /// Offset of the event, in bytes.
        at: usize,
        /// Number of the instance.
        instance: u16,
    },
    /// An event code is unknown.
    #[error("unknown event code {code} at byte {at}")]
    UnknownEvent {
        /// The unknown event code.
        code: u8,
        /// Offset of the code, in bytes.
        at: usize,
    },
    /// An outcome code is unknown.
    #[error("unknown outcome {code} in {field} at byte {at}")]
    UnknownOutcome {
        /// The unknown outcome code.
        code: u8,
        /// Name of the record.
        field: &'static str,
        /// Offset of the code, in bytes.
        at: usize,
    },
    /// The code of a list form is unknown.
    #[error("unknown list form {code} at byte {at}")]
    UnknownListForm {
        /// The unknown code.
        code: u8,
        /// Offset of the code, in bytes.
        at: usize,
    },
    /// The code of a server status is unknown.
    #[error("unknown health {code} at byte {at}")]
    UnknownHealth {
        /// The unknown code.
        code: u8,
        /// Offset of the code, in bytes.
        at: usize,
    },
    /// The number of a server list is too large.
    #[error("list number {number} at byte {at} is out of range")]
    ListNumber {
        /// Number of the list.
        number: u32,
        /// Offset of the number, in bytes.
        at: usize,
    },
    /// A `view` record refers to a server list that was not sent.
    #[error("view at byte {at} names list {number}, which was never sent")]
    MissingList {
        /// Number of the list.
        number: u32,
        /// Offset of the `view` record's fields, in bytes.
        at: usize,
    },
    /// The input ends within the header of a frame.
    #[error("input ends after {bytes} bytes of a frame's header")]
    HeaderCut {
        /// Number of header bytes received.
        bytes: usize,
    },
    /// The size of a frame is smaller than its header.
    #[error("frame size {size} is shorter than a header")]
    SizeTooSmall {
        /// Frame size in the header, in bytes.
        size: u32,
    },
    /// The input ends within a frame.
    #[error("input ends after {bytes} of a frame's {size} bytes")]
    FrameCut {
        /// Number of bytes received.
        bytes: usize,
        /// Frame size in the header, in bytes.
        size: u32,
    },
}

/// A result with a [`WireError`].
pub type Result<T> = std::result::Result<T, WireError>;
