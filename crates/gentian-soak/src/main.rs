//! Command-line tool that runs the fault soak.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use gentian_core::TimeSpan;
use gentian_soak::{FaultPlan, SoakSettings, run_soak};

/// Randomized fault soak of the real programs on loopback.
#[derive(FromArgs)]
struct Arguments {
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds (default 1)
    #[argh(option, default = "1")]
    count: u64,
    /// seconds of faults in each run (default 12)
    #[argh(option, default = "12")]
    seconds: u64,
    /// faults: random (default), silent-store, restored-store, stopped-entries, replaced-engines,
    /// paused-entries, crashed-engines, returned-engines or unframed-streams
    #[argh(option, default = "FaultPlan::default()")]
    plan: FaultPlan,
    /// entries (default 3)
    #[argh(option, default = "3")]
    entries: usize,
    /// callers (default 8)
    #[argh(option, default = "8")]
    callers: usize,
    /// further callers that are idle for seconds between two calls (default 2)
    #[argh(option, default = "2")]
    idle_callers: usize,
    /// percentage of streams with a part on which engines crash (default 2)
    #[argh(option, default = "2")]
    crash_percent: u32,
    /// percentage of calls that repeat one request on which replicas crash (default 1)
    #[argh(option, default = "1")]
    crash_request_percent: u32,
    /// percentage of calls with a body that have a long one (default 4)
    #[argh(option, default = "4")]
    long_upload_percent: u32,
    /// models that callers use (default all)
    #[argh(option)]
    models: Option<usize>,
    /// time between two events of a stream (default that of the stand-in)
    #[argh(option)]
    event_time: Option<TimeSpan>,
    /// folder with the programs (default target/release)
    #[argh(option, default = "PathBuf::from(\"target/release\")")]
    programs: PathBuf,
    /// folder for settings, logs and journals (default run/soak)
    #[argh(option, default = "PathBuf::from(\"run/soak\")")]
    folder: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.count {
        let folder = arguments.folder.join(format!("seed-{seed}"));
        let mut settings = SoakSettings::new(seed, arguments.programs.clone(), folder)
            .with_seconds(arguments.seconds)
            .with_fault_plan(arguments.plan)
            .with_size(arguments.entries, arguments.callers)
            .with_idle_callers(arguments.idle_callers)
            .with_crash_percent(arguments.crash_percent)
            .with_crash_request_percent(arguments.crash_request_percent)
            .with_long_upload_percent(arguments.long_upload_percent);
        if let Some(models) = arguments.models {
            settings = settings.with_models(models);
        }
        if let Some(event_time) = arguments.event_time {
            settings = settings.with_event_time(event_time);
        }
        match run_soak(&settings) {
            Ok(report) => {
                println!("seed {seed}: {report}");
                failed += u64::from(!report.is_clean());
            }
            Err(error) => {
                println!("seed {seed}: not run: {error:#}");
                failed += 1;
            }
        }
    }
    println!("{failed} of {} seeds failed", arguments.count);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
