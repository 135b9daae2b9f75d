//! Identifiers of configured objects, processes, messages and records.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;
use crate::newtypes::{hex_newtype, name_newtype, number_newtype};

name_newtype!(
    /// Name of an adapter on a base model.
    AdapterId,
    "adapter name"
);
name_newtype!(
    /// Name of a failure domain.
    DomainId,
    "failure domain name"
);
name_newtype!(
    /// Name of a caller's key; the key itself is never stored.
    KeyId,
    "key name"
);
name_newtype!(
    /// Name of a base model.
    ModelId,
    "model name"
);
name_newtype!(
    /// Name of an organisation, the tenant to which keys, rates and bursts belong.
    OrganisationId,
    "organisation name"
);
name_newtype!(
    /// Name of a route.
    RouteId,
    "route name"
);
name_newtype!(
    /// Name of a service: a changing set of interchangeable upstreams.
    ServiceId,
    "service name"
);
name_newtype!(
    /// Name of an upstream: a model engine or a plain server.
    UpstreamId,
    "upstream name"
);
name_newtype!(
    /// Name of a VM on which processes of the system run.
    VmId,
    "VM name"
);

number_newtype!(
    /// Version of the accepted configuration; versions only increase.
    ConfigVersion,
    "configuration version"
);
number_newtype!(
    /// Fencing number of a seat; it increases with each change of holder.
    FenceNumber,
    "fencing number"
);
number_newtype!(
    /// Era of the key-value service: it rises each time the service is restored from a copy. Zero
    /// stands for a service that names no era.
    StoreEra,
    "era"
);
number_newtype!(
    /// Number in an ascending sequence: of messages, queries, grants, renewals of a lease, or
    /// revisions of a view.
    SequenceNumber,
    "sequence number"
);
number_newtype!(
    /// Number of a shard of a seat role.
    ShardNumber,
    "shard number"
);
number_newtype!(
    /// Number of a window in which usage is counted: its start, counted in windows since the start
    /// of 1970.
    WindowNumber,
    "window number"
);

hex_newtype!(
    /// Identifies one incarnation of an upstream, from a start to the next; it changes whenever the
    /// upstream loses its memory.
    BootId,
    "boot id"
);
hex_newtype!(
    /// Identifies one start of a process of the system.
    InstanceId,
    "instance id"
);
hex_newtype!(
    /// Identifies one order to an upstream; retries of an order carry the same id.
    OrderId,
    "order id"
);
hex_newtype!(
    /// Identifies one publication of a configuration; retries of a publication carry the same id.
    PublicationId,
    "publication id"
);
hex_newtype!(
    /// Identifies one request of a caller.
    RequestId,
    "request id"
);
hex_newtype!(
    /// Identifies a stream over all requests for parts of it, by a digest of the id that the caller gave
    /// the request which brought its first event.
    StreamId,
    "stream id"
);

const DIGEST_BYTES: usize = 32;

/// BLAKE3 digest of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Creates the digest from its bytes.
    pub const fn new(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl FromStr for KeyDigest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new("key digest", text, "64 hexadecimal digits");
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}
