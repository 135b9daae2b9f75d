//! Reading of lines that may have no end.

use std::io::{self, BufRead, Read};

/// Appends the next line, with its end, to `text`; returns whether there was one.
///
/// # Errors
///
/// Returns `InvalidData` if `text` would exceed `limit` bytes, or the I/O error of the reader.
pub fn read_line_within(
    reader: &mut impl BufRead,
    text: &mut Vec<u8>,
    limit: usize,
) -> io::Result<bool> {
    let room = limit.saturating_sub(text.len());
    let length = reader.take(room as u64).read_until(b'\n', text)?;
    if text.len() >= limit && text.last() != Some(&b'\n') {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the line is too long"));
    }
    Ok(length > 0)
}
