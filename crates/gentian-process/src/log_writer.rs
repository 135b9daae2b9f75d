//! Log lines on their way to standard output.

use std::io::{self, Write};
use std::time::Duration;

use flume::{Receiver, Sender, TrySendError};

/// Lines that wait for standard output; more are dropped.
const QUEUE_LINES: usize = 4_096;
/// Pause in which lines gather, so that they are written together.
const GATHER_TIME: Duration = Duration::from_millis(50);

/// Hands lines to a thread that writes them, and drops them when that thread does not keep up.
pub(crate) struct LogWriter {
    lines: Sender<Vec<u8>>,
}

impl LogWriter {
    /// Starts the thread; it ends with the process, since lines may come until then.
    pub(crate) fn start() -> Self {
        let (lines, queue) = flume::bounded(QUEUE_LINES);
        let builder = std::thread::Builder::new().name("logs".into());
        if let Err(error) = builder.spawn(move || write_lines(&queue)) {
            eprintln!("logs are not written: {error}");
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
        std::thread::sleep(GATHER_TIME);
        let mut text = first;
        queue.drain().for_each(|line| text.extend(line));
        if output.write_all(&text).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
