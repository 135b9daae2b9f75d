//! Election of the processes that make decisions: how a seat is taken, renewed and lost.

mod elector_choice;
mod held_seat;
mod seat_action;
mod seat_election;
mod seat_rules;
mod service_contact;
mod stored_seat;

pub use elector_choice::{ElectorCandidate, choose_electors};
pub use seat_action::{SeatAction, WriteOutcome};
pub use seat_election::SeatElection;
pub use seat_rules::{SeatRules, SeatTimes};
pub use service_contact::ServiceContact;
pub use stored_seat::StoredSeat;
