//! The table of docs/FAULTS.md: whether a response is whole, by the mark of its end, its connection, its
//! events and its request.

use gentian_decide::responses::EndVerdict::{Broken, Unknown, Whole};
use gentian_decide::responses::{
    ConnectionEnd, EndFault, EndMark, EndVerdict, EventPosition, ResponseEnd,
};
use rstest::rstest;

const POSITIONS: [EventPosition; 4] = [
    EventPosition::NoStream,
    EventPosition::Start,
    EventPosition::BetweenEvents,
    EventPosition::InsideEvent,
];
const CONNECTIONS: [ConnectionEnd; 3] =
    [ConnectionEnd::Open, ConnectionEnd::Closed, ConnectionEnd::Reset];

/// A marked end that was reached counts whatever happens to the connection and the request afterwards,
/// but not inside an event: such a stream was passed on as complete.
#[rstest]
fn a_marked_end_is_an_end_unless_it_is_inside_an_event(
    #[values(EndMark::Length, EndMark::LastChunk)] mark: EndMark,
    #[values(true, false)] is_request_sent: bool,
) {
    for (position, connection) in
        POSITIONS.iter().flat_map(|position| CONNECTIONS.map(|connection| (*position, connection)))
    {
        let end = ResponseEnd::new(mark, true, connection)
            .with_request_sent(is_request_sent)
            .with_position(position);
        let expected = match position {
            EventPosition::InsideEvent => Broken(EndFault::UnfinishedEvent),
            _ => Whole,
        };
        assert_eq!(end.judge(), expected, "{end:?}");
    }
}

#[rstest]
fn a_marked_end_that_was_not_reached_is_no_end(
    #[values(EndMark::Length, EndMark::LastChunk)] mark: EndMark,
    #[values(true, false)] is_request_sent: bool,
) {
    for position in POSITIONS {
        for (connection, fault) in
            [(ConnectionEnd::Closed, EndFault::Truncated), (ConnectionEnd::Reset, EndFault::Reset)]
        {
            let end = ResponseEnd::new(mark, false, connection)
                .with_request_sent(is_request_sent)
                .with_position(position);
            assert_eq!(end.judge(), Broken(fault), "{end:?}");
        }
    }
}

/// Where only the connection ends the body, nothing is whole by itself. A part of a response counted as a
/// whole one whose connection was closed while its request was still being sent.
#[rstest]
#[case::plain(EventPosition::NoStream, true, Unknown(EndFault::UnconfirmedEnd))]
#[case::events(EventPosition::BetweenEvents, true, Unknown(EndFault::UnconfirmedEnd))]
#[case::no_event(EventPosition::Start, true, Broken(EndFault::NoEvent))]
#[case::inside_event(EventPosition::InsideEvent, true, Broken(EndFault::CutEvent))]
#[case::plain_early(EventPosition::NoStream, false, Broken(EndFault::UnreadRequest))]
#[case::events_early(EventPosition::BetweenEvents, false, Broken(EndFault::UnreadRequest))]
#[case::no_event_early(EventPosition::Start, false, Broken(EndFault::NoEvent))]
#[case::inside_event_early(EventPosition::InsideEvent, false, Broken(EndFault::CutEvent))]
fn a_closed_connection_is_no_end_by_itself(
    #[case] position: EventPosition,
    #[case] is_request_sent: bool,
    #[case] expected: EndVerdict,
) {
    let end = ResponseEnd::new(EndMark::Connection, false, ConnectionEnd::Closed);
    let end = end.with_request_sent(is_request_sent).with_position(position);
    assert_eq!(end.judge(), expected);
}

#[rstest]
fn a_reset_connection_is_never_an_end_by_itself(#[values(true, false)] is_request_sent: bool) {
    for position in POSITIONS {
        let end = ResponseEnd::new(EndMark::Connection, false, ConnectionEnd::Reset);
        let end = end.with_request_sent(is_request_sent).with_position(position);
        assert_eq!(end.judge(), Broken(EndFault::Reset));
    }
}

/// An upstream whose HTTP server ends the body as usual has not crashed.
#[test]
fn an_unfinished_event_is_no_sign_of_a_crash() {
    assert!(!EndFault::UnfinishedEvent.may_be_crash());
    assert!(EndFault::CutEvent.may_be_crash() && EndFault::Reset.may_be_crash());
}
