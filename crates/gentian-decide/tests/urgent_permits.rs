//! Load pattern: upstreams name limits, and more is asked for than they take, by requests of different
//! urgency at different entries. What is more urgent goes first, wherever it waits.

#![allow(clippy::unwrap_used)]

use gentian_core::peer::{PermitRequest, RankedPermits, WantedPermits};
use gentian_core::{InstanceId, MonoTime, RequestRate, SequenceNumber, TimeSpan, UpstreamId, VmId};
use gentian_decide::limits::{PermitClient, PermitLedger, PermitState};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const START: MonoTime = MonoTime::from_millis(1_000_000);
const LIMIT: RequestRate = RequestRate::from_millis(6_000);
const URGENT: u8 = 0;
const PATIENT: u8 = 3;

fn upstream() -> UpstreamId {
    "i-1".parse().unwrap()
}

fn request(vm: &str, sequence: u64, rows: &[(u8, u32)]) -> RankedPermits {
    let wanted = |(_, count): &(u8, u32)| WantedPermits {
        upstream: upstream(),
        incarnation: 1,
        limit: LIMIT,
        count: *count,
    };
    let request = PermitRequest {
        vm: vm.parse().unwrap(),
        instance: InstanceId::new(1),
        sequence: SequenceNumber::new(sequence),
        wanted: rows.iter().map(wanted).collect(),
    };
    RankedPermits { request, priorities: rows.iter().map(|(priority, _)| *priority).collect() }
}

#[test]
fn permits_are_kept_for_more_urgent_requests_of_others() {
    let mut ledger = PermitLedger::new(MonoTime::ORIGIN);
    let mut ask = |vm, sequence, rows: &[(u8, u32)], millis| {
        let now = START + TimeSpan::from_millis(millis);
        let reply = ledger.handle_ranked(&request(vm, sequence, rows), |_| None, now).unwrap();
        reply.grants.iter().map(|grant| grant.count).collect::<Vec<_>>()
    };
    ask("vm-1", 1, &[(PATIENT, 20)], 0);
    assert_eq!(ask("vm-2", 1, &[(URGENT, 2)], 0), [0]);
    // Two permits have accrued: both belong to the urgent requests that got none.
    assert_eq!(ask("vm-1", 2, &[(PATIENT, 15)], 350), [0]);
    assert_eq!(ask("vm-2", 2, &[(URGENT, 2)], 360), [2]);
    assert_eq!(ask("vm-1", 3, &[(PATIENT, 15)], 540), [1]);
}

/// One message asks for both, in any order.
#[test]
fn the_urgent_rows_of_a_request_are_granted_first() {
    let mut ledger = PermitLedger::new(MonoTime::ORIGIN);
    let rows = [(PATIENT, 9), (URGENT, 4)];
    let reply = ledger.handle_ranked(&request("vm-1", 1, &rows), |_| None, START).unwrap();
    assert_eq!(reply.grants.iter().map(|grant| grant.count).collect::<Vec<_>>(), [1, 4]);
    // Who is patient has everything before it, who is urgent only what is as urgent.
    assert_eq!(reply.grants.iter().map(|grant| grant.backlog).collect::<Vec<_>>(), [8, 0]);
}

/// Urgent requests that an entry no longer waits with hold nothing back for long.
#[test]
fn requests_that_are_gone_hold_nothing_back() {
    let mut ledger = PermitLedger::new(MonoTime::ORIGIN);
    ledger.handle_ranked(&request("vm-1", 1, &[(URGENT, 40)]), |_| None, START).unwrap();
    let later = START + TimeSpan::from_millis(1_500);
    let reply = ledger.handle_ranked(&request("vm-2", 1, &[(PATIENT, 3)]), |_| None, later);
    assert_eq!(reply.unwrap().grants[0].count, 3);
}

/// Entries send as many urgent and patient requests as come, of each four a second where six are taken.
#[rstest]
fn urgent_requests_get_what_they_need(#[values(6, 30)] entries: usize, #[values(1, 2)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut ledger = PermitLedger::new(MonoTime::ORIGIN);
    let mut fleet: Vec<(VmId, PermitClient, [u32; 2])> = (0..entries)
        .map(|index| (format!("vm-{index}").parse().unwrap(), PermitClient::new(), [0; 2]))
        .collect();
    fleet.iter_mut().for_each(|(_, client, _)| client.update_hub(true));
    let (mut sent, mut asked) = ([0_u32; 2], [0_u32; 2]);
    for step in 0..4_000 {
        let now = START + TimeSpan::from_millis(10) * step;
        for (kind, asked) in asked.iter_mut().enumerate() {
            if random.random_bool(0.04) {
                *asked += 1;
                fleet[random.random_range(0..entries)].2[kind] += 1;
            }
        }
        for (vm, client, waiting) in &mut fleet {
            client.begin_round(now);
            for (kind, priority) in [(0, URGENT), (1, PATIENT)] {
                for _ in 0..waiting[kind] {
                    match client.state(&upstream(), priority, now) {
                        PermitState::Granted => {
                            client.consume(&upstream());
                            (waiting[kind], sent[kind]) = (waiting[kind] - 1, sent[kind] + 1);
                        }
                        PermitState::Unknown => client.want(&upstream(), priority, 1, LIMIT),
                        PermitState::Denied => {}
                    }
                }
            }
            if let Some(ranked) = client.next_request(vm, InstanceId::new(1), now) {
                let reply = ledger.handle_ranked(&ranked, |_| None, now).unwrap();
                client.handle_reply(&reply, now);
            }
        }
    }
    let served = f64::from(sent[0]) / f64::from(asked[0]);
    assert!(served > 0.95, "{served} of the urgent requests, {sent:?} of {asked:?}");
    let used = f64::from(sent[0] + sent[1]) / LIMIT.requests_in(TimeSpan::from_secs(40));
    assert!(used > 0.9, "{used} of the limit is used");
}
