//! Command-line tool for operators.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;

use commands::{
    CallCommand, CheckCommand, DiffCommand, ExitStatus, ExplainCommand, KeyDigestCommand,
    PublishCommand, ShowCommand, StatusCommand,
};

/// Operates gentianwheel: checks and publishes configurations, shows what is in force and explains
/// what happened to a request. Exit codes: 0 done, 1 failed, 2 faults or differences found,
/// 3 another operator was first.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: CtlCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum CtlCommand {
    Check(CheckCommand),
    Publish(PublishCommand),
    Show(ShowCommand),
    Diff(DiffCommand),
    Status(StatusCommand),
    Explain(ExplainCommand),
    KeyDigest(KeyDigestCommand),
    Call(CallCommand),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let outcome = match arguments.command {
        CtlCommand::Check(command) => commands::check_file(command),
        CtlCommand::Publish(command) => commands::publish_file(command),
        CtlCommand::Show(command) => commands::show_config(command),
        CtlCommand::Diff(command) => commands::diff_config(command),
        CtlCommand::Status(command) => commands::show_status(command),
        CtlCommand::Explain(command) => commands::explain_request(command),
        CtlCommand::KeyDigest(command) => commands::print_digest(command),
        CtlCommand::Call(command) => commands::make_call(command),
    };
    let status = outcome.unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        ExitStatus::Failed
    });
    status.into()
}
