//! Digest of a request.

use gentian_core::WorkId;

use super::CallContext;

/// Returns the digest of what an upstream is asked by a request.
///
/// It is the same for all repeats of a request at any entry, so what differs between them does not
/// count: ids, deadlines, keys of the same organisation, the event after which a stream resumes, and
/// headers that only the connection or the caller's own software are about. Two organisations may get
/// different answers to the same request, so theirs have different digests.
pub(super) fn digest_request(call: &CallContext) -> WorkId {
    let organisation = call.organisation.as_ref().map(|it| it.spec.id.to_string());
    let target = call.metadata.target.as_ref().map(ToString::to_string);
    let texts = [
        call.head.method.as_str(),
        &call.metadata.host,
        &call.head.target,
        organisation.as_deref().unwrap_or_default(),
        target.as_deref().unwrap_or_default(),
    ];
    let mut hasher = blake3::Hasher::new();
    for text in texts {
        update_field(&mut hasher, text.as_bytes());
    }
    let parts = call.metadata.prompt_prefix.iter().flat_map(|(part, _)| part.to_le_bytes());
    update_field(&mut hasher, &parts.collect::<Vec<u8>>());
    update_field(&mut hasher, &call.body);
    let mut number = [0; size_of::<u64>()];
    hasher.finalize_xof().fill(&mut number);
    WorkId::new(u64::from_le_bytes(number))
}

/// Adds a field with its length, so that no two lists of fields are the same bytes.
fn update_field(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}
