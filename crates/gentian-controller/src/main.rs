//! A controller holds seats: one control thread decides, other threads do the I/O.

mod control;
mod controller_process;
mod io;

use std::path::PathBuf;

use argh::FromArgs;

/// Holds seats: share seats divide rate limits and slots among the entries, and the placement seat
/// places models and adapters on upstreams.
/// Settings are described in docs/OPERATIONS.md. SIGTERM hands the seats over and stops.
#[derive(FromArgs)]
struct Arguments {
    /// settings file with the sections [process] and [controller]
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    gentian_process::start_logging("gentian-controller");
    let arguments: Arguments = argh::from_env();
    let result = controller_process::run_controller(&arguments.settings);
    gentian_process::finish_logging();
    result
}
