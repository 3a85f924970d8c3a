//! Incremental decoder for message bodies with a length or with chunks.

use super::{Framing, HttpError, MAX_CHUNK_BYTES};

/// Longest chunk-size line, bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Largest total size of the trailer lines, bytes.
const MAX_TRAILER_BYTES: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Body bytes left of a `Content-Length` body.
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    Close,
    Done,
}

/// Incremental decoder of one message body.
#[derive(Clone, Debug)]
pub struct Body {
    step: Step,
    max_chunk: u64,
}

impl Body {
    /// Creates a decoder for a body of which no bytes have arrived.
    pub fn new(framing: Framing) -> Body {
        Body::with_max_chunk(framing, MAX_CHUNK_BYTES)
    }

    /// Like [`Body::new`], with another limit for the size of a chunk, bytes.
    pub fn with_max_chunk(framing: Framing, max_chunk: u64) -> Body {
        let step = match framing {
            Framing::Length(0) => Step::Done,
            Framing::Length(n) => Step::Length(n),
            Framing::Chunked => Step::ChunkSize,
            Framing::Close => Step::Close,
        };
        Body { step, max_chunk }
    }

    /// Whether the last byte of the body has been decoded.
    pub fn is_complete(&self) -> bool {
        self.step == Step::Done
    }

    /// Decodes as much as possible from the front of `bytes`, appends the content to `out` and returns the number of
    /// bytes consumed. The remaining bytes belong to an incomplete line or, once [`Body::is_complete`], to the next
    /// message.
    ///
    /// # Errors
    /// A chunk that is malformed or larger than the limit.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        let mut at = 0;
        while at < bytes.len() {
            let consumed = self.step(&bytes[at..], out)?;
            if consumed == 0 {
                break;
            }
            at += consumed;
        }
        Ok(at)
    }

    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        match self.step {
            Step::Done => Ok(0),
            Step::Close => {
                out.extend_from_slice(bytes);
                Ok(bytes.len())
            }
            Step::Length(left) => {
                let n = left.min(bytes.len() as u64);
                out.extend_from_slice(&bytes[..n as usize]);
                self.step = if n == left {
                    Step::Done
                } else {
                    Step::Length(left - n)
                };
                Ok(n as usize)
            }
            Step::ChunkData(left) => {
                let n = left.min(bytes.len() as u64);
                out.extend_from_slice(&bytes[..n as usize]);
                self.step = if n == left {
                    Step::ChunkEnd
                } else {
                    Step::ChunkData(left - n)
                };
                Ok(n as usize)
            }
            Step::ChunkSize => self.read_chunk_size(bytes),
            Step::ChunkEnd => match bytes {
                [b'\r', b'\n', ..] => {
                    self.step = Step::ChunkSize;
                    Ok(2)
                }
                [b'\r'] => Ok(0),
                _ => Err(HttpError::InvalidChunk),
            },
            Step::Trailers(read) => self.read_trailer(bytes, read),
        }
    }

    fn read_chunk_size(&mut self, bytes: &[u8]) -> Result<usize, HttpError> {
        let Some((line, consumed)) = read_line(bytes, MAX_CHUNK_LINE_BYTES)? else {
            return Ok(0);
        };
        let digits = line
            .split(|b| *b == b';')
            .next()
            .unwrap_or_default()
            .trim_ascii_end();
        let hex =
            !digits.is_empty() && digits.len() <= 16 && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits)
            .ok()
            .filter(|_| hex)
            .ok_or(HttpError::InvalidChunk)?;
        let size = u64::from_str_radix(text, 16).map_err(|_| HttpError::InvalidChunk)?;
        if size > self.max_chunk {
            return Err(HttpError::InvalidChunk);
        }
        self.step = if size == 0 {
            Step::Trailers(0)
        } else {
            Step::ChunkData(size)
        };
        Ok(consumed)
    }

    fn read_trailer(&mut self, bytes: &[u8], read: usize) -> Result<usize, HttpError> {
        let Some((line, consumed)) = read_line(bytes, MAX_TRAILER_BYTES)? else {
            return Ok(0);
        };
        if read + consumed > MAX_TRAILER_BYTES {
            return Err(HttpError::InvalidChunk);
        }
        self.step = if line.is_empty() {
            Step::Done
        } else {
            Step::Trailers(read + consumed)
        };
        Ok(consumed)
    }
}

/// Returns the first line without its CRLF and the number of bytes with it, or `None` if it is incomplete. A line that
/// ends with a bare line feed is an error.
fn read_line(bytes: &[u8], limit: usize) -> Result<Option<(&[u8], usize)>, HttpError> {
    match bytes.iter().position(|b| *b == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' && end < limit => {
            Ok(Some((&bytes[..end - 1], end + 1)))
        }
        Some(_) => Err(HttpError::InvalidChunk),
        None if bytes.len() >= limit => Err(HttpError::InvalidChunk),
        None => Ok(None),
    }
}
