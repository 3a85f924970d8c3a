//! Why a run had to stop.

use std::io;
use std::str::Utf8Error;

use bitternlatch_routing_settings::SettingsError;
use thiserror::Error;

/// Why a run had to stop: what was wrong and where. All but the first two show a fault of the
/// simulator or of this adapter, to be compared with the wire's page.
#[derive(Debug, Error)]
pub enum WireError {
    /// Standard input or output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// The start settings cannot be read: mend the key that is named.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The start settings are not text.
    #[error("the settings are not UTF-8: {0}")]
    SettingsNotUtf8(Utf8Error),
    /// A field reaches past the frame's end.
    #[error("frame ends at byte {end} inside {field} at byte {at}")]
    FrameEnds {
        /// Length of the frame.
        end: usize,
        /// What was read.
        field: &'static str,
        /// Where it begins.
        at: usize,
    },
    /// The frame's length is not the one that its header names.
    #[error("frame says {named} bytes but has {found}")]
    FrameSize {
        /// By its header.
        named: u32,
        /// In fact.
        found: usize,
    },
    /// The batch has no valid time.
    #[error("the clock is not a finite number")]
    InvalidClock,
    /// A record cannot be read.
    #[error("record {index}: {source}")]
    Record {
        /// The record's number in its frame, from 0.
        index: u32,
        /// What is wrong with it.
        source: Box<WireError>,
    },
    /// The frame holds more than its records.
    #[error("{bytes} bytes left after {records} records")]
    BytesLeft {
        /// How many are left.
        bytes: usize,
        /// How many records there are by the header.
        records: u32,
    },
    /// No `at` record says which instance an event is for.
    #[error("event {code} at byte {at} comes before any instance")]
    NoInstance {
        /// The event's code.
        code: u8,
        /// Where it begins.
        at: usize,
    },
    /// The instance of an event has not started.
    #[error("event {code} at byte {at} is for instance {instance}, which has not started")]
    NotStarted {
        /// The event's code.
        code: u8,
        /// Where it begins.
        at: usize,
        /// The instance.
        instance: u16,
    },
    /// A code that no event has.
    #[error("unknown event code {code} at byte {at}")]
    UnknownEvent {
        /// The code.
        code: u8,
        /// Where it is.
        at: usize,
    },
    /// A code that no outcome has.
    #[error("unknown outcome {code} in {field} at byte {at}")]
    UnknownOutcome {
        /// The code.
        code: u8,
        /// The record.
        field: &'static str,
        /// Where it is.
        at: usize,
    },
    /// A number that no form of a list has.
    #[error("unknown list form {code} at byte {at}")]
    UnknownListForm {
        /// The number.
        code: u8,
        /// Where it is.
        at: usize,
    },
    /// A number that no state of a server has.
    #[error("unknown health {code} at byte {at}")]
    UnknownHealth {
        /// The number.
        code: u8,
        /// Where it is.
        at: usize,
    },
    /// A list's number is too large.
    #[error("list number {number} at byte {at} is out of range")]
    ListNumber {
        /// The number.
        number: u32,
        /// Where its record begins.
        at: usize,
    },
    /// A view refers to a list that was not sent.
    #[error("view at byte {at} names list {number}, which was never sent")]
    MissingList {
        /// The list's number.
        number: u32,
        /// Where the view begins.
        at: usize,
    },
    /// The input ends within a header.
    #[error("input ends after {bytes} bytes of a frame's header")]
    HeaderCut {
        /// Bytes that came.
        bytes: usize,
    },
    /// A frame's size cannot be.
    #[error("frame size {size} is shorter than a header")]
    SizeTooSmall {
        /// The size by its header.
        size: u32,
    },
    /// The input ends within a frame.
    #[error("input ends after {bytes} of a frame's {size} bytes")]
    FrameCut {
        /// Bytes that came.
        bytes: usize,
        /// The size by its header.
        size: u32,
    },
}

/// A result with a [`WireError`].
pub type Result<T> = std::result::Result<T, WireError>;
