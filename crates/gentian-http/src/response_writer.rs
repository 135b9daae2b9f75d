//! Output of a response that is sent piece by piece.

use std::io::{self, Write};
use std::sync::PoisonError;

use gentian_core::TimeSpan;

use crate::ProcessClock;
use crate::forward::BufferedStream;
use crate::http_request::KeptStream;

/// How long a caller may take no byte of its response.
const WRITE_PAUSE: TimeSpan = TimeSpan::from_secs(5);
/// How long one write of a response may take as a whole.
const WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);

/// Writes to a connection, and leaves it to the next request at the end if it stays open and is sound.
pub(crate) struct ResponseWriter {
    stream: Option<BufferedStream>,
    kept: Option<KeptStream>,
    clock: ProcessClock,
}

impl ResponseWriter {
    pub(crate) fn new(
        stream: BufferedStream,
        kept: Option<KeptStream>,
        clock: ProcessClock,
    ) -> Self {
        Self { stream: Some(stream), kept, clock }
    }
}

impl Write for ResponseWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let Some(stream) = &mut self.stream else {
            return Err(io::ErrorKind::BrokenPipe.into());
        };
        if let Err(error) = write_response(stream, self.clock, bytes) {
            self.stream = None;
            return Err(error);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for ResponseWriter {
    fn drop(&mut self) {
        if let Some(kept) = &self.kept {
            *kept.lock().unwrap_or_else(PoisonError::into_inner) = self.stream.take();
        }
    }
}

/// Writes a part of a response while its caller takes some of it now and then.
pub(crate) fn write_response(
    stream: &mut BufferedStream,
    clock: ProcessClock,
    bytes: &[u8],
) -> io::Result<()> {
    stream.write_steadily(bytes, WRITE_PAUSE, clock.now() + WRITE_TIMEOUT)
}
