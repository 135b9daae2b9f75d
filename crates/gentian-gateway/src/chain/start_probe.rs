//! Asks upstreams for their start, which tells an upstream that is back under its name from the one that
//! was there before.

use std::io::{self, ErrorKind};

use gentian_core::TimeSpan;
use gentian_decide::serving::UpstreamPick;
use gentian_decide::streams::{ReportedStart, TakeUpCheck};
use gentian_http::forward::{
    BodyFraming, BodyProgress, BodyReader, BufferedStream, HeadParser, ResponseHead,
};

use super::CallHandles;
use crate::control::ControlEvent;

/// Longest wait for a report. An upstream gives it at once, and a caller waits meanwhile.
const REPORT_TIMEOUT: TimeSpan = TimeSpan::from_millis(600);
/// Size limit in bytes of a report, as for those that the hub reads.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Why a request for the rest of a stream can't be sent to an upstream.
pub(super) enum StartError {
    /// The upstream has started again.
    Restarted,
    /// It can't be known whether it has.
    Unknown(String),
}

/// Connects to an upstream that is to go on with a stream. The report that shows that it is the listed
/// start is read on the same connection, which ends with the upstream.
pub(super) fn connect_checked(
    handles: &CallHandles,
    pick: &UpstreamPick,
    limit: TimeSpan,
) -> Result<BufferedStream, StartError> {
    let connected = BufferedStream::connect(pick.address, limit, handles.clock);
    let mut stream =
        connected.map_err(|error| StartError::Unknown(format!("no connection: {error}")))?;
    // An abandoned request must not arrive later.
    stream.set_abortive(true);
    let (reply, keeps_connection) = match read_start(handles, pick, &mut stream) {
        Ok(read) => read,
        Err(error) => return Err(StartError::Unknown(format!("no report: {error}"))),
    };
    match pick.start.check_take_up(reply) {
        TakeUpCheck::Send if keeps_connection => {
            // A faulty upstream may write the report once more.
            stream.mark_reused();
            Ok(stream)
        }
        TakeUpCheck::Send => handles
            .connections
            .acquire(pick.address, limit)
            .map_err(|error| StartError::Unknown(format!("no connection: {error}"))),
        TakeUpCheck::Restarted(start) => {
            report_start(handles, pick, start);
            Err(StartError::Restarted)
        }
        TakeUpCheck::Unknown => Err(StartError::Unknown("another upstream replied".to_owned())),
    }
}

fn report_start(handles: &CallHandles, pick: &UpstreamPick, start: u64) {
    handles.send_event(ControlEvent::StartReported {
        upstream: pick.upstream.clone(),
        incarnation: pick.start.listed,
        start,
    });
}

/// Reads the report of an upstream; returns the start that it names, and whether the connection stays
/// open.
fn read_start(
    handles: &CallHandles,
    pick: &UpstreamPick,
    stream: &mut BufferedStream,
) -> io::Result<(ReportedStart, bool)> {
    let deadline = handles.clock.now() + REPORT_TIMEOUT;
    let malformed =
        |error: &dyn std::fmt::Display| io::Error::new(ErrorKind::InvalidData, error.to_string());
    let request = (handles.codec.encode_start_call)(&pick.upstream, pick.address);
    stream.write_all(&request.to_bytes(), deadline)?;
    let mut parser = HeadParser::new();
    let head: ResponseHead = loop {
        if let Some((head, length)) =
            parser.parse(stream.buffered()).map_err(|error| malformed(&error))?
        {
            stream.consume(length);
            break head;
        }
        if stream.fill(deadline)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    };
    let framing =
        BodyFraming::of_response(head.status, &head.headers).map_err(|error| malformed(&error))?;
    let mut reader = BodyReader::new(framing);
    let mut reservation = handles.buffers.reserve();
    let mut body = Vec::new();
    loop {
        let progress =
            reader.read_buffered(stream, &mut body).map_err(|error| malformed(&error))?;
        if body.len() > MAX_REPORT_BYTES || !reservation.resize_within_share(body.len()) {
            return Err(malformed(&"the report is too large"));
        }
        if progress == BodyProgress::Complete {
            break;
        }
        stream.fill(deadline)?;
    }
    Ok(((handles.codec.decode_start)(&head, &body), head.keeps_connection()))
}
