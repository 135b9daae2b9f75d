//! Memory and descriptors of a process.

use std::fmt;

/// Largest use of memory and descriptors of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Largest resident memory in bytes (`VmHWM`); zero until it could be read.
    pub peak_memory: u64,
    /// Largest number of open descriptors of all samples.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads what the process with this id uses; a process that has ended changes nothing.
    pub fn sample(&mut self, process: u32) {
        self.peak_memory = self.peak_memory.max(peak_memory(process).unwrap_or(0));
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
        self.descriptors = self.descriptors.max(descriptors.map_or(0, Iterator::count));
    }
}

impl fmt::Display for ProcessUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} MB, {} descriptors", self.peak_memory >> 20, self.descriptors)
    }
}

/// Returns the largest resident memory in bytes that a process has had, as far as it is known.
pub(crate) fn peak_memory(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kilobytes << 10)
}
