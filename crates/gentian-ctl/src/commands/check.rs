//! Command that checks a configuration file.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::WrapErr;
use gentian_config::{format_faults, parse_config};

use super::ExitStatus;

/// Check a configuration file and list every fault with its line.
/// Example: gentian-ctl check config/vitale.ini
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckCommand {
    /// file to check
    #[argh(positional)]
    file: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Checks the file and prints its faults.
pub(crate) fn check_file(command: CheckCommand) -> eyre::Result<ExitStatus> {
    let file = command.file.display().to_string();
    let text =
        std::fs::read_to_string(&command.file).wrap_err_with(|| format!("cannot read {file}"))?;
    match parse_config(&text) {
        Ok(set) if command.json => {
            println!("{}", serde_json::json!({ "objects": set.object_count(), "faults": [] }));
            Ok(ExitStatus::Done)
        }
        Ok(set) => {
            println!("{file}: {} objects, no faults", set.object_count());
            Ok(ExitStatus::Done)
        }
        Err(faults) if command.json => {
            let list: Vec<_> = faults
                .iter()
                .map(|fault| serde_json::json!({ "line": fault.line, "message": fault.message }))
                .collect();
            println!("{}", serde_json::json!({ "faults": list }));
            Ok(ExitStatus::Found)
        }
        Err(faults) => {
            eprintln!("{}", format_faults(&file, &faults));
            Ok(ExitStatus::Found)
        }
    }
}
