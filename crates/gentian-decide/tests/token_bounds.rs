//! Schedules that come closest to the limit on an organisation's tokens.

#![allow(clippy::unwrap_used)]

use gentian_config::parse_config;
use gentian_core::peer::{SeatId, SeatRole, ShareRequest, TokenGrant, TokenRequest};
use gentian_core::{
    FenceNumber, InstanceId, MonoTime, SequenceNumber, ShardNumber, TimeSpan, TokenCount,
};
use gentian_decide::share::{LevelHistory, ShareAllocator, TokenAllowance};

const START: MonoTime = MonoTime::from_millis(1_000_000);
const SEAT: SeatId = SeatId::new(SeatRole::Share, ShardNumber::new(0));
const FENCE: FenceNumber = FenceNumber::new(1);
const RATE: u64 = 1_000;
const BURST: u64 = 4_000;

fn holder() -> ShareAllocator {
    let set = parse_config(&format!("[organisation club]\nrate = {RATE}\nburst = {BURST}\n"));
    let mut holder = ShareAllocator::new(SEAT, FENCE, START);
    holder.update(&set.unwrap(), START);
    holder
}

fn request(entry: u64, sequence: u64, wanted: u64, unused: u64, oldest_grant: u64) -> ShareRequest {
    let token_request = TokenRequest {
        organisation: "club".parse().unwrap(),
        wanted: TokenCount::new(wanted),
        minimum: TokenCount::ZERO,
        unused: TokenCount::new(unused),
        oldest_grant: SequenceNumber::new(oldest_grant),
        fence: FENCE,
    };
    ShareRequest {
        seat: SEAT,
        entry: InstanceId::new(entry),
        sequence: SequenceNumber::new(sequence),
        acked: SequenceNumber::default(),
        tokens: vec![token_request],
        slots: Vec::new(),
    }
}

fn grant(holder: &mut ShareAllocator, request: &ShareRequest, now: MonoTime) -> Option<TokenGrant> {
    Some(holder.handle_request(request, now)?.tokens.remove(0))
}

#[test]
fn tokens_kept_until_they_expire_stay_within_the_burst() {
    let mut holder = holder();
    let mut allowance = TokenAllowance::new("club".parse().unwrap());
    let first = grant(&mut holder, &request(1, 1, BURST, 0, 0), START).unwrap();
    allowance.handle_grant(&first, FENCE, START, START);
    let end = START + first.ttl.saturating_sub(TimeSpan::from_micros(1));
    let second = grant(&mut holder, &request(1, 2, BURST, 0, 0), end).unwrap();
    allowance.handle_grant(&second, FENCE, end, end);
    let at_once = allowance.available(end);
    assert!(at_once <= TokenCount::new(BURST), "{at_once} tokens at once, burst {BURST}");
    assert!(at_once > TokenCount::new(BURST * 9 / 10), "{at_once} tokens at once, burst {BURST}");
}

#[test]
fn expired_tokens_cannot_be_spent() {
    let mut allowance = TokenAllowance::new("club".parse().unwrap());
    let first = grant(&mut holder(), &request(1, 1, 100, 0, 0), START).unwrap();
    allowance.handle_grant(&first, FENCE, START, START);
    assert!(allowance.reserve(TokenCount::new(1), START + first.ttl).is_none());
}

#[test]
fn duplicate_return_counts_once() {
    let mut holder = holder();
    let first = grant(&mut holder, &request(1, 1, 2_000, 0, 0), START).unwrap();
    let rest = grant(&mut holder, &request(2, 1, BURST, 0, 0), START).unwrap();
    let return_request = request(1, 2, 0, 1_000, first.grant_number.get());
    assert!(grant(&mut holder, &return_request, START).is_some());
    assert!(grant(&mut holder, &return_request, START).is_none());
    let again = grant(&mut holder, &request(3, 1, BURST, 0, 0), START).unwrap();
    assert_eq!(again.granted.get(), 1_000);
    assert!(rest.granted.get() > 1_000);
}

#[test]
fn tokens_returned_after_the_bucket_was_full_again_are_lost() {
    let mut holder = holder();
    let first = grant(&mut holder, &request(1, 1, 1_000, 0, 0), START).unwrap();
    let later = START + TimeSpan::from_secs(10);
    let full = grant(&mut holder, &request(2, 1, BURST, 0, 0), later).unwrap();
    let after_return =
        grant(&mut holder, &request(1, 2, BURST, 1_000, first.grant_number.get()), later).unwrap();
    assert!(full.granted > TokenCount::new(BURST * 8 / 10));
    assert_eq!(after_return.granted, TokenCount::ZERO);
}

#[test]
fn return_to_a_later_holder_is_ignored() {
    let set = parse_config(&format!("[organisation club]\nrate = {RATE}\nburst = {BURST}\n"));
    let mut later = ShareAllocator::new(SEAT, FENCE.next(), START);
    later.update(&set.unwrap(), START);
    let after_return = grant(&mut later, &request(1, 1, BURST, 1_000, 1), START).unwrap();
    assert_eq!(after_return.granted, TokenCount::ZERO);
}

#[test]
fn history_gives_the_highest_level_since_a_grant() {
    let mut history = LevelHistory::new();
    let levels = [(0, 50), (1, 10), (1, 30), (2, 20), (3, 5)];
    levels.iter().for_each(|(grant, level)| history.record(SequenceNumber::new(*grant), *level));
    let since = |grant| history.highest_since(SequenceNumber::new(grant));
    assert_eq!([since(0), since(1), since(2), since(3)], [Some(50), Some(30), Some(20), Some(5)]);
}
