//! Which faults a run injects.

/// Which faults a run injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultPlan {
    /// Random faults of every kind.
    #[default]
    Random,
    /// Changes of the configuration before, during and after times in which the store is silent.
    SilentStore,
    /// Replicas that leave and changes of the configuration after the store was restored from a
    /// copy.
    RestoredStore,
}
