//! Command that shows the stored configuration.

use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use gentian_config::join_chunks;
use gentian_process::{ConfigStore, StoredConfig, connect_etcd};

use super::ExitStatus;

/// Print the newest configuration as INI text.
/// Example: gentian-ctl show --key-value 127.0.0.1:2379
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowCommand {
    /// address of the key-value service
    #[argh(option)]
    key_value: SocketAddr,
    /// print JSON with version and number of objects instead
    #[argh(switch)]
    json: bool,
}

/// Prints the newest stored configuration.
pub(crate) fn show_config(command: ShowCommand) -> eyre::Result<ExitStatus> {
    let stored = read_stored(command.key_value)?;
    if command.json {
        let (version, objects) = (stored.head.version.get(), stored.set.object_count());
        println!("{}", serde_json::json!({ "version": version, "objects": objects }));
    } else {
        println!("; version {}", stored.head.version);
        print!("{}", join_chunks(&stored.chunks));
    }
    Ok(ExitStatus::Done)
}

/// Reads the newest stored configuration.
pub(super) fn read_stored(address: SocketAddr) -> eyre::Result<StoredConfig> {
    let store = ConfigStore::new(Arc::new(connect_etcd(address)));
    Ok(store.read(&StoredConfig::new())?)
}
