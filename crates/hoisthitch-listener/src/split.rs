//! Splits the bytes of a connection into parts that hold few requests.
//!
//! The HTTP library decodes every request that it has the bytes of, and keeps them all until
//! the first is served. A part therefore ends soon after the blank line that ends a head. The
//! splitter doesn't parse requests: a blank line inside a body only makes a part shorter.

/// Most bytes of a part.
pub(crate) const PART_BYTES: usize = 8 << 10;

/// Blank lines of a part. Two leave a request whole whose body contains no blank line.
const BLANK_LINES: usize = 2;

/// Least bytes between two blank lines that count: shorter requests don't exist.
const MIN_REQUEST_BYTES: usize = 16;

/// Finds the ends of parts, across reads.
#[derive(Debug, Default)]
pub(crate) struct PartSplitter {
    /// Whether the last byte, apart from carriage returns, ended a line.
    line_ended: bool,
}

impl PartSplitter {
    /// Returns the length of the next part of `bytes`.
    pub(crate) fn next_part(&mut self, bytes: &[u8]) -> usize {
        let mut blank_lines = 0;
        let mut counted_at = 0;
        for (index, byte) in bytes.iter().take(PART_BYTES).enumerate() {
            let was_ended = self.line_ended;
            match byte {
                b'\n' => self.line_ended = true,
                b'\r' => continue,
                _ => self.line_ended = false,
            }
            let is_blank = was_ended && self.line_ended;
            if is_blank && (blank_lines == 0 || index - counted_at >= MIN_REQUEST_BYTES) {
                blank_lines += 1;
                counted_at = index;
                if blank_lines == BLANK_LINES {
                    return index + 1;
                }
            }
        }
        bytes.len().min(PART_BYTES)
    }
}
