//! Asks upstreams for their start, which tells an upstream that is back under its name from the one that
//! was there before.

use std::io::ErrorKind;

use gentian_core::{EventCode, TimeSpan};
use gentian_decide::serving::UpstreamPick;
use gentian_decide::streams::{ReportedStart, TakeUpCheck};
use gentian_http::forward::{
    BufferedStream, RequestUpload, ResponseError, ResponseReader, check_end, complete_request,
    read_response_body, read_response_head,
};

use super::{CallContext, CallHandles};
use crate::control::ControlEvent;

/// Longest wait for a connection after the end of a response.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);
/// Longest wait for a report. An upstream gives it at once, and a caller waits meanwhile.
const REPORT_TIMEOUT: TimeSpan = TimeSpan::from_millis(600);
/// Size limit in bytes of a report, as for those that the hub reads.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Kind of these calls in logs and metrics.
const CALL_NAME: &str = "start";

/// Why a request for the rest of a stream can't be sent to an upstream.
pub(super) enum StartError {
    /// The upstream has started again, or may have and names no start.
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
    let check = pick.start.check_take_up(reply);
    count_check(handles, "take-up", check == TakeUpCheck::Send);
    match check {
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
            report_start(handles, pick, Some(start));
            Err(StartError::Restarted)
        }
        TakeUpCheck::Unnamed => {
            report_start(handles, pick, None);
            Err(StartError::Restarted)
        }
        TakeUpCheck::Unknown => Err(StartError::Unknown("another upstream replied".to_owned())),
    }
}

/// Returns whether a response that has ended with its connection is whole. The end of the upstream ends
/// the connection too, and the upstream may be back by now.
pub(super) fn has_ended_whole(
    handles: &CallHandles,
    call: &CallContext,
    pick: &UpstreamPick,
) -> bool {
    let reply = match BufferedStream::connect(pick.address, CONNECT_TIMEOUT, handles.clock) {
        Ok(mut stream) => read_start(handles, pick, &mut stream)
            .map_or(ReportedStart::NoReply, |(reply, _)| reply),
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => ReportedStart::Ended,
        Err(_) => ReportedStart::NoReply,
    };
    if let ReportedStart::At(start) = reply
        && !pick.start.is_listed(start)
    {
        report_start(handles, pick, Some(start));
    }
    let is_whole = pick.start.shows_end(reply);
    count_check(handles, "end", is_whole);
    if !is_whole {
        log::info!(
            "{} request={} upstream={} listed={} reported={reply}",
            EventCode::END_UNCERTAIN,
            call.metadata.request_id,
            pick.upstream,
            pick.start.listed
        );
    }
    is_whole
}

fn count_check(handles: &CallHandles, moment: &str, is_confirmed: bool) {
    let result = if is_confirmed { "confirmed" } else { "refused" };
    handles.metrics.start_checks.with_label_values(&[moment, result]).inc();
}

fn report_start(handles: &CallHandles, pick: &UpstreamPick, start: Option<u64>) {
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
) -> Result<(ReportedStart, bool), ResponseError> {
    let read = exchange_start(handles, pick, stream);
    if let Err(ResponseError::Invalid(fault)) = read {
        handles.metrics.response_log(CALL_NAME).record(&pick.upstream, fault);
    }
    read
}

fn exchange_start(
    handles: &CallHandles,
    pick: &UpstreamPick,
    stream: &mut BufferedStream,
) -> Result<(ReportedStart, bool), ResponseError> {
    let deadline = handles.clock.now() + REPORT_TIMEOUT;
    let request = (handles.codec.encode_start_call)(&pick.upstream, pick.address);
    let mut upload = RequestUpload::new(request.to_bytes(), 0);
    let wait = |stream: &mut BufferedStream| -> Result<(), ResponseError> {
        stream.fill(deadline)?;
        Ok(())
    };
    let mut reader = ResponseReader::new(request.method);
    let head = read_response_head(&mut reader, stream, |stream| {
        upload.write(stream, std::iter::empty(), deadline)?;
        wait(stream)
    })?;
    let mut reservation = handles.buffers.reserve();
    let has_room = |length| length <= MAX_REPORT_BYTES && reservation.resize_within_share(length);
    let (body, end) = read_response_body(&mut reader, stream, has_room, wait)?;
    check_end(complete_request(end, stream, upload.rest(std::iter::empty()), deadline))?;
    let keeps_connection = upload.is_complete() && head.keeps_connection();
    Ok(((handles.codec.decode_start)(&head, &body), keeps_connection))
}
