//! Reading of an upstream's response.

use std::io::ErrorKind;

use gentian_core::MonoTime;
use gentian_decide::responses::{EndFault, ResponseEnd};
use gentian_http::forward::{
    BodyBuffer, BufferedStream, RequestUpload, ResponseFault, ResponseHead, ResponseReader,
    WaitOutcome, read_response_head, read_response_piece,
};

use super::{CallContext, CallHandles};
use crate::ResponseMetadata;

/// Size limit in bytes of the body of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Maximum number of responses to other requests that are skipped on one connection.
const MAX_STRAY_RESPONSES: u32 = 3;

/// Why reading from an upstream failed.
pub(super) enum ReadError {
    CallerGone,
    TimedOut,
    /// The response is invalid or not whole.
    Invalid(ResponseFault),
}

impl From<ResponseFault> for ReadError {
    fn from(fault: ResponseFault) -> Self {
        Self::Invalid(fault)
    }
}

/// A response whose body is still to be read.
pub(super) struct BegunResponse {
    /// Head of the response.
    pub(super) head: ResponseHead,
    /// What the head says about the request and the upstream.
    pub(super) metadata: ResponseMetadata,
    /// Reads the body.
    pub(super) reader: ResponseReader,
}

/// Reads response heads until one belongs to this request. A late or repeated response to an earlier
/// request on the same connection is skipped, unless it interrupted the sending of this one.
pub(super) fn read_head(
    handles: &CallHandles,
    call: &CallContext,
    stream: &mut BufferedStream,
    upload: &mut RequestUpload,
) -> Result<BegunResponse, ReadError> {
    let mut stray_count = 0;
    let mut reservation = handles.buffers.reserve();
    loop {
        let mut reader = ResponseReader::new(call.head.method.clone());
        let head = read_response_head(&mut reader, stream, |stream| {
            if !reservation.resize_within_share(stream.buffered().len()) {
                return Err(ResponseFault::HeadTooLarge.into());
            }
            // What has come so far may be an interim response, after which the upstream reads on.
            if upload.write(stream, call.further_pieces(), call.deadline).is_err() {
                return Err(ReadError::TimedOut);
            }
            wait_for_bytes(stream, &call.caller_stream, call.deadline)
        })?;
        let metadata = (handles.codec.decode_response)(&head);
        match &metadata.request_id {
            Some(id) if *id == call.metadata.request_id => {
                return Ok(BegunResponse { head, metadata, reader });
            }
            None if !stream.is_reused() => return Ok(BegunResponse { head, metadata, reader }),
            None => return Err(ResponseFault::Unnamed.into()),
            Some(_) => stray_count += 1,
        }
        if stray_count > MAX_STRAY_RESPONSES || !upload.is_complete() {
            return Err(ResponseFault::OtherRequest.into());
        }
        read_body(handles, call, stream, &mut reader)?;
    }
}

/// Reads the body of a response to its end, which isn't judged yet.
pub(super) fn read_body(
    handles: &CallHandles,
    call: &CallContext,
    stream: &mut BufferedStream,
    reader: &mut ResponseReader,
) -> Result<(BodyBuffer, ResponseEnd), ReadError> {
    let mut body = BodyBuffer::new(&handles.buffers);
    let mut piece = Vec::new();
    loop {
        let end = read_response_piece(reader, stream, &mut piece)?;
        if body.len() + piece.len() > MAX_RESPONSE_BYTES || !body.append(&piece) {
            return Err(ResponseFault::TooLarge.into());
        }
        if let Some(end) = end {
            return Ok((body, end));
        }
        piece.clear();
        wait_for_bytes(stream, &call.caller_stream, call.deadline)?;
    }
}

/// Waits until the upstream sends bytes or closes its side, which the next read of the stream shows;
/// fails if the caller leaves meanwhile.
pub(super) fn wait_for_bytes(
    stream: &mut BufferedStream,
    caller_stream: &BufferedStream,
    deadline: MonoTime,
) -> Result<(), ReadError> {
    loop {
        // Bytes may arrive faster than they are consumed, so that there is never a wait.
        if stream.is_past(deadline) {
            return Err(ReadError::TimedOut);
        }
        match stream.read_available() {
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return Err(ResponseFault::End(EndFault::Reset).into()),
        }
        match stream.wait_for_input_or_close(caller_stream, deadline) {
            Ok(WaitOutcome::Ready) => {}
            Ok(WaitOutcome::OtherClosed) => return Err(ReadError::CallerGone),
            Ok(WaitOutcome::TimedOut) => return Err(ReadError::TimedOut),
            Err(_) => return Err(ResponseFault::End(EndFault::Reset).into()),
        }
    }
}
