//! Limit on the bytes that all open requests and responses together hold in memory.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gentian_core::ByteSize;
use gentian_decide::memory::{MemoryAccount, MemoryUse, WaitTicket};

/// Bytes of each request and response that are not counted: as many as one read brings. They are part
/// of the memory of its connection.
const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Size of a block. Allocators give larger ones back to the system when they are freed, and some keep
/// more for themselves from then on.
const BLOCK_BYTES: usize = 64 * 1024;

#[derive(Debug)]
struct SharedBudget {
    account: Mutex<MemoryAccount>,
    /// Signalled when bytes are released while bodies wait.
    released: Condvar,
    /// Blocks that are not in use at present; bounded by the largest number in use at once, and so by
    /// the limit of the account.
    free_blocks: Mutex<Vec<Vec<u8>>>,
}

/// Limits the bytes that are buffered at the same time.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    shared: Arc<SharedBudget>,
}

/// Bytes that are reserved until this value is dropped.
#[derive(Debug)]
pub struct BufferReservation {
    budget: BufferBudget,
    bytes: usize,
}

/// A place in the queue of large request bodies, until this value is dropped.
#[derive(Debug)]
pub struct BufferWait {
    budget: BufferBudget,
    ticket: WaitTicket,
    bytes: usize,
}

/// Whether there is room for a request body of declared length.
#[derive(Debug)]
pub enum BodyRoom {
    /// Its bytes are reserved.
    Reserved(BufferReservation),
    /// It waits for others to be released.
    Waiting(BufferWait),
    /// There is no room for it, and none in the queue.
    Full,
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let shared = SharedBudget {
            account: Mutex::new(MemoryAccount::new(byte_size(limit))),
            released: Condvar::new(),
            free_blocks: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Creates a reservation of zero bytes.
    pub fn reserve(&self) -> BufferReservation {
        BufferReservation { budget: self.clone(), bytes: 0 }
    }

    /// Reserves room for a request body of `length` bytes, or a place in the queue if it is large.
    pub fn reserve_body(&self, length: usize) -> BodyRoom {
        let bytes = counted_bytes(length);
        let mut account = self.lock();
        if account.reserve_body(byte_size(bytes)) {
            return BodyRoom::Reserved(BufferReservation { budget: self.clone(), bytes });
        }
        let ticket = account.enqueue(byte_size(bytes));
        ticket.map_or(BodyRoom::Full, |ticket| {
            BodyRoom::Waiting(BufferWait { budget: self.clone(), ticket, bytes })
        })
    }

    /// Returns whether a request body of `length` bytes fits when nothing else is held.
    pub fn can_hold_body(&self, length: usize) -> bool {
        self.lock().can_hold(byte_size(counted_bytes(length)))
    }

    /// Returns the bytes that are reserved.
    pub fn used(&self) -> ByteSize {
        self.lock().used()
    }

    /// Returns the bytes of the bodies that wait for room.
    pub fn waiting(&self) -> ByteSize {
        self.lock().waiting()
    }

    fn lock(&self) -> MutexGuard<'_, MemoryAccount> {
        self.shared.account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn resize(&self, memory_use: MemoryUse, held: usize, wanted: usize) -> bool {
        if held == wanted {
            return true;
        }
        let mut account = self.lock();
        let is_resized = account.resize(memory_use, byte_size(held), byte_size(wanted));
        let frees_room = wanted < held && account.waiting() > ByteSize::ZERO;
        drop(account);
        if frees_room {
            self.shared.released.notify_all();
        }
        is_resized
    }
}

impl BufferWait {
    /// Waits for `span` at most until there is room; returns the reservation once there is.
    pub fn wait(&self, span: Duration) -> Option<BufferReservation> {
        let mut account = self.budget.lock();
        let mut is_reserved = account.reserve_waiting(self.ticket);
        if !is_reserved {
            let waited = self.budget.shared.released.wait_timeout(account, span);
            account = waited.unwrap_or_else(PoisonError::into_inner).0;
            is_reserved = account.reserve_waiting(self.ticket);
        }
        let has_followers = is_reserved && account.waiting() > ByteSize::ZERO;
        drop(account);
        if has_followers {
            // The next body in the queue may find room as well.
            self.budget.shared.released.notify_all();
        }
        is_reserved.then(|| BufferReservation { budget: self.budget.clone(), bytes: self.bytes })
    }
}

impl Drop for BufferWait {
    fn drop(&mut self) {
        self.budget.lock().cancel_waiting(self.ticket);
        self.budget.shared.released.notify_all();
    }
}

impl BufferReservation {
    /// Returns an empty block.
    pub(super) fn take_block(&self) -> Vec<u8> {
        self.free_blocks().pop().unwrap_or_else(|| Vec::with_capacity(BLOCK_BYTES))
    }

    /// Keeps a block for others.
    pub(super) fn return_block(&self, mut block: Vec<u8>) {
        block.clear();
        self.free_blocks().push(block);
    }

    fn free_blocks(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        self.budget.shared.free_blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Grows the reservation to `bytes`; returns `false`, and changes nothing, if that exceeds the
    /// budget.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let wanted = bytes.max(self.bytes);
        let is_grown = self.budget.resize(MemoryUse::Other, self.bytes, wanted);
        if is_grown {
            self.bytes = wanted;
        }
        is_grown
    }

    /// Sets the reservation to `bytes` but for some that are not counted; returns `false`, and changes
    /// nothing, if that would leave less of the budget than it takes itself. So however many large
    /// reservations there are, a small one finds room.
    pub fn resize_within_share(&mut self, bytes: usize) -> bool {
        let wanted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let is_resized = self.budget.resize(MemoryUse::Response, self.bytes, wanted);
        if is_resized {
            self.bytes = wanted;
        }
        is_resized
    }

    /// Grows the reservation of a request body to what `length` bytes of it need; returns `false`, and
    /// changes nothing, if there is no room.
    pub(super) fn grow_body(&mut self, length: usize) -> bool {
        let wanted = counted_bytes(length).max(self.bytes);
        let memory_use = MemoryUse::of_request(byte_size(wanted));
        let is_grown = self.budget.resize(memory_use, self.bytes, wanted);
        if is_grown {
            self.bytes = wanted;
        }
        is_grown
    }

    /// Sets the reservation of a response body of `length` bytes; see [`Self::resize_within_share`].
    pub(super) fn resize_body(&mut self, length: usize) -> bool {
        self.resize_within_share(counted_bytes(length) + UNCOUNTED_BYTES)
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.resize(MemoryUse::Other, self.bytes, 0);
    }
}

/// Returns what a body of `length` bytes takes from the budget: whole blocks beyond the bytes that are
/// not counted.
fn counted_bytes(length: usize) -> usize {
    length.saturating_sub(UNCOUNTED_BYTES).div_ceil(BLOCK_BYTES).saturating_mul(BLOCK_BYTES)
}

fn byte_size(bytes: usize) -> ByteSize {
    ByteSize::new(bytes as u64)
}
