//! Logging of a process.

use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::fmt::Formatter;
use env_logger::{Env, Target};
use gentian_core::EventCode;
use log::{Level, Record};

use crate::log_writer::LogWriter;
use crate::{LogDecision, LogLimiter, ProcessClock};

/// Limit for lines of level `info` and below. Warnings and errors are not limited here, but a full
/// queue of the log writer drops lines of every level.
const MAX_LINES_PER_SECOND: u64 = 2_000;

/// Starts logging: one line per event on standard output, at level `info` unless `RUST_LOG` sets
/// another level. Lines beyond a limit per second are dropped; a warning before the next line that
/// is within the limit reports their number. A slow reader of standard output never blocks the
/// process: lines that do not fit into the queue of the log writer are dropped and not counted.
pub fn start_logging(process: &'static str) {
    let (limiter, clock) = (LogLimiter::new(MAX_LINES_PER_SECOND), ProcessClock::new());
    let mut builder = env_logger::Builder::from_env(Env::default().default_filter_or("info"));
    builder.target(Target::Pipe(Box::new(LogWriter::start())));
    builder.format(move |output, record| {
        if record.level() <= Level::Warn {
            return write_line(output, process, record);
        }
        match limiter.decide(clock.now()) {
            LogDecision::Write => write_line(output, process, record),
            LogDecision::Drop => Ok(()),
            LogDecision::WriteAfterDropped(count) => {
                let seconds = unix_seconds();
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
        log::warn!("logging was started before: {error}");
    }
}

fn write_line(output: &mut Formatter, process: &str, record: &Record<'_>) -> io::Result<()> {
    writeln!(output, "{:.3} {} {process} {}", unix_seconds(), record.level(), record.args())
}

fn unix_seconds() -> f64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map(|span| span.as_secs_f64()).unwrap_or_default()
}
