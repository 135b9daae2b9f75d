//! Stand-ins for the systems around gentianwheel, each a process of its own.

mod commands;
mod engine;
mod fleet;
mod key_value;
mod shared;

use argh::FromArgs;

use commands::{
    EngineCommand, FleetStoreCommand, KeyValueCommand, ServiceCommand, VmListCommand,
    WeightStoreCommand,
};
use fleet::ReplicaSettings;

/// Stand-ins for the key-value service, the list of VMs, the weight store, model engines, plain
/// services, and the store and replicas of the users' platform. Each keeps a journal of what it did
/// (GET /control/journal) and simulates faults
/// (POST /control/fault?name=NAME&millis=N or &count=N); fleet-replica writes its journal to a file
/// and accepts only count.
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
    FleetStore(FleetStoreCommand),
    FleetReplica(Box<ReplicaSettings>),
}

fn main() -> eyre::Result<()> {
    gentian_process::start_logging("gentian-standin");
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        StandinCommand::KeyValue(command) => commands::run_key_value(command),
        StandinCommand::VmList(command) => commands::run_vm_list(command),
        StandinCommand::WeightStore(command) => commands::run_weight_store(command),
        StandinCommand::Engine(command) => commands::run_engine(command),
        StandinCommand::Service(command) => commands::run_service(command),
        StandinCommand::FleetStore(command) => commands::run_fleet_store(command),
        StandinCommand::FleetReplica(settings) => commands::run_fleet_replica(*settings),
    }
}
