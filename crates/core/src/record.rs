//! The record of a dispatcher: its settings, and each input with the outputs that it gave.
//!
//! A file begins with [`MAGIC`] and holds blocks: length and CRC-32 of the bytes that follow (both u32, little-endian),
//! then zstd over lines of JSON, an [`Entry`] each. A process that is killed leaves at most one torn block at the end;
//! [`read`] gives all whole ones before it and says what it cut.

use std::io::{self, Read, Write};

use serde::{Deserialize, Serialize};

use crate::machine::{Machine, TracedDecision};
use crate::settings::{Settings, SettingsError};
use crate::types::{Input, Micros, Output};

/// Name and version of the format.
pub const MAGIC: &[u8; 8] = b"BLREC\0\0\x01";
/// Bytes of entries gathered before a block is written.
const BLOCK_BYTES: usize = 64 * 1024;
/// Longest block that is read, compressed and whole.
const MAX_BLOCK_BYTES: u32 = 64 << 20;
const ZSTD_LEVEL: i32 = 1;

/// One entry of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The first entry: what the machine was made from.
    Start {
        /// The settings file (TOML).
        settings: String,
        /// Seed of the machine.
        seed: u64,
    },
    /// One call of [`Machine::step`].
    Step {
        /// Clock time of the step.
        at: Micros,
        /// Its input.
        input: Input,
        /// Its outputs, in order.
        outputs: Vec<Output>,
    },
}

/// Why a record cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The file cannot be read or written: look at its path, permissions and disk.
    #[error("reading or writing failed: {0}")]
    Io(#[from] io::Error),
    /// Another file, or a record of another version: replay it with the program that wrote it. Holds the first bytes.
    #[error("not a record of this version: it begins with {0:02x?}")]
    Magic(Vec<u8>),
    /// A block in the middle is damaged: the file was changed or the disk is faulty.
    #[error("block at byte {at}: {cause}")]
    Block {
        /// Byte at which the block begins.
        at: u64,
        /// What is wrong with it.
        cause: String,
    },
    /// An entry is missing or out of order: the file was put together from others.
    #[error("the record does not begin with its settings")]
    NoStart,
    /// The settings in it are not those of this version.
    #[error("the record's settings: {0}")]
    Settings(#[from] SettingsError),
}

/// Writes entries as blocks.
pub struct Writer<W: Write> {
    sink: W,
    lines: Vec<u8>,
}

impl<W: Write> Writer<W> {
    /// Begins a record.
    ///
    /// # Errors
    /// Where the sink fails, as for all that follows.
    pub fn begin(mut sink: W) -> io::Result<Self> {
        sink.write_all(MAGIC)?;
        Ok(Writer {
            sink,
            lines: Vec::new(),
        })
    }

    /// Adds an entry; a block is written once enough entries are gathered.
    ///
    /// # Errors
    /// Where the sink fails.
    pub fn append(&mut self, entry: &Entry) -> io::Result<()> {
        serde_json::to_writer(&mut self.lines, entry)?;
        self.lines.push(b'\n');
        if self.lines.len() >= BLOCK_BYTES {
            self.flush()?;
        }
        Ok(())
    }

    /// The sink, with what has been flushed to it.
    pub fn into_inner(self) -> W {
        self.sink
    }

    /// Writes the gathered entries as a block.
    ///
    /// # Errors
    /// Where the sink fails.
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

/// All entries of a record, and what was cut from its end.
#[derive(Debug)]
pub struct Recorded {
    /// Every entry of the complete blocks, in order.
    pub entries: Vec<Entry>,
    /// Bytes of a torn last block.
    pub torn_bytes: u64,
}

/// Reads a whole record.
///
/// # Errors
/// [`RecordError::Magic`] for another format or version; [`RecordError::Block`] where a whole block's checksum or
/// content is wrong. A last block that ends early is no error.
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

enum ParsedBlock {
    Torn,
    Corrupt(String),
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
        return ParsedBlock::Corrupt(format!("its length {size} is more than {MAX_BLOCK_BYTES}"));
    }
    let Some(compressed) = data.get(8..8 + size as usize) else {
        return ParsedBlock::Torn;
    };
    if crc32fast::hash(compressed) != checksum {
        return ParsedBlock::Corrupt("its checksum is wrong".to_string());
    }
    let lines = match zstd::bulk::decompress(compressed, MAX_BLOCK_BYTES as usize) {
        Ok(lines) => lines,
        Err(e) => return ParsedBlock::Corrupt(format!("it does not unpack: {e}")),
    };
    let entries = lines
        .split(|b| *b == b'\n')
        .filter(|l| !l.is_empty())
        .map(serde_json::from_slice)
        .collect();
    match entries {
        Ok(entries) => ParsedBlock::Complete(8 + size as usize, entries),
        Err(e) => ParsedBlock::Corrupt(format!("an entry is not known: {e}")),
    }
}

/// Where a replay left the record.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Number of the step, from 1, and its clock time.
    pub step: usize,
    /// Clock time of the step.
    pub at: Micros,
    /// Input of the step.
    pub input: Input,
    /// Number of the output within the step, from 1.
    pub output: usize,
    /// The recorded output; none where the replay has more.
    pub recorded: Option<Output>,
    /// The replayed output; none where the record has more.
    pub replayed: Option<Output>,
}

/// What a replay result.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replay {
    /// Steps replayed, the one that differs included.
    pub steps: usize,
    /// Outputs of these steps.
    pub outputs: usize,
    /// The first difference; none where the replay is equal.
    pub difference: Option<Difference>,
    /// The decision module's events and actions, where the trace was asked for.
    pub trace: Vec<TracedDecision>,
}

/// Steps a new machine through a record and compares each output, up to the first that differs.
///
/// # Errors
/// Where the record does not begin with settings that can be read.
pub fn replay(recorded: &Recorded, keep_trace: bool) -> Result<Replay, RecordError> {
    let Some((Entry::Start { settings, seed }, steps)) = recorded.entries.split_first() else {
        return Err(RecordError::NoStart);
    };
    let mut machine = Machine::new(Settings::parse("record", settings)?, *seed);
    if keep_trace {
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

fn first_difference(a: &[Output], b: &[Output]) -> Option<usize> {
    (0..a.len().max(b.len())).find(|i| a.get(*i) != b.get(*i))
}
