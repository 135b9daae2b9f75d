//! Command that prints the digest of a key.

use argh::FromArgs;
use gentian_config::digest_key;

use super::ExitStatus;

/// Read a key from standard input and print the digest for its [key] section.
/// Example: printf %s "$KEY" | gentian-ctl key-digest
#[derive(FromArgs)]
#[argh(subcommand, name = "key-digest")]
pub(crate) struct KeyDigestCommand {}

/// Prints the digest of the key on standard input.
pub(crate) fn print_digest(_command: KeyDigestCommand) -> eyre::Result<ExitStatus> {
    let key = std::io::read_to_string(std::io::stdin())?;
    println!("{}", digest_key(key.trim()));
    Ok(ExitStatus::Done)
}
