//! Adapters on base models.

use gentian_core::{AdapterId, ByteSize, ModelId};

use crate::SectionReader;

/// An adapter that engines load in addition to its base model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterSpec {
    /// Name of the adapter, as callers write it.
    pub id: AdapterId,
    /// Base model that must be loaded on the same engine.
    pub base: ModelId,
    /// Memory of one loaded copy.
    pub memory: ByteSize,
}

impl AdapterSpec {
    pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let id = reader.name();
        let base = reader.required("base");
        let memory = reader.required("memory");
        Some(Self { id: id?, base: base?, memory: memory? })
    }
}
