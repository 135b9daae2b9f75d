//! Command that compares a file with the stored configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use eyre::WrapErr;
use gentian_config::{IniSection, join_chunks, parse_ini, write_ini};

use super::ExitStatus;
use super::show::read_stored;

/// Compare a file with the newest configuration, section by section.
/// Example: gentian-ctl diff --key-value 127.0.0.1:2379 config/vitale.ini
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffCommand {
    /// file to compare
    #[argh(positional)]
    file: PathBuf,
    /// address of the key-value service
    #[argh(option)]
    key_value: SocketAddr,
}

/// Prints the headers of added (`+`), removed (`-`) and changed (`~`) sections.
pub(crate) fn diff_config(command: DiffCommand) -> eyre::Result<ExitStatus> {
    let file = command.file.display().to_string();
    let text =
        std::fs::read_to_string(&command.file).wrap_err_with(|| format!("cannot read {file}"))?;
    let stored = read_stored(command.key_value)?;
    let old = sections_by_header(&join_chunks(&stored.chunks));
    let new = sections_by_header(&text);
    let mut count = 0;
    let mut print_change = |symbol: char, header: &str| {
        println!("{symbol} [{header}]");
        count += 1;
    };
    for (header, body) in &new {
        match old.get(header) {
            None => print_change('+', header),
            Some(old_body) if old_body != body => print_change('~', header),
            Some(_) => {}
        }
    }
    old.keys()
        .filter(|header| !new.contains_key(*header))
        .for_each(|header| print_change('-', header));
    println!("{count} sections differ from version {}", stored.head.version);
    Ok(if count == 0 { ExitStatus::Done } else { ExitStatus::Found })
}

fn sections_by_header(text: &str) -> BTreeMap<String, String> {
    let (sections, _) = parse_ini(text);
    let body = |section: &IniSection| (section.header(), write_ini([section]));
    sections.iter().map(body).collect()
}
