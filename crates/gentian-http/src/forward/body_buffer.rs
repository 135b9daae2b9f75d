//! Memory for the body of a request or a response.

use super::{BufferBudget, BufferReservation};

/// Bytes of a body that are held outside of the shared blocks, as most bodies need no more.
const SMALL_BYTES: usize = 16 * 1024;

/// A body in blocks of a [`BufferBudget`]. Blocks are all of one size and are used again for other
/// bodies: an allocator keeps much more than what is in use if threads allocate and free buffers that
/// grow.
#[derive(Debug)]
pub struct BodyBuffer {
    reservation: BufferReservation,
    small: Vec<u8>,
    blocks: Vec<Vec<u8>>,
    length: usize,
    is_request: bool,
}

impl BodyBuffer {
    /// Creates an empty buffer for the body of a response, whose bytes count towards `budget`.
    pub fn new(budget: &BufferBudget) -> Self {
        Self::with_reservation(budget.reserve(), false)
    }

    /// Creates an empty buffer for the body of a request, for which `reservation` was made.
    pub fn for_request(reservation: BufferReservation) -> Self {
        Self::with_reservation(reservation, true)
    }

    fn with_reservation(reservation: BufferReservation, is_request: bool) -> Self {
        Self { reservation, small: Vec::new(), blocks: Vec::new(), length: 0, is_request }
    }

    /// Appends `bytes`; returns `false`, and appends nothing, if the budget has no room for them.
    pub fn append(&mut self, mut bytes: &[u8]) -> bool {
        let length = self.length + bytes.len();
        let has_room = match self.is_request {
            true => self.reservation.grow_body(length),
            false => self.reservation.resize_body(length),
        };
        if !has_room {
            return false;
        }
        self.length += bytes.len();
        let count = bytes.len().min(SMALL_BYTES - self.small.len());
        self.small.extend_from_slice(&bytes[..count]);
        bytes = &bytes[count..];
        while !bytes.is_empty() {
            if self.blocks.last().is_none_or(|block| block.len() == block.capacity()) {
                self.blocks.push(self.reservation.take_block());
            }
            let Some(block) = self.blocks.last_mut() else { return false };
            let count = bytes.len().min(block.capacity() - block.len());
            block.extend_from_slice(&bytes[..count]);
            bytes = &bytes[count..];
        }
        true
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the bytes, piece by piece.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> + Clone {
        std::iter::once(self.small.as_slice()).chain(self.blocks.iter().map(Vec::as_slice))
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        for block in self.blocks.drain(..) {
            self.reservation.return_block(block);
        }
    }
}
