//! Checks whether an upstream has ended.

use std::io::ErrorKind;

use gentian_core::TimeSpan;
use gentian_decide::serving::UpstreamPick;
use gentian_http::forward::BufferedStream;

use super::CallHandles;

/// Longest wait for a connection that shows whether an upstream has ended.
const END_CHECK_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);
/// Longest wait for the close of such a connection, if the request is a likely cause of the end, and if
/// it is one among others and may soon be served elsewhere.
const LIKELY_CLOSE_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);
const CLOSE_TIMEOUT: TimeSpan = TimeSpan::from_millis(30);

/// Returns whether the upstream refuses connections, as it does when its process has ended.
pub(super) fn is_refusing(handles: &CallHandles, pick: &UpstreamPick) -> bool {
    let connected = BufferedStream::connect(pick.address, END_CHECK_TIMEOUT, handles.clock);
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Returns whether the upstream accepts no connections, or closes them at once as a proxy does for
/// a server that has ended.
pub(super) fn has_upstream_ended(
    handles: &CallHandles,
    pick: &UpstreamPick,
    is_likely_cause: bool,
) -> bool {
    let connected = BufferedStream::connect(pick.address, END_CHECK_TIMEOUT, handles.clock);
    let wait = if is_likely_cause { LIKELY_CLOSE_TIMEOUT } else { CLOSE_TIMEOUT };
    let read = connected.map(|mut stream| stream.fill(handles.clock.now() + wait));
    match read {
        Ok(Ok(count)) => count == 0,
        Ok(Err(error)) | Err(error) => {
            matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)
        }
    }
}
