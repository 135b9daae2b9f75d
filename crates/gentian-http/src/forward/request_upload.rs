//! Sending of a request from where its body is held.

use std::io;

use gentian_core::MonoTime;

use super::BufferedStream;

/// A request on its way to a server. Its last pieces stay where they are held, and are passed to each call
/// in the same order.
#[derive(Debug)]
pub struct RequestUpload {
    /// The head and the first piece of the body: one write takes what most requests need.
    start: Vec<u8>,
    written: usize,
    length: usize,
}

impl RequestUpload {
    /// Creates the upload of a request that consists of `start` and of further pieces with this many bytes
    /// in all.
    pub fn new(start: Vec<u8>, further_bytes: usize) -> Self {
        let length = start.len() + further_bytes;
        Self { start, written: 0, length }
    }

    /// Goes on to write the request, and stops if the server responds or the connection is lost.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`BufferedStream::write_request`].
    pub fn write<'a>(
        &mut self,
        stream: &mut BufferedStream,
        further: impl Iterator<Item = &'a [u8]>,
        deadline: MonoTime,
    ) -> io::Result<()> {
        let mut written = 0;
        for piece in self.rest(further) {
            let count = stream.write_request(piece, deadline)?;
            written += count;
            if count < piece.len() {
                break;
            }
        }
        self.written += written;
        Ok(())
    }

    /// Returns whether the whole request was written.
    pub fn is_complete(&self) -> bool {
        self.written == self.length
    }

    /// Returns what was not written.
    pub fn rest<'a, 'b: 'a>(
        &'a self,
        further: impl Iterator<Item = &'b [u8]>,
    ) -> impl Iterator<Item = &'a [u8]> {
        let mut skipped = self.written;
        let pieces =
            std::iter::once(self.start.as_slice()).chain(further.map(|piece| piece as &[u8]));
        pieces.map(move |piece| {
            let start = skipped.min(piece.len());
            skipped -= start;
            &piece[start..]
        })
    }
}
