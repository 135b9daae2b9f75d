//! Complete HTTP responses.

use std::io::Cursor;

use tiny_http::{Header, Response};

/// A complete HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl HttpResponse {
    /// Creates a response with an empty body.
    pub fn new(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: Vec::new() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Replaces the body with JSON text and sets its content type.
    pub fn with_json(self, body: impl Into<Vec<u8>>) -> Self {
        self.with_header("Content-Type", "application/json").with_body(body)
    }

    /// Replaces the body.
    pub fn with_body(self, body: impl Into<Vec<u8>>) -> Self {
        Self { body: body.into(), ..self }
    }

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    pub(crate) fn into_response(self) -> Response<Cursor<Vec<u8>>> {
        let mut response = Response::from_data(self.body).with_status_code(self.status);
        for (name, value) in self.headers {
            if let Ok(header) = Header::from_bytes(name, value) {
                response.add_header(header);
            }
        }
        response.with_chunked_threshold(usize::MAX)
    }
}
