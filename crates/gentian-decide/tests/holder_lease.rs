//! Orders of two different lease holders are at least the takeover delay apart, unless the earlier
//! one has handed over.

#![allow(clippy::unwrap_used)]

use gentian_core::{FenceNumber, LeaseId, MonoTime, StoreRevision, TimeSpan};
use gentian_decide::orders::{HolderLease, LeaseReply, LeaseTask, OrderCooldowns};

const START: MonoTime = MonoTime::from_millis(100_000);
const TAKEOVER_DELAY: TimeSpan = TimeSpan::from_secs(3);

fn at(millis: u64) -> MonoTime {
    START + TimeSpan::from_millis(millis)
}

/// Acquires the lease at `now`, with or without the record of a predecessor.
fn acquire(lease: &mut HolderLease, had_holder: bool, now: MonoTime) {
    assert!(matches!(lease.next_task(true, now), Some(LeaseTask::Grant(_))));
    assert!(!lease.handle_reply(LeaseReply::Granted(LeaseId::new(5)), now));
    assert_eq!(lease.next_task(true, now), Some(LeaseTask::Take(LeaseId::new(5))));
    assert!(lease.handle_reply(LeaseReply::Taken(StoreRevision::new(40), had_holder), now));
}

/// Renews the lease every 400 ms between these times, in milliseconds.
fn renew(lease: &mut HolderLease, from_millis: u64, to_millis: u64) {
    for millis in (from_millis..to_millis).step_by(100) {
        if let Some(LeaseTask::Renew(_)) = lease.next_task(false, at(millis)) {
            lease.handle_reply(LeaseReply::Renewed, at(millis));
        }
    }
}

#[test]
fn the_first_holder_is_active_at_once() {
    let mut lease = HolderLease::new(TAKEOVER_DELAY);
    acquire(&mut lease, false, START);
    assert_eq!(lease.acting_fence(START), Some(FenceNumber::new(40)));
}

#[test]
fn a_successor_waits_for_the_takeover_delay() {
    let mut lease = HolderLease::new(TAKEOVER_DELAY);
    acquire(&mut lease, true, START);
    renew(&mut lease, 0, 6_000);
    let first = (0..6_000).find(|millis| lease.acting_fence(at(*millis)).is_some());
    // The predecessor is active for at most 1,200 ms after its last renewal, and its lease ended
    // 2,000 ms after that renewal: at least 800 ms of the delay have passed when the successor
    // acquires the lease.
    assert!(first.is_some_and(|millis| millis + 800 >= TAKEOVER_DELAY.as_millis()), "{first:?}");
}

#[test]
fn a_holder_without_renewals_stops_before_its_lease_ends() {
    let mut lease = HolderLease::new(TAKEOVER_DELAY);
    acquire(&mut lease, false, START);
    assert!(lease.acting_fence(at(1_100)).is_some());
    assert!(lease.acting_fence(at(1_200)).is_none());
    assert!(lease.next_task(false, at(2_100)).is_none());
    assert!(!lease.is_held());
}

#[test]
fn a_renewal_counts_from_its_sending() {
    let mut lease = HolderLease::new(TAKEOVER_DELAY);
    acquire(&mut lease, false, START);
    assert!(lease.next_task(false, at(500)).is_some());
    // The reply arrives late, after a freeze of the process.
    lease.handle_reply(LeaseReply::Renewed, at(500));
    assert!(lease.acting_fence(at(1_600)).is_some());
    assert!(lease.acting_fence(at(1_800)).is_none());
}

#[test]
fn a_fenced_holder_is_never_active_with_that_fence_again() {
    let mut lease = HolderLease::new(TAKEOVER_DELAY);
    acquire(&mut lease, false, START);
    lease.retire(FenceNumber::new(40));
    assert!(lease.acting_fence(START).is_none());
    acquire(&mut lease, false, at(400));
    renew(&mut lease, 400, 5_000);
    assert!((400..5_000).all(|millis| lease.acting_fence(at(millis)).is_none()));
}

