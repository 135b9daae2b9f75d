//! Command that explains what happened to a request.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::WrapErr;
use gentian_core::{EVENT_CATALOGUE, RequestId};

use super::ExitStatus;

/// Print every decision on a request from log files, with its cause and what to do.
/// Example: gentian-ctl explain 00c0ffee00c0ffee run/entry-1.log run/entry-2.log
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainCommand {
    /// id of the request, from the header X-Request-Id
    #[argh(positional)]
    request: RequestId,
    /// log files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Prints the log lines of the request in the order of their time.
pub(crate) fn explain_request(command: ExplainCommand) -> eyre::Result<ExitStatus> {
    let request_word = format!("request={}", command.request);
    let mut lines: Vec<String> = Vec::new();
    for file in &command.files {
        let text = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("cannot read the log {}", file.display()))?;
        let matching_lines =
            text.lines().filter(|line| line.split(' ').any(|word| word == request_word));
        lines.extend(matching_lines.map(str::to_owned));
    }
    lines.sort();
    for line in &lines {
        println!("{line}");
        let words = line.split(' ');
        let entry = EVENT_CATALOGUE
            .iter()
            .find(|entry| words.clone().any(|word| word == entry.code.to_string()));
        if let Some(entry) = entry {
            println!("    {}: {} {}", entry.name, entry.cause, entry.action);
        }
    }
    Ok(if lines.is_empty() { ExitStatus::Found } else { ExitStatus::Done })
}
