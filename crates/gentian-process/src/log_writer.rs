//! Asynchronous writer of log lines to standard output.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::time::Duration;

use flume::{Receiver, Sender, TrySendError};

/// Lines that wait for standard output; further lines of any level are dropped and not counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// Delay before a write, so that lines that arrive meanwhile are written together.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for the last lines when the process ends.
const FINISH_TIMEOUT: Duration = Duration::from_millis(150);

/// Queue of the writer thread of this process.
static QUEUE: OnceLock<Sender<LogEntry>> = OnceLock::new();

enum LogEntry {
    Line(Vec<u8>),
    /// Asks for a reply once all earlier lines are written.
    Finish(Sender<()>),
}

/// Passes lines to a writer thread and drops them when the queue is full.
pub(crate) struct LogWriter {
    entries: Sender<LogEntry>,
}

impl LogWriter {
    /// Starts the writer thread, which runs until the process ends because lines may arrive until
    /// then.
    pub(crate) fn start() -> Self {
        let (entries, queue) = flume::bounded(MAX_QUEUED_LINES);
        let builder = std::thread::Builder::new().name("logs".into());
        if let Err(error) = builder.spawn(move || write_entries(&queue)) {
            eprintln!("the log writer thread could not be started; no logs are written: {error}");
        }
        let entries = QUEUE.get_or_init(|| entries).clone();
        Self { entries }
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.entries.try_send(LogEntry::Line(bytes.to_vec())) {
            Ok(()) | Err(TrySendError::Full(_)) => Ok(bytes.len()),
            Err(TrySendError::Disconnected(_)) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Doesn't wait, since it is called after each line.
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits a short time until the lines that were logged before are written. To be called right before
/// the process ends.
pub fn finish_logging() {
    let Some(entries) = QUEUE.get() else { return };
    let (written, reply) = flume::bounded(1);
    let is_sent = entries.send_timeout(LogEntry::Finish(written), FINISH_TIMEOUT).is_ok();
    if is_sent && reply.recv_timeout(FINISH_TIMEOUT).is_err() {
        eprintln!("the last log lines were not written in time");
    }
}

fn write_entries(queue: &Receiver<LogEntry>) {
    let mut output = io::stdout().lock();
    while let Ok(first) = queue.recv() {
        if matches!(first, LogEntry::Line(_)) {
            std::thread::sleep(BATCH_DELAY);
        }
        let (mut text, mut finished) = (Vec::new(), Vec::new());
        for entry in std::iter::once(first).chain(queue.drain()) {
            match entry {
                LogEntry::Line(line) => text.extend(line),
                LogEntry::Finish(written) => finished.push(written),
            }
        }
        if output.write_all(&text).and_then(|()| output.flush()).is_err() {
            return;
        }
        for written in finished {
            if written.send(()).is_err() {
                return;
            }
        }
    }
}
