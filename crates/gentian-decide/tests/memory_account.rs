//! The account of buffered bytes under random mixes of senders and orders of events, and the division of
//! a VM's memory.

#![allow(clippy::unwrap_used)]

use gentian_core::ByteSize;
use gentian_decide::memory::{MemoryAccount, MemoryPlan, MemoryUse, WaitTicket};
use proptest::prelude::*;

const LIMIT: ByteSize = ByteSize::from_mib(32);
/// Largest legal size of a body on the deployments.
const LARGEST_BODY: ByteSize = ByteSize::new(4_194_304);
/// Body of an ordinary request.
const SMALL_BODY: ByteSize = ByteSize::new(110_000);

/// What a sender does next.
#[derive(Clone, Copy, Debug)]
enum SenderEvent {
    Declare(u64),
    Chunk(u64),
    Read(u64),
    Poll,
    Leave,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sender {
    held: ByteSize,
    ticket: Option<(WaitTicket, ByteSize)>,
}

impl Sender {
    fn handle(&mut self, account: &mut MemoryAccount, event: SenderEvent) {
        match event {
            SenderEvent::Declare(bytes) if self.held == ByteSize::ZERO && self.ticket.is_none() => {
                let size = ByteSize::new(bytes);
                if account.reserve_body(size) {
                    self.held = size;
                } else {
                    self.ticket = account.enqueue(size).map(|ticket| (ticket, size));
                }
            }
            SenderEvent::Chunk(bytes) if self.ticket.is_none() => {
                let wanted = self.held + ByteSize::new(bytes);
                self.resize(account, MemoryUse::of_request(wanted), wanted);
            }
            SenderEvent::Read(bytes) if self.ticket.is_none() => {
                self.resize(account, MemoryUse::Response, ByteSize::new(bytes));
            }
            SenderEvent::Poll => {
                if let Some((ticket, size)) = self.ticket
                    && account.reserve_waiting(ticket)
                {
                    (self.held, self.ticket) = (size, None);
                }
            }
            SenderEvent::Leave => {
                if let Some((ticket, _)) = self.ticket.take() {
                    account.cancel_waiting(ticket);
                }
                self.resize(account, MemoryUse::Other, ByteSize::ZERO);
            }
            _ => {}
        }
    }

    fn resize(&mut self, account: &mut MemoryAccount, memory_use: MemoryUse, wanted: ByteSize) {
        if account.resize(memory_use, self.held, wanted) {
            self.held = wanted;
        }
    }
}

fn events() -> impl Strategy<Value = SenderEvent> {
    let size = prop_oneof![0..200_000_u64, 0..6_000_000_u64, Just(LARGEST_BODY.get())];
    prop_oneof![
        4 => size.clone().prop_map(SenderEvent::Declare),
        3 => size.clone().prop_map(SenderEvent::Chunk),
        2 => size.prop_map(SenderEvent::Read),
        3 => Just(SenderEvent::Poll),
        2 => Just(SenderEvent::Leave),
    ]
}

proptest! {
    /// Guards against bytes that are used beyond the limit, counted twice, or kept after a sender has
    /// left.
    #[test]
    fn use_stays_within_the_limit_and_ends_at_zero(
        schedule in proptest::collection::vec((0..24_usize, events()), 0..400)
    ) {
        let mut account = MemoryAccount::new(LIMIT);
        let mut senders = [Sender::default(); 24];
        for (number, event) in schedule {
            senders[number].handle(&mut account, event);
            let held: ByteSize = senders.iter().map(|sender| sender.held).sum();
            prop_assert!(account.used() <= LIMIT, "{} in use", account.used());
            prop_assert_eq!(account.used(), held);
            let waiting = senders.iter().filter_map(|sender| sender.ticket);
            let waiting: ByteSize = waiting.map(|(_, size)| size).sum();
            prop_assert_eq!(account.waiting(), waiting);
            prop_assert!(account.waiting().get() <= 2 * LIMIT.get());
        }
        for sender in &mut senders {
            sender.handle(&mut account, SenderEvent::Leave);
        }
        prop_assert_eq!((account.used(), account.waiting()), (ByteSize::ZERO, ByteSize::ZERO));
    }

    /// Guards against large request bodies that take the room of small ones and of responses, however
    /// many there are and in whatever order they come.
    #[test]
    fn large_bodies_leave_room_for_small_ones_and_responses(
        sizes in proptest::collection::vec(131_073..6_000_000_u64, 0..100)
    ) {
        let mut account = MemoryAccount::new(LIMIT);
        for size in sizes {
            if !account.reserve_body(ByteSize::new(size)) {
                account.enqueue(ByteSize::new(size));
            }
        }
        prop_assert!(account.reserve_body(SMALL_BODY));
        prop_assert!(account.resize(MemoryUse::Response, ByteSize::ZERO, LARGEST_BODY));
    }

    /// Guards against bodies that wait although there is room for them, and against newcomers that
    /// overtake those that wait.
    #[test]
    fn bodies_that_wait_are_served_in_their_order(sizes in
        proptest::collection::vec(200_000..5_000_000_u64, 1..30)
    ) {
        let mut account = MemoryAccount::new(LIMIT);
        let holder = ByteSize::new(19 << 20);
        prop_assert!(account.reserve_body(holder));
        let tickets: Vec<_> = sizes.iter().filter_map(|size| {
            let size = ByteSize::new(*size);
            account.enqueue(size).map(|ticket| (ticket, size))
        }).collect();
        prop_assert!(tickets.is_empty() || !account.reserve_body(ByteSize::new(200_000)));
        prop_assert!(account.resize(MemoryUse::Other, holder, ByteSize::ZERO));
        for (index, (ticket, size)) in tickets.iter().enumerate() {
            if let Some((later, _)) = tickets.get(index + 1) {
                prop_assert!(!account.reserve_waiting(*later));
            }
            prop_assert!(account.reserve_waiting(*ticket));
            prop_assert!(account.resize(MemoryUse::Other, *size, ByteSize::ZERO));
        }
        prop_assert_eq!((account.used(), account.waiting()), (ByteSize::ZERO, ByteSize::ZERO));
    }
}

/// A single body of the largest legal size fits on the smallest VM.
#[test]
fn the_smallest_vm_holds_a_body_of_legal_size() {
    let plan = MemoryPlan::new(ByteSize::new(120_000_000));
    let account = MemoryAccount::new(plan.buffers);
    assert!(account.can_hold(LARGEST_BODY));
    assert!(plan.connections >= 200, "{plan:?}");
}

/// What a plan hands out never exceeds the memory, however little there is.
#[test]
fn a_plan_stays_within_the_memory() {
    for megabytes in [0, 1, 20, 64, 120, 160, 260, 4_000] {
        let plan = MemoryPlan::new(ByteSize::new(megabytes * 1_000_000));
        let connections = plan.connections.saturating_sub(1) as u64 * 150_000;
        assert!(plan.buffers.get() + connections <= megabytes * 1_000_000, "{plan:?}");
    }
}
