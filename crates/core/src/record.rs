//! The record of a dispatcher: its settings, then each input of the machine with the outputs that it produced.
//!
//! A file starts with [`MAGIC`], followed by blocks. A block is the length and the CRC-32 of its data (both u32,
//! little-endian), then the data: zstd-compressed lines of JSON, one [`Entry`] each. A process that is killed leaves at
//! most one torn block at the end; [`read`] returns the entries of all complete blocks and the size of the torn one.

use std::io::{self, Read, Write};

use serde::{Deserialize, Serialize};

use crate::machine::{Machine, TracedDecision};
use crate::settings::{Settings, SettingsError};
use crate::types::{Input, Micros, Output};

/// First bytes of each record: name and version of the format.
pub const MAGIC: &[u8; 8] = b"BLREC\0\0\x01";
/// Size of the buffered entries at which a block is written, uncompressed bytes.
const BLOCK_BYTES: usize = 64 * 1024;
/// Limit on the size of a block that is read, bytes; applies to its compressed and to its uncompressed data.
const MAX_BLOCK_BYTES: u32 = 64 << 20;
/// Compression level of zstd.
const ZSTD_LEVEL: i32 = 1;

/// One entry of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The first entry: what the machine was created from.
    Start {
        /// Text of the settings file (TOML).
        settings: String,
        /// Seed of the machine's random numbers.
        seed: u64,
    },
    /// One call of [`Machine::step`].
    Step {
        /// Clock time of the step.
        at: Micros,
        /// Input of the step.
        input: Input,
        /// Outputs of the step, in order.
        outputs: Vec<Output>,
    },
}

/// Why a record cannot be read or replayed.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// Reading or writing the file failed: check its path, its permissions and the disk.
    #[error("reading or writing failed: {0}")]
    Io(#[from] io::Error),
    /// The file is no record, or one of another format version, which the program that wrote it can replay. Holds the first
    /// bytes of the file.
    #[error("not a record of this version: it begins with {0:02x?}")]
    Magic(Vec<u8>),
    /// A complete block is corrupt: the file was modified or the disk is faulty.
    #[error("block at byte {at}: {cause}")]
    Block {
        /// Byte offset of the block in the file.
        at: u64,
        /// What is wrong with the block.
        cause: String,
    },
    /// The settings entry is not first, or occurs again: the file was assembled from others.
    #[error("the record does not begin with its settings")]
    NoStart,
    /// The settings in the record are not valid in this version.
    #[error("the record's settings: {0}")]
    Settings(#[from] SettingsError),
}

/// Writes a record: buffers entries and writes them in blocks.
pub struct Writer<W: Write> {
    sink: W,
    lines: Vec<u8>,
}

impl<W: Write> Writer<W> {
    /// Starts a record by writing [`MAGIC`].
    ///
    /// # Errors
    /// Writing to the sink failed.
    pub fn new(mut sink: W) -> io::Result<Self> {
        sink.write_all(MAGIC)?;
        Ok(Writer {
            sink,
            lines: Vec::new(),
        })
    }

    /// Appends an entry to the buffer; a full buffer is written as a block.
    ///
    /// # Errors
    /// Writing to the sink failed.
    pub fn append(&mut self, entry: &Entry) -> io::Result<()> {
        serde_json::to_writer(&mut self.lines, entry)?;
        self.lines.push(b'\n');
        if self.lines.len() >= BLOCK_BYTES {
            self.flush()?;
        }
        Ok(())
    }

    /// Returns the sink. Entries that were not flushed are lost.
    pub fn into_inner(self) -> W {
        self.sink
    }

    /// Writes the buffered entries as a block and flushes the sink.
    ///
    /// # Errors
    /// Writing to the sink failed.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.lines.is_empty() {
            return Ok(());
        }
        let compressed = zstd::bulk::compress(&self.lines, ZSTD_LEVEL)?;
        let size = u32::try_from(compressed.len()).map_err(io::Error::other)?;
        let mut block = Vec::with_capacity(compressed.len() + 8);
        block.extend_from_slice(&size.to_le_bytes());
        block.extend_from_slice(&crc32fast::hash(&compressed).to_le_bytes());
        block.extend_from_slice(&compressed);
        self.lines.clear();
        self.sink.write_all(&block)?;
        self.sink.flush()
    }
}

/// The content of a record, as returned by [`read`].
#[derive(Debug)]
pub struct Recorded {
    /// Every entry of the complete blocks, in order.
    pub entries: Vec<Entry>,
    /// Size of the torn last block, bytes; 0 where the last block is complete.
    pub torn_bytes: u64,
}

