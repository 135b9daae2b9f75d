//! Command that publishes a configuration.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;
use eyre::WrapErr;
use gentian_config::format_faults;
use gentian_core::{ConfigVersion, PublicationId};
use gentian_process::{ConfigStore, ConfigStoreError, connect_etcd};

use super::ExitStatus;

/// Publish a configuration file; the whole set is checked first.
/// Example: gentian-ctl publish --key-value 127.0.0.1:2379 config/vitale.ini
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct PublishCommand {
    /// file to publish
    #[argh(positional)]
    file: PathBuf,
    /// address of the key-value service
    #[argh(option)]
    key_value: SocketAddr,
    /// publish only on top of this version
    #[argh(option)]
    base: Option<ConfigVersion>,
    /// publication id of an earlier attempt whose response was lost
    #[argh(option)]
    publication: Option<PublicationId>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Publishes the file under a new publication id, or under that of an earlier attempt.
pub(crate) fn publish_file(command: PublishCommand) -> eyre::Result<ExitStatus> {
    let file = command.file.display().to_string();
    let text =
        std::fs::read_to_string(&command.file).wrap_err_with(|| format!("cannot read {file}"))?;
    let publication = command.publication.unwrap_or_else(|| PublicationId::new(rand::random()));
    let store = ConfigStore::new(Arc::new(connect_etcd(command.key_value)));
    match store.publish(&text, publication, command.base) {
        Ok(version) if command.json => {
            let publication = publication.to_string();
            println!(
                "{}",
                serde_json::json!({ "version": version.get(), "publication": publication })
            );
            Ok(ExitStatus::Done)
        }
        Ok(version) => {
            println!("{file}: version {version} published, publication {publication}");
            Ok(ExitStatus::Done)
        }
        Err(ConfigStoreError::Faults(faults)) => {
            eprintln!("{}", format_faults(&file, &faults));
            Ok(ExitStatus::Found)
        }
        Err(error @ ConfigStoreError::Conflict(_)) => {
            eprintln!("{file}: {error}");
            Ok(ExitStatus::Conflict)
        }
        Err(error) => {
            eprintln!("{file}: publication {publication}: {error}");
            Ok(ExitStatus::Failed)
        }
    }
}
