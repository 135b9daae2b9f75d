//! The parts of a prompt that other requests may share.

use gentian_core::peer::TargetId;

/// Largest number of parts that are told apart; those after them count to the last one.
const MAX_PARTS: usize = 16;
/// Bits by which the digest of earlier parts is rotated for each further part.
const PART_ROTATION: u32 = 7;

/// A part of a prompt together with all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Digest of the target and of all parts up to this one.
    pub key: u64,
    /// Tokens of this part alone.
    pub tokens: u32,
}

/// The parts of a prompt that other requests may share, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Tokens of all parts.
    pub tokens: u32,
    /// Digest of all parts.
    pub digest: u64,
    /// The parts, at least one.
    pub parts: Vec<PrefixPart>,
}

impl SharedPrefix {
    /// Creates a prefix for requests to `target` from the digests and token counts of its parts;
    /// `None` without parts.
    pub fn new(target: Option<&TargetId>, parts: &[(u64, u32)]) -> Option<Self> {
        let (last, _) = parts.last()?;
        // The rotation makes the result depend on the order of the parts.
        let digest = parts
            .iter()
            .fold(*last, |combined, (digest, _)| combined.rotate_left(PART_ROTATION) ^ digest);
        let mut key = super::hash_of(&target);
        let mut known: Vec<PrefixPart> = Vec::with_capacity(parts.len().min(MAX_PARTS));
        for (digest, tokens) in parts {
            key = super::hash_of(&(key, digest));
            if known.len() < MAX_PARTS {
                known.push(PrefixPart { key, tokens: *tokens });
            } else if let Some(part) = known.last_mut() {
                *part = PrefixPart { key, tokens: part.tokens.saturating_add(*tokens) };
            }
        }
        let tokens = parts.iter().fold(0_u32, |sum, (_, tokens)| sum.saturating_add(*tokens));
        Some(Self { tokens, digest, parts: known })
    }
}
