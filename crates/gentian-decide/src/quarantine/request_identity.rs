//! What identifies a request.

use gentian_core::peer::TargetId;
use gentian_core::{OrganisationId, WorkId};

/// What an upstream is asked by a request.
///
/// It is the same for all repeats of a request at any entry, so what differs between them is not part of
/// it: ids, deadlines, keys of the same organisation, idempotency keys, the event after which a stream
/// resumes, and headers that only the connection or the caller's own software are about. Two
/// organisations may get different answers to the same request, so theirs are different requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Method.
    pub method: &'a str,
    /// Host, without a port.
    pub host: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Organisation that is charged.
    pub organisation: Option<&'a OrganisationId>,
    /// Model, with an adapter if there is one.
    pub target: Option<&'a TargetId>,
    /// Digests of all parts of the prompt, those included that no other request shares.
    pub parts: &'a [u64],
    /// Body, in pieces.
    pub body: &'a [&'a [u8]],
}

impl RequestIdentity<'_> {
    /// Returns the id of the request; it is the same in all processes.
    pub fn work_id(&self) -> WorkId {
        let mut hasher = blake3::Hasher::new();
        update_field(&mut hasher, self.method.as_bytes());
        update_field(&mut hasher, self.host.as_bytes());
        update_field(&mut hasher, self.path.as_bytes());
        let organisation = self.organisation.map_or("", OrganisationId::as_str);
        update_field(&mut hasher, organisation.as_bytes());
        let target = self.target.map(ToString::to_string).unwrap_or_default();
        update_field(&mut hasher, target.as_bytes());
        let parts: Vec<u8> = self.parts.iter().flat_map(|part| part.to_le_bytes()).collect();
        update_field(&mut hasher, &parts);
        let body_length: usize = self.body.iter().map(|piece| piece.len()).sum();
        hasher.update(&(body_length as u64).to_le_bytes());
        for piece in self.body {
            hasher.update(piece);
        }
        let mut digest = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut digest);
        WorkId::of_request(u64::from_le_bytes(digest))
    }
}

/// Adds a field with its length, so that no two lists of fields are the same bytes.
fn update_field(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}