#[test]
fn a_stopping_holder_revokes_its_lease() {
    let mut lease = HolderLease::new(TAKEOVER_DELAY);
    acquire(&mut lease, false, START);
    assert_eq!(lease.release(), Some(LeaseTask::End(LeaseId::new(5))));
    assert!(lease.acting_fence(START).is_none());
}

#[test]
fn a_holder_that_cannot_renew_hands_over_once_it_has_stopped() {
    let mut lease = HolderLease::new(TAKEOVER_DELAY);
    acquire(&mut lease, false, START);
    renew(&mut lease, 0, 500);
    assert!(lease.give_up_if_expiring(at(1_100)).is_none(), "it is still active");
    assert_eq!(lease.give_up_if_expiring(at(1_700)), Some(FenceNumber::new(40)));
    assert!(lease.acting_fence(at(1_700)).is_none());
    lease.handle_reply(LeaseReply::Renewed, at(1_600));
    assert!(lease.acting_fence(at(1_700)).is_none(), "it has handed over");
    assert!(lease.give_up_if_expiring(at(1_800)).is_none());
}

#[test]
fn a_successor_is_active_at_once_after_a_handover() {
    let mut lease = HolderLease::new(TAKEOVER_DELAY);
    lease.handle_handover(FenceNumber::new(40), START);
    assert!(matches!(lease.next_task(false, at(10)), Some(LeaseTask::Grant(_))));
    assert!(!lease.handle_reply(LeaseReply::Granted(LeaseId::new(6)), at(10)));
    let task = lease.next_task(false, at(20));
    assert_eq!(task, Some(LeaseTask::TakeOver(LeaseId::new(6), FenceNumber::new(40))));
    assert!(lease.handle_reply(LeaseReply::TakenOver(StoreRevision::new(50)), at(20)));
    assert_eq!(lease.acting_fence(at(20)), Some(FenceNumber::new(50)));
}

#[test]
fn a_handover_is_void_after_a_while_and_once_another_process_holds_the_lease() {
    let mut lease = HolderLease::new(TAKEOVER_DELAY);
    lease.handle_handover(FenceNumber::new(40), START);
    assert!(lease.next_task(false, at(1_600)).is_none());
    lease.handle_handover(FenceNumber::new(40), at(2_000));
    lease.handle_holder_change(FenceNumber::new(41));
    assert!(lease.next_task(false, at(2_010)).is_none());
}

#[test]
fn engines_ordered_by_the_previous_holder_cool_down() {
    let (busy, idle) = ("engine-1".parse().unwrap(), "engine-2".parse().unwrap());
    let mut predecessor = OrderCooldowns::new(TAKEOVER_DELAY);
    predecessor.record_order(&busy, START);
    predecessor.record_order(&idle, at(0) - TimeSpan::from_secs(60));
    let orders = predecessor.recent_orders(at(1_000));
    let mut successor = OrderCooldowns::new(TAKEOVER_DELAY).with_predecessor(orders, at(1_010));
    assert!(successor.is_cooling_down(&busy, at(3_100)));
    assert!(!successor.is_cooling_down(&idle, at(1_010)));
    // A third holder has to wait for the orders of the first one, too.
    assert_eq!(successor.recent_orders(at(2_010)).len(), 1);
    assert!(!successor.is_cooling_down(&busy, at(4_000)));
    successor.record_order(&busy, at(4_000));
    assert!(!successor.is_cooling_down(&busy, at(4_010)), "own orders need no cooldown");
}

/// The copy from which the service was restored may be older than the first holder.
#[test]
fn a_holder_ordered_at_once_although_it_knew_a_predecessor_that_the_records_lack() {
    let mut lease = HolderLease::new(TAKEOVER_DELAY);
    lease.handle_holder_change(FenceNumber::new(30));
    acquire(&mut lease, false, START);
    assert!(lease.acting_fence(START).is_none());
    let mut restarted = HolderLease::new(TAKEOVER_DELAY).with_predecessor(true);
    acquire(&mut restarted, false, START);
    assert!(restarted.acting_fence(START).is_none());
}
