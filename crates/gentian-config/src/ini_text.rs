//! Parsing and writing of INI text.

use serde_ini::{Item, Parser};

use crate::{ConfigFault, IniSection, IniSetting};

/// Parses the sections of `text`; every line that is not valid INI becomes a fault.
pub fn parse_ini(text: &str) -> (Vec<IniSection>, Vec<ConfigFault>) {
    let mut sections: Vec<IniSection> = Vec::new();
    let mut faults = Vec::new();
    for (i, item) in Parser::from_str(text).enumerate() {
        let line = i + 1;
        match item {
            Ok(Item::Empty | Item::Comment { .. }) => {}
            Ok(Item::Section { name }) => sections.push(IniSection::new(&name, line)),
            Ok(Item::Value { key, value }) => match sections.last_mut() {
                Some(section) => section.settings.push(IniSetting { key, value, line }),
                None => faults.push(ConfigFault::new(line, format!("'{key}' is in no section"))),
            },
            Err(error) => faults.push(ConfigFault::new(line, error.to_string())),
        }
    }
    (sections, faults)
}

/// Writes sections in a fixed layout, without comments.
pub fn write_ini<'a>(sections: impl IntoIterator<Item = &'a IniSection>) -> String {
    let mut text = String::new();
    for section in sections {
        text.push_str(&format!("[{}]\n", section.header()));
        for setting in &section.settings {
            text.push_str(&format!("{} = {}\n", setting.key, setting.value));
        }
    }
    text
}
