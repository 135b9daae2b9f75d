//! Typed reading of one section, which collects every fault.

use std::fmt::Display;
use std::str::FromStr;

use crate::{ConfigFault, IniEntry, IniSection};

/// Reads typed values from a section and collects the faults.
pub struct SectionReader<'a> {
    section: &'a IniSection,
    read_keys: Vec<&'static str>,
    faults: Vec<ConfigFault>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of `section`.
    pub fn new(section: &'a IniSection) -> Self {
        Self { section, read_keys: Vec::new(), faults: Vec::new() }
    }

    /// Reads the name in the header.
    pub fn name<T: FromStr<Err: Display>>(&mut self) -> Option<T> {
        self.parse("name", &self.section.name, self.section.line)
    }

    /// Reads an entry that must be present.
    pub fn required<T: FromStr<Err: Display>>(&mut self, key: &'static str) -> Option<T> {
        let Some(entry) = self.entry(key) else {
            let message = format!("[{}] needs '{key}'", self.section.header());
            self.faults.push(ConfigFault::new(self.section.line, message));
            return None;
        };
        self.parse(key, &entry.value, entry.line)
    }

    /// Reads an entry that may be absent.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, key: &'static str) -> Option<T> {
        let entry = self.entry(key)?;
        self.parse(key, &entry.value, entry.line)
    }

    /// Reads a list of values separated by commas; an absent entry is an empty list.
    pub fn list<T: FromStr<Err: Display>>(&mut self, key: &'static str) -> Vec<T> {
        let Some(entry) = self.entry(key) else { return Vec::new() };
        let items = entry.value.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.filter_map(|item| self.parse(key, item, entry.line)).collect()
    }

    /// Reads `yes` or `no`; an absent entry is `no`.
    pub fn flag(&mut self, key: &'static str) -> bool {
        let Some(entry) = self.entry(key) else { return false };
        match entry.value.as_str() {
            "yes" => true,
            "no" => false,
            value => {
                let message = format!("'{value}' is not a valid flag: expected yes or no");
                self.faults.push(ConfigFault::new(entry.line, message));
                false
            }
        }
    }

    /// Adds a fault at the line of `key`, or of the header if `key` is absent.
    pub fn add_fault(&mut self, key: &str, message: impl Into<String>) {
        let entry = self.section.entries.iter().find(|entry| entry.key == key);
        let line = entry.map_or(self.section.line, |entry| entry.line);
        self.faults.push(ConfigFault::new(line, message));
    }

    /// Returns the faults, including one for each entry that is unknown or given twice.
    pub fn into_faults(mut self) -> Vec<ConfigFault> {
        let header = self.section.header();
        for (i, entry) in self.section.entries.iter().enumerate() {
            let is_duplicate = self.section.entries[..i].iter().any(|other| other.key == entry.key);
            if !self.read_keys.contains(&entry.key.as_str()) {
                let known = self.read_keys.join(", ");
                let message = format!("unknown '{}' in [{header}]; known: {known}", entry.key);
                self.faults.push(ConfigFault::new(entry.line, message));
            } else if is_duplicate {
                let message = format!("'{}' is given twice in [{header}]", entry.key);
                self.faults.push(ConfigFault::new(entry.line, message));
            }
        }
        self.faults
    }

    /// Returns the entry with `key`, and records that the section may have one.
    fn entry(&mut self, key: &'static str) -> Option<&'a IniEntry> {
        self.read_keys.push(key);
        self.section.entries.iter().find(|entry| entry.key == key)
    }

    fn parse<T: FromStr<Err: Display>>(&mut self, key: &str, text: &str, line: usize) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.faults.push(ConfigFault::new(line, format!("'{key}': {error}")));
                None
            }
        }
    }
}
