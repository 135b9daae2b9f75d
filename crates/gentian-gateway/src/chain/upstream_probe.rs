//! Checks whether an upstream has ended.

use std::io::ErrorKind;

use gentian_core::TimeSpan;
use gentian_decide::serving::UpstreamPick;
use gentian_http::forward::BufferedStream;

use super::CallHandles;

/// Longest wait for a connection that shows whether an upstream has ended, and for its close.
const END_CHECK_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);

/// Returns whether the upstream refuses connections, as it does when its process has ended.
pub(super) fn is_refusing(handles: &CallHandles, pick: &UpstreamPick) -> bool {
    let connected = BufferedStream::connect(pick.address, END_CHECK_TIMEOUT, handles.clock);
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Returns whether the upstream accepts no connections, or closes them at once as a proxy does for
/// a server that has ended.
pub(super) fn has_upstream_ended(handles: &CallHandles, pick: &UpstreamPick) -> bool {
    let connected = BufferedStream::connect(pick.address, END_CHECK_TIMEOUT, handles.clock);
    let read = connected.map(|mut stream| stream.fill(handles.clock.now() + END_CHECK_TIMEOUT));
    match read {
        Ok(Ok(count)) => count == 0,
        Ok(Err(error)) | Err(error) => {
            matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)
        }
    }
}
