//! Reading of responses from connections.

use gentian_core::{MonoTime, TimeSpan};
use gentian_decide::responses::{ConnectionEnd, EndFault, EndMark, EndVerdict, ResponseEnd};

use super::{BufferedStream, ResponseFault, ResponseHead, ResponseReader};

/// Longest pause of a server that takes the rest of a request after its response. One that has stopped
/// reading resets the connection sooner or later.
const MAX_REQUEST_PAUSE: TimeSpan = TimeSpan::from_millis(500);

/// Reads the head of a response; `wait` waits for further bytes.
///
/// # Errors
///
/// Returns the check that the response failed, or an error of `wait`.
pub fn read_response_head<E: From<ResponseFault>>(
    reader: &mut ResponseReader,
    stream: &mut BufferedStream,
    mut wait: impl FnMut(&mut BufferedStream) -> Result<(), E>,
) -> Result<ResponseHead, E> {
    loop {
        let (used, head) = reader.read_head(stream.buffered())?;
        stream.consume(used);
        match head {
            Some(head) => return Ok(head),
            None if stream.is_at_eof() => {
                return Err(ResponseFault::End(EndFault::Truncated).into());
            }
            None => wait(stream)?,
        }
    }
}

/// Moves the body bytes that `stream` has buffered to `output`; returns the end of the response if there
/// is no more of it.
///
/// # Errors
///
/// Returns the check that the body failed.
pub fn read_response_piece(
    reader: &mut ResponseReader,
    stream: &mut BufferedStream,
    output: &mut Vec<u8>,
) -> Result<Option<ResponseEnd>, ResponseFault> {
    let used = reader.read_body(stream.buffered(), output)?;
    stream.consume(used);
    Ok(match (reader.is_mark_reached(), stream.is_at_eof()) {
        (true, _) => Some(reader.end(ConnectionEnd::Open)),
        (false, true) => Some(reader.end(ConnectionEnd::Closed)),
        (false, false) => None,
    })
}

/// Reads the body of a response as long as `has_room` returns `true` for its bytes so far; `wait` waits
/// for further ones.
///
/// # Errors
///
/// Returns the check that the body failed, or an error of `wait`.
pub fn read_response_body<E: From<ResponseFault>>(
    reader: &mut ResponseReader,
    stream: &mut BufferedStream,
    mut has_room: impl FnMut(usize) -> bool,
    mut wait: impl FnMut(&mut BufferedStream) -> Result<(), E>,
) -> Result<(Vec<u8>, ResponseEnd), E> {
    let mut body = Vec::new();
    loop {
        let end = read_response_piece(reader, stream, &mut body)?;
        if !has_room(body.len()) {
            return Err(ResponseFault::TooLarge.into());
        }
        match end {
            Some(end) => return Ok((body, end)),
            None => wait(stream)?,
        }
    }
}

/// Adds to the end of a response whether the request was sent whole, which counts if only the connection
/// ends the body. What is unsent by then, `rest`, is sent until `deadline` at most, as a server that had
/// stopped reading would show by a reset.
pub fn complete_request<'a>(
    end: ResponseEnd,
    stream: &mut BufferedStream,
    rest: impl Iterator<Item = &'a [u8]>,
    deadline: MonoTime,
) -> ResponseEnd {
    match end.mark {
        EndMark::Length | EndMark::LastChunk => end,
        EndMark::Connection => {
            end.with_request_sent(stream.finish_request(rest, MAX_REQUEST_PAUSE, deadline))
        }
    }
}

/// Checks the end of a response that nothing but its own format confirms, such as a JSON value.
///
/// # Errors
///
/// Returns the fault of a response that isn't whole.
pub fn check_end(end: ResponseEnd) -> Result<(), ResponseFault> {
    match end.judge() {
        EndVerdict::Whole | EndVerdict::Unknown(_) => Ok(()),
        EndVerdict::Broken(fault) => Err(fault.into()),
    }
}
