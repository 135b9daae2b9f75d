//! Stand-ins for what surrounds the system: one small process each.

mod commands;
mod engine;
mod key_value;
mod shared;

use argh::FromArgs;

use commands::{EngineCommand, KeyValueCommand, ServiceCommand, VmListCommand, WeightStoreCommand};

/// Stand-ins for the key-value service, the list of VMs, the weight store, model engines and plain
/// services. Each keeps a journal of what it really did (GET /control/journal) and takes faults
/// (POST /control/fault?name=NAME&millis=N or &count=N).
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: StandinCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    KeyValue(KeyValueCommand),
    VmList(VmListCommand),
    WeightStore(WeightStoreCommand),
    Engine(EngineCommand),
    Service(ServiceCommand),
}

fn main() -> eyre::Result<()> {
    gentian_process::start_logs("gentian-standin");
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        StandinCommand::KeyValue(command) => commands::run_key_value(command),
        StandinCommand::VmList(command) => commands::run_vm_list(command),
        StandinCommand::WeightStore(command) => commands::run_weight_store(command),
        StandinCommand::Engine(command) => commands::run_engine(command),
        StandinCommand::Service(command) => commands::run_service(command),
    }
}
