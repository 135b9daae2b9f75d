//! Faults found while INI text is parsed and checked.

use std::fmt;

/// One fault in an INI text, with its line number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigFault {
    /// Line of the text, counted from 1.
    pub line: usize,
    /// What is wrong and what is accepted instead.
    pub message: String,
}

impl ConfigFault {
    /// Creates a fault at `line`.
    pub fn new(line: usize, message: impl Into<String>) -> Self {
        Self { line, message: message.into() }
    }
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

/// Formats faults one per line, each prefixed with the name of the file.
pub fn format_faults(file: &str, faults: &[ConfigFault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("{file}: {fault}")).collect();
    lines.join("\n")
}
