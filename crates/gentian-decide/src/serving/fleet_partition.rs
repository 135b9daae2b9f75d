//! Entries that know each other's use.

/// The part of the fleet that shares its counts of use with this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPartition {
    /// Entries whose use is known to this entry, itself included.
    pub reachable: u32,
    /// All entries.
    pub total: u32,
}

impl FleetPartition {
    /// Creates the partition of an entry that reaches no other.
    pub fn isolated(total: u32) -> Self {
        Self { reachable: 1, total: total.max(1) }
    }

    /// Returns whether the use of every entry is known.
    pub fn is_complete(self) -> bool {
        self.reachable >= self.total
    }

    /// Returns whether this entry reaches none of the others.
    pub fn is_isolated(self) -> bool {
        self.reachable <= 1 && self.total > 1
    }

    /// Returns the part of all entries that is in the partition.
    pub fn fraction(self) -> f64 {
        f64::from(self.reachable.min(self.total)) / f64::from(self.total.max(1))
    }

    /// Returns the part of all entries that a single one is.
    pub fn entry_fraction(self) -> f64 {
        1.0 / f64::from(self.total.max(1))
    }
}
