//! The number of log lines per second is limited, and the number of dropped lines is reported.

use gentian_core::{MonoTime, TimeSpan};
use gentian_process::{LogDecision, LogLimiter};

#[test]
fn lines_beyond_the_limit_are_counted() {
    let limiter = LogLimiter::new(3);
    let now = MonoTime::from_millis(1_000_000);
    let outcomes: Vec<LogDecision> = (0..5).map(|_| limiter.decide(now)).collect();
    assert_eq!(outcomes[..3], [LogDecision::Write; 3]);
    assert_eq!(outcomes[3..], [LogDecision::Drop; 2]);
    let later = now + TimeSpan::from_secs(1);
    assert_eq!(limiter.decide(later), LogDecision::WriteAfterDropped(2));
    assert_eq!(limiter.decide(later), LogDecision::Write);
}
