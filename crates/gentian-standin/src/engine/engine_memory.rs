//! Memory of an engine and the models and adapters in it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use gentian_wire::generated::engine::{EngineObject, ObjectOrder, ObjectState};

/// Why an engine refuses an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderRefusal {
    /// The fencing number is lower than one seen before.
    OldFence,
    /// The base model of an adapter is not loaded.
    NoBase,
}

#[derive(Debug, Default)]
struct MemoryState {
    objects: BTreeMap<String, EngineObject>,
    fence: u64,
}

/// Models and adapters of an engine, with the memory that they use.
#[derive(Debug)]
pub(crate) struct EngineMemory {
    total: u64,
    honours_fences: bool,
    state: Mutex<MemoryState>,
}

impl EngineMemory {
    /// Creates empty memory.
    pub(crate) fn new(total: u64, honours_fences: bool) -> Self {
        Self { total, honours_fences, state: Mutex::default() }
    }

    /// Starts a load. Returns `false` if the object is already loaded or loading.
    pub(crate) fn begin_load(&self, order: &ObjectOrder) -> Result<bool, OrderRefusal> {
        let mut state = self.lock();
        self.check_fence(&mut state, order.fence)?;
        if state.objects.contains_key(&order.name) {
            return Ok(false);
        }
        let has_base = |base: &String| {
            state.objects.get(base).is_some_and(|object| object.state == ObjectState::Loaded)
        };
        if !order.base.as_ref().is_none_or(has_base) {
            return Err(OrderRefusal::NoBase);
        }
        let object = EngineObject {
            name: order.name.clone(),
            state: ObjectState::Loading,
            memory: order.memory,
            order_id: Some(order.order_id.clone()),
        };
        state.objects.insert(order.name.clone(), object);
        Ok(true)
    }

    /// Finishes a load; a failed one frees its memory.
    pub(crate) fn finish_load(&self, name: &str, is_loaded: bool) {
        let mut state = self.lock();
        if !is_loaded {
            state.objects.remove(name);
        } else if let Some(object) = state.objects.get_mut(name) {
            object.state = ObjectState::Loaded;
        }
    }

    /// Unloads an object.
    pub(crate) fn unload(&self, order: &ObjectOrder) -> Result<(), OrderRefusal> {
        let mut state = self.lock();
        self.check_fence(&mut state, order.fence)?;
        state.objects.remove(&order.name);
        Ok(())
    }

    /// Returns whether an object is loaded.
    pub(crate) fn has_loaded(&self, name: &str) -> bool {
        let state = self.lock();
        state.objects.get(name).is_some_and(|object| object.state == ObjectState::Loaded)
    }

    /// Returns the total memory and the used memory in bytes, and the objects.
    pub(crate) fn snapshot(&self) -> (u64, u64, Vec<EngineObject>) {
        let state = self.lock();
        let used = state.objects.values().map(|object| object.memory).sum();
        (self.total, used, state.objects.values().cloned().collect())
    }

    fn check_fence(&self, state: &mut MemoryState, fence: u64) -> Result<(), OrderRefusal> {
        if self.honours_fences && fence < state.fence {
            return Err(OrderRefusal::OldFence);
        }
        state.fence = state.fence.max(fence);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
