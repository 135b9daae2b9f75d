//! Load generator with open-loop arrivals or a fixed number of concurrent calls, and a report for
//! each flow.

mod arrival_plan;
mod call_result;
mod call_runner;
mod flow_report;
mod flow_spec;
mod load_run;
mod load_scenario;

use std::path::PathBuf;

use argh::FromArgs;
use eyre::{WrapErr, bail};
use gentian_config::format_faults;

use load_scenario::LoadScenario;

/// Sends the calls of a scenario to entries on this machine and prints a report for each flow.
/// Example: gentian-load config/demo-load.ini
#[derive(FromArgs)]
struct Arguments {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    let file = arguments.scenario.display().to_string();
    let text = std::fs::read_to_string(&arguments.scenario)
        .wrap_err_with(|| format!("cannot read the scenario {file}"))?;
    let scenario = match LoadScenario::parse(&text) {
        Ok(scenario) => scenario,
        Err(faults) => bail!("the scenario is invalid\n{}", format_faults(&file, &faults)),
    };
    let reports = load_run::run_load(&scenario)?;
    if arguments.json {
        let rows: Vec<_> = reports.iter().map(flow_report::FlowReport::to_json).collect();
        println!("{}", serde_json::Value::from(rows));
    } else {
        println!("{}", flow_report::HEADING);
        reports.iter().for_each(|report| println!("{report}"));
    }
    Ok(())
}
