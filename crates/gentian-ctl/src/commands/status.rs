//! Command: status of running processes.

use std::net::SocketAddr;

use argh::FromArgs;
use gentian_core::TimeSpan;
use gentian_http::HttpClient;

use super::ExitStatus;

const CALL_LIMIT: TimeSpan = TimeSpan::from_secs(2);
const ANSWER_LIMIT: usize = 1 << 20;

/// Print the status of processes, a line of JSON each, by their admin addresses.
/// Example: gentian-ctl status 127.0.0.1:7101 127.0.0.1:7201
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {
    /// admin addresses
    #[argh(positional)]
    addresses: Vec<SocketAddr>,
}

/// Prints the status of each process; one that does not answer makes the command fail.
pub(crate) fn show_status(command: StatusCommand) -> eyre::Result<ExitStatus> {
    let mut status = ExitStatus::Done;
    for address in command.addresses {
        let agent = HttpClient::new(address, CALL_LIMIT);
        match agent.call_and_read("GET", "/status", &[], ANSWER_LIMIT) {
            Ok((_, body)) => println!("{address} {}", String::from_utf8_lossy(&body)),
            Err(error) => {
                eprintln!("{address} does not answer: {error}");
                status = ExitStatus::Failed;
            }
        }
    }
    Ok(status)
}
