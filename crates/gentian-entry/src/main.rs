//! An entry serves callers: a filter chain on traffic threads, and one control thread.

mod chain;
mod control;
mod entry_metrics;
mod entry_process;
mod entry_settings;
mod front;

use std::path::PathBuf;

use argh::FromArgs;

/// Serves callers: checks keys and rate limits, chooses an upstream and relays the response.
/// Settings are described in docs/OPERATIONS.md. SIGTERM finishes open requests and stops.
#[derive(FromArgs)]
struct Arguments {
    /// settings file with the sections [process] and [entry]
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    gentian_process::start_logging("gentian-entry");
    let arguments: Arguments = argh::from_env();
    let result = entry_process::run_entry(&arguments.settings);
    gentian_process::finish_logging();
    result
}
