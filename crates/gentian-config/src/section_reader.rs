//! Typed reading of one section, which collects every fault.

use std::fmt::Display;
use std::str::FromStr;

use crate::{ConfigFault, IniSection, IniSetting};

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

    /// Reads a setting that must be present.
    pub fn required<T: FromStr<Err: Display>>(&mut self, key: &'static str) -> Option<T> {
        let Some(setting) = self.setting(key) else {
            let message = format!("[{}] needs '{key}'", self.section.header());
            self.faults.push(ConfigFault::new(self.section.line, message));
            return None;
        };
        self.parse(key, &setting.value, setting.line)
    }

    /// Reads a setting that may be absent.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, key: &'static str) -> Option<T> {
        let setting = self.setting(key)?;
        self.parse(key, &setting.value, setting.line)
    }

    /// Reads a list of values separated by commas; an absent setting is an empty list.
    pub fn list<T: FromStr<Err: Display>>(&mut self, key: &'static str) -> Vec<T> {
        let Some(setting) = self.setting(key) else { return Vec::new() };
        let items = setting.value.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.filter_map(|item| self.parse(key, item, setting.line)).collect()
    }

    /// Reads `yes` or `no`; an absent setting is `no`.
    pub fn flag(&mut self, key: &'static str) -> bool {
        let Some(setting) = self.setting(key) else { return false };
        match setting.value.as_str() {
            "yes" => true,
            "no" => false,
            value => {
                let message = format!("'{value}' is not a valid flag: expected yes or no");
                self.faults.push(ConfigFault::new(setting.line, message));
                false
            }
        }
    }

    /// Adds a fault at the line of `key`, or of the header if `key` is absent.
    pub fn add_fault(&mut self, key: &str, message: impl Into<String>) {
        let setting = self.section.settings.iter().find(|setting| setting.key == key);
        let line = setting.map_or(self.section.line, |setting| setting.line);
        self.faults.push(ConfigFault::new(line, message));
    }

    /// Returns the faults, including one for each setting that is unknown or given twice.
    pub fn into_faults(mut self) -> Vec<ConfigFault> {
        let header = self.section.header();
        for (i, setting) in self.section.settings.iter().enumerate() {
            let is_duplicate =
                self.section.settings[..i].iter().any(|other| other.key == setting.key);
            if !self.read_keys.contains(&setting.key.as_str()) {
                let known = self.read_keys.join(", ");
                let message = format!("unknown '{}' in [{header}]; known: {known}", setting.key);
                self.faults.push(ConfigFault::new(setting.line, message));
            } else if is_duplicate {
                let message = format!("'{}' is given twice in [{header}]", setting.key);
                self.faults.push(ConfigFault::new(setting.line, message));
            }
        }
        self.faults
    }

    /// Returns the setting with `key`, and records that the section may have one.
    fn setting(&mut self, key: &'static str) -> Option<&'a IniSetting> {
        self.read_keys.push(key);
        self.section.settings.iter().find(|setting| setting.key == key)
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
