//! Batches on an input, replies on an output.

use std::io::{Read, Write};

use super::adapter::Adapter;
use super::cursor::Cursor;
use super::error::{Result, WireError};

/// Bytes of a batch's header.
const HEADER_BYTES: usize = 16;
/// Where the header has the frame's size.
const SIZE_AT: usize = 4;

/// Answers batches until the input ends.
///
/// # Errors
/// Input or output that fails, or a batch that is not as the wire's page has it.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<()> {
    let mut adapter = Adapter::default();
    while let Some(frame) = read_frame(&mut input)? {
        output.write_all(&adapter.answer(&frame)?)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads one frame; `None` at a clean end of input. The length field alone reserves no memory.
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
    let size = Cursor::new(&frame, SIZE_AT).u32("the frame size")?;
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
