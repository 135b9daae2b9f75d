//! Responses to calls whose bodies are still to be read.

use std::io::{self, Read};

use gentian_decide::responses::EndMark;

use crate::forward::{
    BufferedStream, ResponseError, ResponseFault, ResponseHead, ResponseReader, check_end,
    complete_request, read_response_piece,
};
use crate::{CallError, HttpClient};

/// A response to a call of an [`HttpClient`]. Its body is read from it; the read at its end fails unless
/// the body is whole, as far as the response shows it.
#[derive(Debug)]
pub struct CallResponse {
    client: HttpClient,
    stream: BufferedStream,
    head: ResponseHead,
    reader: ResponseReader,
    is_request_sent: bool,
    /// Body bytes that were read from the connection, of which the first `taken` were returned.
    piece: Vec<u8>,
    taken: usize,
    /// Set once the body has ended.
    result: Option<Result<(), ResponseError>>,
}

impl CallResponse {
    pub(crate) fn new(
        client: HttpClient,
        stream: BufferedStream,
        head: ResponseHead,
        reader: ResponseReader,
    ) -> Self {
        Self {
            client,
            stream,
            head,
            reader,
            is_request_sent: true,
            piece: Vec::new(),
            taken: 0,
            result: None,
        }
    }

    /// Sets whether the whole request was sent before the response came.
    pub(crate) fn with_request_sent(self, is_request_sent: bool) -> Self {
        Self { is_request_sent, ..self }
    }

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// Returns whether the status code is one of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.head.status)
    }

    /// Returns the first value of a header field, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.text(name)
    }

    /// Reads the whole body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unknown`] if the body is truncated or too large, or if the response has
    /// neither a content length nor chunks, because then truncation cannot be detected.
    pub fn read_full_body(self, limit: usize) -> Result<Vec<u8>, CallError> {
        self.read_body_while(limit, |_| true)
    }

    /// Reads a body like [`Self::read_full_body`], as long as `has_room` returns `true` for the bytes so
    /// far.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::read_full_body`], of which one that is too large is also one without
    /// room.
    pub fn read_body_while(
        mut self,
        limit: usize,
        mut has_room: impl FnMut(usize) -> bool,
    ) -> Result<Vec<u8>, CallError> {
        if self.reader.mark() == EndMark::Connection {
            let cause = "the response has neither a length nor chunks";
            return Err(CallError::Unknown(cause.to_owned()));
        }
        let mut body = Vec::new();
        loop {
            let ended =
                self.read_piece(&mut body).map_err(|error| self.client.record_error(error))?;
            if body.len() > limit || !has_room(body.len()) {
                return Err(self.client.record_error(ResponseFault::TooLarge.into()));
            }
            if ended {
                return Ok(body);
            }
        }
    }

    /// Appends the body bytes that have arrived to `output`, or waits for some if there are none; returns
    /// whether the body has ended.
    fn read_piece(&mut self, output: &mut Vec<u8>) -> Result<bool, ResponseError> {
        let length = output.len();
        if let Some(end) = read_response_piece(&mut self.reader, &mut self.stream, output)? {
            // The body of the request isn't kept, so that what is unsent of it can't be sent any more.
            let deadline = self.client.deadline();
            let end = complete_request(end, &mut self.stream, std::iter::empty(), deadline);
            check_end(end.with_request_sent(end.is_request_sent && self.is_request_sent))?;
            return Ok(true);
        }
        if output.len() == length {
            self.client.wait(&mut self.stream)?;
        }
        Ok(false)
    }

    /// Reads the next piece of the body if all of the last one was returned.
    fn fill_piece(&mut self) -> Result<(), ResponseError> {
        while self.taken == self.piece.len() && self.result.is_none() {
            self.taken = 0;
            let mut piece = std::mem::take(&mut self.piece);
            piece.clear();
            let read = self.read_piece(&mut piece);
            self.piece = piece;
            match read {
                Ok(false) => {}
                Ok(true) => self.result = Some(Ok(())),
                Err(error) => {
                    self.client.record_error(error);
                    self.result = Some(Err(error));
                }
            }
        }
        match (self.taken == self.piece.len(), self.result) {
            (true, Some(result)) => result,
            _ => Ok(()),
        }
    }
}

impl Read for CallResponse {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.fill_piece()?;
        let rest = &self.piece[self.taken..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.taken += count;
        Ok(count)
    }
}
