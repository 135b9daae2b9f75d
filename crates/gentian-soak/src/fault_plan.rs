//! Which faults a run injects.

use std::fmt;
use std::str::FromStr;

use gentian_core::ParseError;

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
    /// Entries that are stopped in turn.
    StoppedEntries,
    /// Engines that are replaced by ones of the next version, while entries end.
    ReplacedEngines,
    /// Engines that are replaced by ones of the next version while an entry stands still; the others end
    /// as it goes on, and engines send bytes without end.
    PausedEntries,
    /// Half of the engines are replaced by ones of the next version, then single engines end.
    CrashedEngines,
    /// Engines end together and are back at once under their names and addresses as the next version,
    /// while entries still list the earlier one.
    ReturnedEngines,
    /// Responses of engines end with their connections. Engines end and are back while an entry stands
    /// still.
    UnframedStreams,
}

impl FaultPlan {
    /// Returns whether replicas keep their names when they start again.
    pub(crate) fn keeps_names(self) -> bool {
        matches!(self, Self::ReturnedEngines | Self::UnframedStreams)
    }
}

impl FaultPlan {
    const ALL: [Self; 9] = [
        Self::Random,
        Self::SilentStore,
        Self::RestoredStore,
        Self::StoppedEntries,
        Self::ReplacedEngines,
        Self::PausedEntries,
        Self::CrashedEngines,
        Self::ReturnedEngines,
        Self::UnframedStreams,
    ];
}

impl fmt::Display for FaultPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Random => "random",
            Self::SilentStore => "silent-store",
            Self::RestoredStore => "restored-store",
            Self::StoppedEntries => "stopped-entries",
            Self::ReplacedEngines => "replaced-engines",
            Self::PausedEntries => "paused-entries",
            Self::CrashedEngines => "crashed-engines",
            Self::ReturnedEngines => "returned-engines",
            Self::UnframedStreams => "unframed-streams",
        })
    }
}

impl FromStr for FaultPlan {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|plan| plan.to_string() == text);
        let expected = "one of random, silent-store, restored-store, stopped-entries, replaced-engines, \
             paused-entries, crashed-engines, returned-engines, unframed-streams";
        found.ok_or_else(|| ParseError::new("fault plan", text, expected))
    }
}
