//! Command that prints the status of running processes.

use std::net::SocketAddr;

use argh::FromArgs;
use gentian_core::TimeSpan;
use gentian_http::HttpClient;

use super::ExitStatus;

const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Print the status of processes, given by their admin addresses, as one line of JSON each.
/// Example: gentian-ctl status 127.0.0.1:7101 127.0.0.1:7201
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {
    /// admin addresses
    #[argh(positional)]
    addresses: Vec<SocketAddr>,
}

/// Prints the status of each process; the command fails if any process does not answer.
pub(crate) fn show_status(command: StatusCommand) -> eyre::Result<ExitStatus> {
    let mut status = ExitStatus::Done;
    for address in command.addresses {
        let client = HttpClient::new(address, CALL_TIMEOUT);
        match client.call_and_read("GET", "/status", &[], MAX_RESPONSE_BYTES) {
            Ok((_, body)) => println!("{address} {}", String::from_utf8_lossy(&body)),
            Err(error) => {
                eprintln!("cannot get the status of {address}: {error}");
                status = ExitStatus::Failed;
            }
        }
    }
    Ok(status)
}
