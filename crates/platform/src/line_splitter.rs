//! Splits the bytes of a discovery watch into lines: JSON objects and empty keep-alive lines.

/// Line splitter with the bytes of the current, incomplete line.
///
/// Objects may be indented, so a line feed ends an object only outside its brackets. An empty line, or a line feed
/// inside a string, cannot occur in an object: it ends the line early, and parsing the truncated object then fails.
#[derive(Debug, Default)]
pub struct LineSplitter {
    pending: Vec<u8>,
    /// Number of bytes of `pending` that have been scanned.
    scanned: usize,
    depth: u32,
    in_string: bool,
    escaped: bool,
    /// Whether anything but white space has come since the last line feed.
    has_content: bool,
}

impl LineSplitter {
    /// Buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Bytes of the incomplete line.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes and returns the complete objects, and whether any line was completed, including an empty one.
    pub fn take_complete(&mut self) -> (Vec<Vec<u8>>, bool) {
        let (mut objects, mut from) = (Vec::new(), 0);
        while self.scanned < self.pending.len() {
            let byte = self.pending[self.scanned];
            self.scanned += 1;
            if self.ends_line(byte) {
                let object = self.pending[from..self.scanned].trim_ascii();
                let is_whole_buffer = from == 0 && self.scanned == self.pending.len();
                if !object.is_empty() && is_whole_buffer {
                    // Moves the buffer instead of copying it, since the object may be the full list of a large fleet.
                    objects.push(std::mem::take(&mut self.pending));
                    self.scanned = 0;
                } else if !object.is_empty() {
                    objects.push(object.to_vec());
                }
                from = self.scanned;
                (self.depth, self.in_string, self.escaped) = (0, false, false);
            }
        }
        self.pending.drain(..from);
        self.scanned -= from;
        let completed_line = from > 0 || !objects.is_empty();
        (objects, completed_line)
    }

    /// Removes and returns the bytes after the last line. At the regular end of a response the last line may lack its
    /// line feed.
    pub fn take_remainder(&mut self) -> Option<Vec<u8>> {
        let remainder = std::mem::take(self).pending.trim_ascii().to_vec();
        (!remainder.is_empty()).then_some(remainder)
    }

    fn ends_line(&mut self, byte: u8) -> bool {
        if byte == b'\n' {
            let is_truncated = self.in_string || !self.has_content;
            self.has_content = false;
            return is_truncated || self.depth == 0;
        }
        self.has_content |= !byte.is_ascii_whitespace();
        if std::mem::take(&mut self.escaped) {
            return false;
        }
        match byte {
            b'"' => self.in_string = !self.in_string,
            b'\\' => self.escaped = self.in_string,
            b'{' | b'[' if !self.in_string => self.depth = self.depth.saturating_add(1),
            b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        false
    }
}
