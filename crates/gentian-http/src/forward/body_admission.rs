//! Room for the body of a request, before it is read.

use std::time::Duration;

use gentian_core::{MonoTime, TimeSpan};

use super::{BodyBuffer, BodyFraming, BodyRoom, BufferBudget, BufferWait, BufferedStream};
use crate::ProcessClock;

/// Interval between checks whether a caller whose body waits for room is still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a body may be read.
#[derive(Debug)]
pub enum BodyAdmission {
    /// It may be read into this buffer, after a wait.
    Admitted(BodyBuffer, TimeSpan),
    /// The caller left meanwhile.
    CallerGone,
    /// It is larger than any that the process may hold.
    TooLarge,
    /// There is no room.
    Full,
}

/// Reserves room for a body, and waits for it until `deadline` at most. Nothing of the body is read
/// meanwhile. A chunked body reserves as it grows.
pub fn admit_body(
    budget: &BufferBudget,
    stream: &BufferedStream,
    framing: BodyFraming,
    deadline: MonoTime,
    clock: ProcessClock,
) -> BodyAdmission {
    let BodyFraming::Length(length) = framing else {
        return BodyAdmission::Admitted(BodyBuffer::for_request(budget.reserve()), TimeSpan::ZERO);
    };
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if !budget.can_hold_body(length) {
        return BodyAdmission::TooLarge;
    }
    match budget.reserve_body(length) {
        BodyRoom::Reserved(reservation) => {
            BodyAdmission::Admitted(BodyBuffer::for_request(reservation), TimeSpan::ZERO)
        }
        BodyRoom::Waiting(wait) => wait_for_room(stream, &wait, deadline, clock),
        BodyRoom::Full => BodyAdmission::Full,
    }
}

fn wait_for_room(
    stream: &BufferedStream,
    wait: &BufferWait,
    deadline: MonoTime,
    clock: ProcessClock,
) -> BodyAdmission {
    let start = clock.now();
    loop {
        let now = clock.now();
        if now >= deadline {
            return BodyAdmission::Full;
        }
        let pause = CALLER_CHECK_INTERVAL.min(deadline.since(now).into());
        if let Some(reservation) = wait.wait(pause) {
            let waited = clock.now().since(start);
            return BodyAdmission::Admitted(BodyBuffer::for_request(reservation), waited);
        }
        if stream.is_peer_closed() {
            return BodyAdmission::CallerGone;
        }
    }
}
