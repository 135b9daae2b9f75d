//! Asynchronous writer of log lines to standard output.

use std::io::{self, Write};
use std::time::Duration;

use flume::{Receiver, Sender, TrySendError};

/// Lines that wait for standard output; further lines of any level are dropped and not counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// Delay before a write, so that lines that arrive meanwhile are written together.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Passes lines to a writer thread and drops them when the queue is full.
pub(crate) struct LogWriter {
    lines: Sender<Vec<u8>>,
}

impl LogWriter {
    /// Starts the writer thread, which runs until the process ends because lines may arrive until
    /// then.
    pub(crate) fn start() -> Self {
        let (lines, queue) = flume::bounded(MAX_QUEUED_LINES);
        let builder = std::thread::Builder::new().name("logs".into());
        if let Err(error) = builder.spawn(move || write_lines(&queue)) {
            eprintln!("the log writer thread could not be started; no logs are written: {error}");
        }
        Self { lines }
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(bytes.to_vec()) {
            Ok(()) | Err(TrySendError::Full(_)) => Ok(bytes.len()),
            Err(TrySendError::Disconnected(_)) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(first) = queue.recv() {
        std::thread::sleep(BATCH_DELAY);
        let mut text = first;
        queue.drain().for_each(|line| text.extend(line));
        if output.write_all(&text).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
