//! A burst of requests of one flow does not delay the requests of other flows.

use gentian_decide::entry::FairQueue;
use rstest::rstest;

/// Serves `served` items and returns how many of them belong to the flow `small`.
fn serve(queue: &mut FairQueue<&'static str, &'static str>, served: usize) -> usize {
    let mut count = 0;
    for _ in 0..served {
        let Some(tag) = queue.iter().next().map(|(tag, _)| tag) else { break };
        count += usize::from(queue.serve(tag) == Some("small"));
    }
    count
}

#[test]
fn new_item_of_an_idle_flow_is_served_at_once() {
    let mut queue = FairQueue::new();
    (0..1_000).for_each(|_| queue.push(&"flood", 1, 50, "flood"));
    serve(&mut queue, 300);
    queue.push(&"small", 1, 50, "small");
    assert_eq!(serve(&mut queue, 2), 1);
}

#[rstest]
#[case::equal(1, 50, 50)]
#[case::triple_weight(3, 50, 75)]
#[case::double_cost(1, 100, 33)]
fn backlogged_flows_share_by_weight_and_cost(
    #[case] weight: u32,
    #[case] cost: u64,
    #[case] expected: usize,
) {
    let mut queue = FairQueue::new();
    for _ in 0..200 {
        queue.push(&"flood", 1, 50, "flood");
        queue.push(&"small", weight, cost, "small");
    }
    let count = serve(&mut queue, 100);
    assert!(count.abs_diff(expected) <= 2, "{count} of 100");
}

#[test]
fn idle_time_earns_no_extra_share() {
    let mut queue = FairQueue::new();
    queue.push(&"small", 1, 50, "small");
    (0..500).for_each(|_| queue.push(&"flood", 1, 50, "flood"));
    serve(&mut queue, 400);
    (0..100).for_each(|_| queue.push(&"small", 1, 50, "small"));
    let count = serve(&mut queue, 20);
    assert!(count <= 11, "{count} of 20");
}
