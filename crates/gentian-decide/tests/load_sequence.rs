//! Order of loads when several are wanted at the same time.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use gentian_config::parse_config;
use gentian_core::peer::{ObjectPhase, PlacementRequest, TargetDemand, TargetId};
use gentian_core::{BootId, ByteSize, FenceNumber, InstanceId, MonoTime, SequenceNumber, TimeSpan};
use gentian_decide::placement::{EngineReport, PlacementPlanner, ReportedObject};

const START: MonoTime = MonoTime::from_millis(1_000_000);
const CONFIG: &str = "\
[fleet main]
load_interval = 600ms
[domain d]
[upstream e1]
kind = engine
address = 127.0.0.1:1
domain = d
slots = 8
[upstream e2]
kind = engine
address = 127.0.0.1:2
domain = d
slots = 8
[model popular]
memory = 14GiB
[model rare]
memory = 14GiB
[route r]
path = /r
kind = engine
open = yes
upstreams = e1, e2
models = popular, rare
";

fn target(name: &str) -> TargetId {
    TargetId::new(name.parse().unwrap())
}

#[test]
fn first_replica_of_one_model_goes_before_the_second_of_another() {
    let set = Arc::new(parse_config(CONFIG).unwrap());
    let seat = set.fleet.placement_seat();
    let mut planner = PlacementPlanner::new(seat, FenceNumber::new(1), START);
    planner.update(set);
    let loaded = ReportedObject {
        target: target("popular"),
        phase: ObjectPhase::Loaded,
        memory: ByteSize::from_mib(14 * 1024),
    };
    for (upstream, objects) in [("e1", vec![loaded]), ("e2", Vec::new())] {
        let report = EngineReport {
            upstream: upstream.parse().unwrap(),
            boot: BootId::new(1),
            memory_total: ByteSize::from_mib(80 * 1024),
            memory_used: ByteSize::ZERO,
            objects,
        };
        planner.handle_report(report, START);
    }
    let demand = |name, waiting, seconds| TargetDemand {
        target: target(name),
        waiting,
        running: 0,
        slack: TimeSpan::from_secs(seconds),
    };
    let request = PlacementRequest {
        seat,
        entry: InstanceId::new(1),
        sequence: SequenceNumber::new(1),
        fence: FenceNumber::new(1),
        known_revision: SequenceNumber::default(),
        demands: vec![demand("popular", 50, 5), demand("rare", 1, 20)],
    };
    planner.handle_request(&request, START);
    let orders = planner.decide(START);
    let names: Vec<&str> = orders.iter().map(|order| order.target.name()).collect();
    assert_eq!(names, ["rare"]);
    assert!(orders[0].may_be_sent(START + TimeSpan::from_millis(900)));
    assert!(
        !orders[0].may_be_sent(START + TimeSpan::from_millis(1_000)),
        "a paused holder may have lost its seat"
    );
}