/// Reads a record.
///
/// # Errors
/// [`RecordError::Magic`] for another format or version; [`RecordError::Block`] where the checksum or the content of a
/// complete block is wrong. A last block that ends early is no error.
pub fn read(mut source: impl Read) -> Result<Recorded, RecordError> {
    let mut data = Vec::new();
    source.read_to_end(&mut data)?;
    let head = &data[..data.len().min(MAGIC.len())];
    if head != MAGIC {
        return Err(RecordError::Magic(head.to_vec()));
    }
    let mut recorded = Recorded {
        entries: Vec::new(),
        torn_bytes: 0,
    };
    let mut at = MAGIC.len();
    while at < data.len() {
        match parse_block(&data[at..]) {
            ParsedBlock::Torn => {
                recorded.torn_bytes = (data.len() - at) as u64;
                break;
            }
            ParsedBlock::Corrupt(cause) => {
                return Err(RecordError::Block {
                    at: at as u64,
                    cause,
                })
            }
            ParsedBlock::Complete(size, entries) => {
                at += size;
                recorded.entries.extend(entries);
            }
        }
    }
    Ok(recorded)
}

/// The result of parsing the block at the start of some data.
enum ParsedBlock {
    /// The data end before the block does.
    Torn,
    /// The block is complete but invalid, for this cause.
    Corrupt(String),
    /// Size of the block with its header, bytes, and its entries.
    Complete(usize, Vec<Entry>),
}

fn parse_block(data: &[u8]) -> ParsedBlock {
    let read_u32 = |i: usize| {
        data.get(i..i + 4)
            .and_then(|b| b.try_into().ok())
            .map(u32::from_le_bytes)
    };
    let (Some(size), Some(checksum)) = (read_u32(0), read_u32(4)) else {
        return ParsedBlock::Torn;
    };
    if size > MAX_BLOCK_BYTES {
        return ParsedBlock::Corrupt(format!(
            "length {size} exceeds the limit of {MAX_BLOCK_BYTES}"
        ));
    }
    let Some(compressed) = data.get(8..8 + size as usize) else {
        return ParsedBlock::Torn;
    };
    if crc32fast::hash(compressed) != checksum {
        return ParsedBlock::Corrupt("checksum mismatch".to_string());
    }
    let lines = match zstd::bulk::decompress(compressed, MAX_BLOCK_BYTES as usize) {
        Ok(lines) => lines,
        Err(e) => return ParsedBlock::Corrupt(format!("decompression failed: {e}")),
    };
    let entries = lines
        .split(|b| *b == b'\n')
        .filter(|l| !l.is_empty())
        .map(serde_json::from_slice)
        .collect();
    match entries {
        Ok(entries) => ParsedBlock::Complete(8 + size as usize, entries),
        Err(e) => ParsedBlock::Corrupt(format!("invalid entry: {e}")),
    }
}

/// The first difference between a record and its replay.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Number of the step, from 1.
    pub step: usize,
    /// Clock time of the step.
    pub at: Micros,
    /// Input of the step.
    pub input: Input,
    /// Number of the output within the step, from 1.
    pub output: usize,
    /// The recorded output; `None` where the replay produced an additional one.
    pub recorded: Option<Output>,
    /// The replayed output; `None` where the record has an additional one.
    pub replayed: Option<Output>,
}

/// The result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replay {
    /// Number of steps replayed, including one that differs.
    pub steps: usize,
    /// Number of outputs produced by the replayed steps.
    pub outputs: usize,
    /// The first difference from the record; `None` where the replay is equal.
    pub difference: Option<Difference>,
    /// Events and actions of the decision module; empty unless the trace was requested.
    pub trace: Vec<TracedDecision>,
}

/// Steps a new machine through the inputs of a record and compares its outputs with the recorded ones, up to the first that
/// differs.
///
/// # Errors
/// [`RecordError::NoStart`] where the record does not start with its settings; [`RecordError::Settings`] where these are
/// invalid.
pub fn replay(recorded: &Recorded, with_trace: bool) -> Result<Replay, RecordError> {
    let Some((Entry::Start { settings, seed }, steps)) = recorded.entries.split_first() else {
        return Err(RecordError::NoStart);
    };
    let mut machine = Machine::new(Settings::parse("record", settings)?, *seed);
    if with_trace {
        machine.enable_trace();
    }
    let mut result = Replay::default();
    for entry in steps {
        let Entry::Step { at, input, outputs } = entry else {
            return Err(RecordError::NoStart);
        };
        let mut replayed = Vec::new();
        machine.step(*at, input.clone(), &mut replayed);
        result.steps += 1;
        result.outputs += replayed.len();
        result.trace.extend(machine.take_trace());
        if let Some(i) = first_difference(outputs, &replayed) {
            result.difference = Some(Difference {
                step: result.steps,
                at: *at,
                input: input.clone(),
                output: i + 1,
                recorded: outputs.get(i).cloned(),
                replayed: replayed.get(i).cloned(),
            });
            break;
        }
    }
    Ok(result)
}

/// Position of the first output that differs, or that only one of the lists has.
fn first_difference(a: &[Output], b: &[Output]) -> Option<usize> {
    (0..a.len().max(b.len())).find(|i| a.get(*i) != b.get(*i))
}
