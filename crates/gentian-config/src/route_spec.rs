//! Routes from callers' paths to upstreams.

use gentian_core::{ModelId, OrganisationId, RouteId, TimeSpan, TokenCount, UpstreamId};

use crate::{SectionReader, UpstreamKind};

const DEFAULT_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
const DEFAULT_CALL_COST: TokenCount = TokenCount::new(1);

/// Kind of the upstreams behind a route.
pub type RouteKind = UpstreamKind;

/// Who may use a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteAccess {
    /// Anyone, with or without a key.
    Open,
    /// Callers with a key of one of these organisations.
    Organisations(Vec<OrganisationId>),
}

/// A route: a path prefix, who may use it, and the upstreams behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name of the route.
    pub id: RouteId,
    /// Prefix of the path; the rest goes to the upstream.
    pub path_prefix: String,
    /// Kind of the upstreams behind the route.
    pub kind: RouteKind,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Upstreams that serve the route.
    pub upstreams: Vec<UpstreamId>,
    /// Base models, with their adapters, that an engine route offers.
    pub models: Vec<ModelId>,
    /// Longest time from the first byte of a request to its response or refusal.
    pub timeout: TimeSpan,
    /// Tokens charged for a call of a plain service.
    pub call_cost: TokenCount,
}

impl RouteSpec {
    pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let id = reader.name();
        let path_prefix: Option<String> = reader.required("path");
        let kind = reader.required("kind");
        let is_open = reader.flag("open");
        let organisations: Vec<OrganisationId> = reader.list("organisations");
        let upstreams: Vec<UpstreamId> = reader.list("upstreams");
        let models: Vec<ModelId> = reader.list("models");
        let timeout = reader.optional("deadline").unwrap_or(DEFAULT_TIMEOUT);
        let call_cost = reader.optional("call_cost").unwrap_or(DEFAULT_CALL_COST);
        if path_prefix.as_ref().is_some_and(|path| !is_prefix(path)) {
            reader.add_fault("path", "'path' must start with '/' and not end with it");
        }
        if is_open != organisations.is_empty() {
            reader.add_fault(
                "organisations",
                "a route needs exactly one of 'open = yes' and 'organisations'",
            );
        }
        if upstreams.is_empty() {
            reader.add_fault("upstreams", "a route needs at least one upstream");
        }
        if kind == Some(RouteKind::Engine) && models.is_empty() {
            reader.add_fault("models", "an engine route needs at least one model");
        }
        let access =
            if is_open { RouteAccess::Open } else { RouteAccess::Organisations(organisations) };
        let (id, path_prefix, kind) = (id?, path_prefix?, kind?);
        Some(Self { id, path_prefix, kind, access, upstreams, models, timeout, call_cost })
    }

    /// Returns whether this route serves `path`.
    pub fn serves_path(&self, path: &str) -> bool {
        let rest = path.strip_prefix(self.path_prefix.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
    }
}

fn is_prefix(path: &str) -> bool {
    path.starts_with('/') && !path.ends_with('/') && !path.contains(['?', '#', ' '])
}
