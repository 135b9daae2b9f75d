//! Account of the bytes that a process holds for callers and upstreams. Load pattern: many clients send
//! large request bodies at once, and most of them stop just short of their end.

use std::collections::VecDeque;

use gentian_core::ByteSize;

use super::MemoryUse;

/// How many times the account's limit all waiting bodies may have together. More would not find room
/// before their callers give up.
const MAX_WAITING_FACTOR: u64 = 2;

/// Place of a large request body in the queue for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitTicket(u64);

#[derive(Clone, Copy, Debug)]
struct WaitingBody {
    ticket: WaitTicket,
    size: ByteSize,
}

/// Bytes in use, and the large request bodies that wait for room, in their order.
#[derive(Debug)]
pub struct MemoryAccount {
    limit: ByteSize,
    used: ByteSize,
    /// Bounded by [`MAX_WAITING_FACTOR`] times `limit`; each row has more than 128 KiB.
    waiting: VecDeque<WaitingBody>,
    next_ticket: u64,
}

impl MemoryAccount {
    /// Creates an account of `limit`.
    pub fn new(limit: ByteSize) -> Self {
        Self { limit, used: ByteSize::ZERO, waiting: VecDeque::new(), next_ticket: 0 }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> ByteSize {
        self.used
    }

    /// Returns the bytes that wait for room.
    pub fn waiting(&self) -> ByteSize {
        self.waiting.iter().map(|row| row.size).sum()
    }

    /// Returns whether a body of this size can ever be held.
    pub fn can_hold(&self, size: ByteSize) -> bool {
        size <= MemoryUse::of_request(size).ceiling(self.limit)
    }

    /// Changes what one holder has in use from `held` to `wanted`; returns `false`, and changes
    /// nothing, if there is no room.
    pub fn resize(&mut self, memory_use: MemoryUse, held: ByteSize, wanted: ByteSize) -> bool {
        let others = self.used.saturating_sub(held);
        let total = others + wanted;
        let needed = match memory_use {
            MemoryUse::Response => total + wanted,
            _ => total,
        };
        if wanted > held && needed > memory_use.ceiling(self.limit) {
            return false;
        }
        self.used = total;
        true
    }

    /// Reserves `size` for a request body of declared length; returns `false` if it must wait. A large
    /// body waits behind those that wait already.
    pub fn reserve_body(&mut self, size: ByteSize) -> bool {
        let memory_use = MemoryUse::of_request(size);
        let is_behind = memory_use == MemoryUse::LargeRequest && !self.waiting.is_empty();
        !is_behind && self.resize(memory_use, ByteSize::ZERO, size)
    }

    /// Puts a body at the end of the queue; `None` if the queue is full or the body can't be held.
    pub fn enqueue(&mut self, size: ByteSize) -> Option<WaitTicket> {
        let max_waiting = ByteSize::new(self.limit.get().saturating_mul(MAX_WAITING_FACTOR));
        let is_large = MemoryUse::of_request(size) == MemoryUse::LargeRequest;
        if !is_large || !self.can_hold(size) || self.waiting() + size > max_waiting {
            return None;
        }
        let ticket = WaitTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push_back(WaitingBody { ticket, size });
        Some(ticket)
    }

    /// Reserves the bytes of a waiting body if it is the first in the queue and there is room; returns
    /// whether it no longer waits.
    pub fn reserve_waiting(&mut self, ticket: WaitTicket) -> bool {
        let first = self.waiting.front().filter(|row| row.ticket == ticket).copied();
        let is_reserved =
            first.is_some_and(|row| self.resize(MemoryUse::LargeRequest, ByteSize::ZERO, row.size));
        if is_reserved {
            self.waiting.pop_front();
        }
        is_reserved
    }

    /// Removes a body from the queue.
    pub fn cancel_waiting(&mut self, ticket: WaitTicket) {
        self.waiting.retain(|row| row.ticket != ticket);
    }
}
