//! Upstreams: model engines and plain servers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use gentian_core::{DomainId, ParseError, SlotCount, UpstreamId};

use crate::SectionReader;

const DEFAULT_FRESH_SLOTS: SlotCount = SlotCount::new(1);

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine that loads models and streams tokens.
    Engine,
    /// A plain server that sends whole responses.
    Service,
}

impl fmt::Display for UpstreamKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Engine => "engine",
            Self::Service => "service",
        })
    }
}

impl FromStr for UpstreamKind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err(ParseError::new("upstream kind", text, "engine or service")),
        }
    }
}

/// Whether an upstream refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingMode {
    /// Old orders are refused.
    Honoured,
    /// Old orders are executed.
    Ignored,
}

impl fmt::Display for FencingMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Honoured => "honoured",
            Self::Ignored => "ignored",
        })
    }
}

impl FromStr for FencingMode {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "honoured" => Ok(Self::Honoured),
            "ignored" => Ok(Self::Ignored),
            _ => Err(ParseError::new("fencing mode", text, "honoured or ignored")),
        }
    }
}

/// An upstream with its location and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Calls that it runs concurrently once it is no longer cold.
    pub slots: SlotCount,
    /// Calls that it runs concurrently while it is cold, right after a start.
    pub fresh_slots: SlotCount,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: FencingMode,
}

impl UpstreamSpec {
    pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let id = reader.name();
        let kind = reader.required("kind");
        let address = reader.required("address");
        let domain = reader.required("domain");
        let slots: Option<SlotCount> = reader.required("slots");
        let fresh_slots = reader.optional("fresh_slots").unwrap_or(DEFAULT_FRESH_SLOTS);
        let fencing = reader.optional("fencing").unwrap_or(FencingMode::Ignored);
        if slots.is_some_and(|slots| fresh_slots > slots || fresh_slots.get() == 0) {
            reader.add_fault("fresh_slots", "'fresh_slots' must lie between 1 and 'slots'");
        }
        Some(Self {
            id: id?,
            kind: kind?,
            address: address?,
            domain: domain?,
            slots: slots?,
            fresh_slots,
            fencing,
        })
    }
}
