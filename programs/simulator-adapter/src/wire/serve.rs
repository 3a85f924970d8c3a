//! Reads batches from an input and writes the replies to an output.

use std::io::{Read, Write};

use super::adapter::Adapter;
use super::cursor::Cursor;
use super::error::{Result, WireError};

/// Length of a batch frame's header, in bytes.
const HEADER_BYTES: usize = 16;
/// Offset of the frame size in the header, in bytes.
const SIZE_OFFSET: usize = 4;

/// Answers batches until the input ends.
///
/// # Errors
/// Input or output that fails, or a batch that violates the simulator's protocol.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<()> {
    let mut adapter = Adapter::default();
    while let Some(frame) = read_frame(&mut input)? {
        output.write_all(&adapter.answer(&frame)?)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads one frame; returns `None` if the input ends before it. No memory is reserved from the length field, which may be
/// wrong.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>> {
    let mut frame = Vec::new();
    let mut header = input.by_ref().take(HEADER_BYTES as u64);
    header.read_to_end(&mut frame)?;
    if frame.is_empty() {
        return Ok(None);
    }
    if frame.len() < HEADER_BYTES {
        return Err(WireError::HeaderCut { bytes: frame.len() });
    }
    let size = Cursor::new(&frame, SIZE_OFFSET).u32("the frame size")?;
    if (size as usize) < HEADER_BYTES {
        return Err(WireError::SizeTooSmall { size });
    }
    let rest = u64::from(size) - HEADER_BYTES as u64;
    input.by_ref().take(rest).read_to_end(&mut frame)?;
    if frame.len() < size as usize {
        let bytes = frame.len();
        return Err(WireError::FrameCut { bytes, size });
    }
    Ok(Some(frame))
}
