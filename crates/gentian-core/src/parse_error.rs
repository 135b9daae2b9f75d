//! Error type of every `FromStr` implementation in this crate.

use std::fmt;

/// Error for text that is not a valid value of the named type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    kind: &'static str,
    text: String,
    expected: &'static str,
}

impl ParseError {
    /// Creates the error for `text`, which is not a valid `kind`; `expected` states the accepted form.
    pub fn new(kind: &'static str, text: impl Into<String>, expected: &'static str) -> Self {
        Self { kind, text: text.into(), expected }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'{}' is not a valid {}: expected {}", self.text, self.kind, self.expected)
    }
}

impl std::error::Error for ParseError {}
