//! Sections and settings of an INI text.

/// One `key = value` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniSetting {
    /// Text before the first `=`.
    pub key: String,
    /// Text after the first `=`.
    pub value: String,
    /// Line of the text, counted from 1.
    pub line: usize,
}

/// One `[kind name]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniSection {
    /// First word of the header.
    pub kind: String,
    /// Rest of the header; empty if the header is one word.
    pub name: String,
    /// Line of the header, counted from 1.
    pub line: usize,
    /// Settings in the order of the text.
    pub settings: Vec<IniSetting>,
}

impl IniSection {
    /// Creates a section without settings from the text of its header.
    pub fn new(header: &str, line: usize) -> Self {
        let (kind, name) = header.trim().split_once(' ').unwrap_or((header.trim(), ""));
        Self { kind: kind.to_owned(), name: name.trim().to_owned(), line, settings: Vec::new() }
    }

    /// Returns the text of the header, without brackets.
    pub fn header(&self) -> String {
        if self.name.is_empty() {
            self.kind.clone()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }
}
