//! Reading the fields of a frame; every read is checked against the frame's end.

use bitternlatch_policy::interface::Outcome;

use super::codes;
use super::error::{Result, WireError};

/// A place in a frame.
pub struct Cursor<'a> {
    data: &'a [u8],
    at: usize,
}

impl<'a> Cursor<'a> {
    /// At a byte of a frame.
    pub fn new(data: &'a [u8], at: usize) -> Self {
        Cursor { data, at }
    }

    /// Where the next field begins.
    pub fn position(&self) -> usize {
        self.at
    }

    /// The next bytes.
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

    /// A number of one byte.
    pub fn u8(&mut self, field: &'static str) -> Result<u8> {
        Ok(u8::from_le_bytes(self.array(field)?))
    }

    /// A number of two bytes.
    pub fn u16(&mut self, field: &'static str) -> Result<u16> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }

    /// A number of four bytes.
    pub fn u32(&mut self, field: &'static str) -> Result<u32> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }

    /// A number of eight bytes.
    pub fn u64(&mut self, field: &'static str) -> Result<u64> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }

    /// A real number of four bytes.
    pub fn f32(&mut self, field: &'static str) -> Result<f64> {
        Ok(f64::from(f32::from_le_bytes(self.array(field)?)))
    }

    /// A real number of eight bytes.
    pub fn f64(&mut self, field: &'static str) -> Result<f64> {
        Ok(f64::from_le_bytes(self.array(field)?))
    }

    /// A load report: a count and as many values.
    pub fn report(&mut self, field: &'static str) -> Result<Vec<f64>> {
        let count = self.u8(field)?;
        (0..count).map(|_| self.f32(field)).collect()
    }

    /// How an attempt or a probe ended.
    pub fn outcome(&mut self, field: &'static str) -> Result<Outcome> {
        let at = self.at;
        let code = self.u8(field)?;
        codes::outcome(code).ok_or(WireError::UnknownOutcome { code, field, at })
    }
}
