//! Complete HTTP responses.

use crate::forward::ResponseHead;

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

    /// Returns the head in wire format and the body to send after it.
    pub(crate) fn encode(self, is_head: bool, keeps_connection: bool) -> (Vec<u8>, Vec<u8>) {
        let mut head = ResponseHead::new(self.status);
        for (name, value) in self.headers {
            head.headers.push(name, value);
        }
        let has_body = self.status != 204 && self.status != 304;
        let length = if has_body { self.body.len() } else { 0 };
        // Clients may want a length even where the status says that there is no body.
        head.headers.push("Content-Length", length.to_string());
        if !keeps_connection {
            head.headers.push("Connection", "close");
        }
        let body = if has_body && !is_head { self.body } else { Vec::new() };
        (head.to_bytes(), body)
    }
}
