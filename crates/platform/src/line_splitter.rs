//! Cuts what comes on a watch into lines: JSON objects, and the empty lines that keep it alive.

/// What has come and is no complete line yet.
///
/// An object may come indented, so that a line feed ends it only outside its brackets. No object holds an empty line
/// or a line feed within a text: either cuts one off that will not be whole any more, and its reader sees that.
#[derive(Debug, Default)]
pub struct LineSplitter {
    text: Vec<u8>,
    /// So many bytes of it have been looked at.
    seen: usize,
    depth: u32,
    in_text: bool,
    escaped: bool,
    /// Something other than blanks has come since the last line feed.
    filled: bool,
}

impl LineSplitter {
    /// Where more is appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.text
    }

    /// Bytes of a line that is not whole.
    pub fn len(&self) -> usize {
        self.text.len()
    }

    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Gives the objects that are whole, and whether any line was, an empty one included.
    pub fn take_complete(&mut self) -> (Vec<Vec<u8>>, bool) {
        let (mut objects, mut from) = (Vec::new(), 0);
        while self.seen < self.text.len() {
            let byte = self.text[self.seen];
            self.seen += 1;
            if self.ends_line(byte) {
                let object = self.text[from..self.seen].trim_ascii();
                let is_all = from == 0 && self.seen == self.text.len();
                if !object.is_empty() && is_all {
                    // No second copy of what may be the whole list of a large fleet.
                    objects.push(std::mem::take(&mut self.text));
                    self.seen = 0;
                } else if !object.is_empty() {
                    objects.push(object.to_vec());
                }
                from = self.seen;
                (self.depth, self.in_text, self.escaped) = (0, false, false);
            }
        }
        self.text.drain(..from);
        self.seen -= from;
        let any = from > 0 || !objects.is_empty();
        (objects, any)
    }

    /// What is left where an answer has ended in order: its last line may lack the line feed.
    pub fn take_remainder(&mut self) -> Option<Vec<u8>> {
        let rest = std::mem::take(self).text.trim_ascii().to_vec();
        (!rest.is_empty()).then_some(rest)
    }

    fn ends_line(&mut self, byte: u8) -> bool {
        if byte == b'\n' {
            let cut = self.in_text || !self.filled;
            self.filled = false;
            return cut || self.depth == 0;
        }
        self.filled |= !byte.is_ascii_whitespace();
        if std::mem::take(&mut self.escaped) {
            return false;
        }
        match byte {
            b'"' => self.in_text = !self.in_text,
            b'\\' => self.escaped = self.in_text,
            b'{' | b'[' if !self.in_text => self.depth = self.depth.saturating_add(1),
            b'}' | b']' if !self.in_text => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        false
    }
}
