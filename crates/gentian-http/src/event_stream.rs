//! Streamed responses that are flushed after each write.

use std::io::{self, Write};

use chunked_transfer::Encoder;

/// Writer that flushes after each write.
struct FlushingWriter(Box<dyn Write + Send>);

impl Write for FlushingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let length = self.0.write(bytes)?;
        self.0.flush()?;
        Ok(length)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// A streamed response; the data of each [`EventStream::send`] leaves at once.
///
/// Dropping the value writes the last chunk, which ends the response as if it were complete. A
/// response that failed therefore needs an error event as its last data.
pub struct EventStream {
    encoder: Encoder<FlushingWriter>,
}

impl EventStream {
    /// Writes the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection.
    pub fn start(
        mut writer: Box<dyn Write + Send>,
        content_type: &str,
        headers: &[(&str, &str)],
    ) -> io::Result<Self> {
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nCache-Control: no-store\r\n\
             Transfer-Encoding: chunked\r\n"
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { encoder: Encoder::new(FlushingWriter(writer)) })
    }

    /// Sends `data`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection, for example because the caller has closed it.
    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        self.encoder.write_all(data)?;
        self.encoder.flush()
    }
}
