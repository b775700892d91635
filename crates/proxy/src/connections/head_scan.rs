//! Decides when a head that arrives in pieces is worth parsing, so that the cost of parsing stays
//! linear in its length.

#[cfg(test)]
mod tests;

/// How much of a head was looked at.
#[derive(Debug, Default)]
pub struct HeadScan {
    /// Number of bytes that were searched for the end.
    searched: usize,
    /// Number of line ends at the start, which end no head.
    leading_line_ends: usize,
    /// Length at which the head is parsed even without an end, to find errors early.
    parse_at: usize,
}

impl HeadScan {
    /// Whether the bytes received so far have to be parsed: the end of the head may be among the
    /// new ones, or their number has doubled.
    pub fn is_due(&mut self, bytes: &[u8]) -> bool {
        if self.parse_at == 0 && self.searched == 0 {
            // Most heads are received at once.
            self.parse_at = 2 * bytes.len();
            return true;
        }
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        if self.leading_line_ends == self.searched {
            let leading = bytes[self.searched..]
                .iter()
                .take_while(|byte| is_line_end(byte));
            self.leading_line_ends += leading.count();
        }
        // An end may begin in the bytes that were searched before: its last line feed may follow
        // a line feed and a carriage return.
        let from = self.searched.saturating_sub(2).max(self.leading_line_ends);
        self.searched = bytes.len();
        let has_end = bytes.get(from..).is_some_and(has_empty_line);
        if has_end || bytes.len() >= self.parse_at {
            self.parse_at = 2 * bytes.len();
            return true;
        }
        false
    }
}

/// Whether one line feed follows another, with at most a carriage return between them.
fn has_empty_line(bytes: &[u8]) -> bool {
    let mut line_feeds = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    line_feeds.any(|(index, _)| matches!(&bytes[index + 1..], [b'\n', ..] | [b'\r', b'\n', ..]))
}
