//! Logs of a process.

use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::fmt::Formatter;
use env_logger::{Env, Target};
use gentian_core::EventCode;
use log::{Level, Record};

use crate::log_writer::LogWriter;
use crate::{LogDecision, LogLimiter, ProcessClock};

/// Lines of level `info` and below that a process writes in a second.
const LINE_LIMIT: u64 = 2_000;

/// Starts the logs of a process: one line per event on standard output, at level `info` unless
/// `RUST_LOG` says otherwise. Beyond a limit per second lines are dropped, and their number said; a
/// reader that does not keep up never blocks the process.
pub fn start_logging(process: &'static str) {
    let (gate, clock) = (LogLimiter::new(LINE_LIMIT), ProcessClock::new());
    let mut builder = env_logger::Builder::from_env(Env::default().default_filter_or("info"));
    builder.target(Target::Pipe(Box::new(LogWriter::start())));
    builder.format(move |output, record| {
        if record.level() <= Level::Warn {
            return write_line(output, process, record);
        }
        match gate.decide(clock.now()) {
            LogDecision::Write => write_line(output, process, record),
            LogDecision::Drop => Ok(()),
            LogDecision::WriteAfterDropped(count) => {
                let seconds = seconds();
                writeln!(
                    output,
                    "{seconds:.3} WARN {process} {} lines={count}",
                    EventCode::LOG_DROPPED
                )?;
                write_line(output, process, record)
            }
        }
    });
    if let Err(error) = builder.try_init() {
        log::warn!("logs were started before: {error}");
    }
}

fn write_line(output: &mut Formatter, process: &str, record: &Record<'_>) -> io::Result<()> {
    writeln!(output, "{:.3} {} {process} {}", seconds(), record.level(), record.args())
}

fn seconds() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|span| span.as_secs_f64()).unwrap_or_default()
}
