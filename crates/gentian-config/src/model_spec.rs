//! Base models.

use gentian_core::{ByteSize, ModelId};

use crate::SectionReader;

/// A base model that engines load from the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Name of the model, as callers write it.
    pub id: ModelId,
    /// Memory of one loaded copy.
    pub memory: ByteSize,
}

impl ModelSpec {
    pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let id = reader.name();
        let memory = reader.required("memory");
        Some(Self { id: id?, memory: memory? })
    }
}
