//! The port on which the platform asks whether the process takes callers.

use gentian_core::TimeSpan;
use gentian_http::ProcessClock;
use gentian_http::forward::{RequestHead, ResponseHead, WireStream};

/// Time for which a connection without a question is kept.
const IDLE_LIMIT: TimeSpan = TimeSpan::from_secs(5);
const HEAD_LIMIT: usize = 8 * 1024;

/// Answers every question on `stream` with 200 or 503.
pub(crate) fn serve_readiness(
    mut stream: WireStream,
    clock: ProcessClock,
    is_ready: impl Fn() -> bool,
) {
    loop {
        let deadline = clock.now() + IDLE_LIMIT;
        let head = match RequestHead::parse(stream.buffered(), HEAD_LIMIT) {
            Ok(Some((head, length))) => {
                stream.consume(length);
                head
            }
            Ok(None) => match stream.fill(deadline) {
                Ok(count) if count > 0 => continue,
                _ => return,
            },
            Err(error) => {
                log::debug!("question refused: {error}");
                return;
            }
        };
        let status = if is_ready() { 200 } else { 503 };
        let answer = ResponseHead::new(status).with_header("Content-Length", "0");
        if stream.write_all(&answer.to_bytes(), deadline).is_err() || !head.keeps_connection() {
            return;
        }
    }
}
