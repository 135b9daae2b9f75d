//! The port on which the platform checks whether the process accepts callers.

use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::{BufferedStream, RequestHead, ResponseHead};

/// Time within which the next request must arrive whole; then the connection is closed.
const IDLE_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Responds to each request on `stream` with status 200 if the process is ready, else with 503.
pub(crate) fn serve_readiness(
    mut stream: BufferedStream,
    clock: ProcessClock,
    is_ready: impl Fn() -> bool,
) {
    let mut deadline = clock.now() + IDLE_TIMEOUT;
    loop {
        let head = match RequestHead::parse(stream.buffered(), MAX_HEAD_BYTES) {
            Ok(Some((head, length))) => {
                stream.consume(length);
                head
            }
            Ok(None) => match stream.fill(deadline) {
                Ok(count) if count > 0 => continue,
                _ => return,
            },
            Err(error) => {
                log::debug!("closed the connection of a malformed readiness check: {error}");
                return;
            }
        };
        let status = if is_ready() { 200 } else { 503 };
        let response = ResponseHead::new(status).with_header("Content-Length", "0");
        if stream.write_all(&response.to_bytes(), deadline).is_err() || !head.keeps_connection() {
            return;
        }
        deadline = clock.now() + IDLE_TIMEOUT;
    }
}
