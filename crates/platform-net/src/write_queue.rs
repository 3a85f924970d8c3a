//! Bytes of one connection that wait to be written.

/// Capacity that an empty queue keeps: with hundreds of connections, large buffers must not be kept.
const RETAINED_CAPACITY: usize = 8 * 1024;

/// Queue of bytes, of which the first may have been written.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    bytes: Vec<u8>,
    written: usize,
}

impl WriteQueue {
    /// Adds bytes. What has been written already is dropped once it is the larger part: the queue of a slow reader may
    /// never be empty.
    pub(crate) fn push(&mut self, bytes: Vec<u8>) {
        if self.written > self.bytes.len() / 2 {
            self.bytes.drain(..self.written);
            self.written = 0;
        }
        if self.bytes.is_empty() {
            self.bytes = bytes;
        } else {
            self.bytes.extend_from_slice(&bytes);
        }
    }

    /// Bytes that are not written yet.
    pub(crate) fn unwritten(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Takes the first `count` unwritten bytes as written.
    pub(crate) fn record_written(&mut self, count: usize) {
        self.written += count;
        if self.written == self.bytes.len() {
            self.written = 0;
            self.bytes.clear();
            if self.bytes.capacity() > RETAINED_CAPACITY {
                self.bytes = Vec::new();
            }
        }
    }
}

#[cfg(test)]
#[path = "write_queue_tests.rs"]
mod tests;
