//! A flood of log lines is bounded, and the number of dropped lines is said.

use gentian_core::{MonoTime, TimeSpan};
use gentian_process::{GateOutcome, LogGate};

#[test]
fn lines_beyond_the_limit_are_counted() {
    let gate = LogGate::new(3);
    let now = MonoTime::from_millis(1_000_000);
    let outcomes: Vec<GateOutcome> = (0..5).map(|_| gate.decide(now)).collect();
    assert_eq!(outcomes[..3], [GateOutcome::Pass; 3]);
    assert_eq!(outcomes[3..], [GateOutcome::Drop; 2]);
    let later = now + TimeSpan::from_secs(1);
    assert_eq!(gate.decide(later), GateOutcome::PassAfter(2));
    assert_eq!(gate.decide(later), GateOutcome::Pass);
}
