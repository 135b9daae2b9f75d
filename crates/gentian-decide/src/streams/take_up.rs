//! Which upstreams may go on with a stream.

use gentian_core::peer::ServiceVersion;

use super::UnknownCause;

/// Which upstreams may go on with a stream that its caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeUp {
    /// Those of this version.
    Of(ServiceVersion),
    /// Any of the service, whose upstreams name no versions.
    Any,
    /// It is not known yet; other entries have been asked, or records are being read.
    Pending,
    /// It can't be known which version began the stream.
    Unknown(UnknownCause),
}
