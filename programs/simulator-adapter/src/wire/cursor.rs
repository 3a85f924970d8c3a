//! Reads the fields of a frame; every read is checked against the frame's end.

use bitternlatch_policy::interface::Outcome;

use super::codes;
use super::error::{Result, WireError};

/// A read position in a frame.
pub struct Cursor<'a> {
    data: &'a [u8],
    at: usize,
}

impl<'a> Cursor<'a> {
    /// Starts reading a frame at byte `at`.
    pub fn new(data: &'a [u8], at: usize) -> Self {
        Cursor { data, at }
    }

    /// Offset of the next field in the frame, in bytes.
    pub fn position(&self) -> usize {
        self.at
    }

    /// Reads the next `count` bytes; `field` names them in an error.
    pub fn bytes(&mut self, count: usize, field: &'static str) -> Result<&'a [u8]> {
        let end = self.at.checked_add(count);
        let Some(bytes) = end.and_then(|end| self.data.get(self.at..end)) else {
            return Err(WireError::FrameEnds {
                end: self.data.len(),
                field,
                at: self.at,
            });
        };
        self.at += count;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N]> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, field)?);
        Ok(array)
    }

    /// Reads an unsigned integer of one byte.
    pub fn u8(&mut self, field: &'static str) -> Result<u8> {
        Ok(u8::from_le_bytes(self.array(field)?))
    }

    /// Reads a little-endian unsigned integer of two bytes.
    pub fn u16(&mut self, field: &'static str) -> Result<u16> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }

    /// Reads a little-endian unsigned integer of four bytes.
    pub fn u32(&mut self, field: &'static str) -> Result<u32> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }

    /// Reads a little-endian unsigned integer of eight bytes.
    pub fn u64(&mut self, field: &'static str) -> Result<u64> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }

    /// Reads a little-endian floating-point number of four bytes.
    pub fn f32(&mut self, field: &'static str) -> Result<f64> {
        Ok(f64::from(f32::from_le_bytes(self.array(field)?)))
    }

    /// Reads a little-endian floating-point number of eight bytes.
    pub fn f64(&mut self, field: &'static str) -> Result<f64> {
        Ok(f64::from_le_bytes(self.array(field)?))
    }

    /// Reads a load report: a count of one byte, then that many values of four bytes.
    pub fn report(&mut self, field: &'static str) -> Result<Vec<f64>> {
        let count = self.u8(field)?;
        (0..count).map(|_| self.f32(field)).collect()
    }

    /// Reads the outcome of an attempt or a probe.
    pub fn outcome(&mut self, field: &'static str) -> Result<Outcome> {
        let at = self.at;
        let code = self.u8(field)?;
        codes::outcome(code).ok_or(WireError::UnknownOutcome { code, field, at })
    }
}
