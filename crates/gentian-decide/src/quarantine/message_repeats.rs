//! Messages that are sent again, since a datagram may be lost.

use std::collections::VecDeque;

use gentian_core::peer::FleetMessage;
use gentian_core::{MonoTime, TimeSpan};

/// Times after the first sending at which a message is sent again.
const REPEAT_DELAYS: [TimeSpan; 2] = [TimeSpan::from_millis(60), TimeSpan::from_millis(400)];
/// Largest number of messages that wait to be sent again; the oldest is dropped first.
const MAX_MESSAGES: usize = 256;

/// Messages that are sent again.
#[derive(Debug, Default)]
pub struct MessageRepeats {
    messages: VecDeque<(MonoTime, FleetMessage)>,
}

impl MessageRepeats {
    /// Creates a queue without messages.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a message that was sent now.
    pub fn add(&mut self, message: FleetMessage, now: MonoTime) {
        for delay in REPEAT_DELAYS {
            if self.messages.len() >= MAX_MESSAGES {
                self.messages.pop_front();
            }
            self.messages.push_back((now + delay, age_message(&message, delay)));
        }
    }

    /// Returns the messages that are due, and removes them.
    pub fn take_due(&mut self, now: MonoTime) -> Vec<FleetMessage> {
        let (due, waiting): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(time, _)| *time <= now);
        self.messages = waiting;
        due.into_iter().map(|(_, message)| message).collect()
    }

    /// Returns when the next message is due.
    pub fn due(&self) -> Option<MonoTime> {
        self.messages.iter().map(|(time, _)| *time).min()
    }
}

/// Returns the message as it reads when it is sent `delay` later.
fn age_message(message: &FleetMessage, delay: TimeSpan) -> FleetMessage {
    let mut message = message.clone();
    match &mut message {
        FleetMessage::Suspect(report) => report.age = report.age + delay,
        FleetMessage::Served(notice) => {
            notice.works.iter_mut().for_each(|(_, age)| *age = *age + delay);
        }
        FleetMessage::Limit(notice) => notice.age = notice.age + delay,
        _ => {}
    }
    message
}
