//! Exit codes of the commands.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// Everything was done.
    Done,
    /// The command failed.
    Failed,
    /// Faults or differences were found, or `explain` found no line.
    Found,
    /// Another operator published first.
    Conflict,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Done => 0,
            ExitStatus::Failed => 1,
            ExitStatus::Found => 2,
            ExitStatus::Conflict => 3,
        })
    }
}
