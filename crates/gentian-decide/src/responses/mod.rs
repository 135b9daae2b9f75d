//! Decisions on responses that have ended: which are whole. Handles upstreams, stores and other servers
//! that end a response early, or whose response ends in a way that may hide an early end.

mod connection_end;
mod end_fault;
mod end_mark;
mod end_verdict;
mod event_position;
mod response_end;

pub use connection_end::ConnectionEnd;
pub use end_fault::EndFault;
pub use end_mark::EndMark;
pub use end_verdict::EndVerdict;
pub use event_position::EventPosition;
pub use response_end::ResponseEnd;
