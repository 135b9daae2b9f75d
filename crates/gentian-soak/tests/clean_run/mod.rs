//! Runs of the soak that must violate no guarantee.

use std::path::{Path, PathBuf};

use gentian_soak::{SoakReport, SoakSettings, run_soak};

/// Returns settings whose programs stand in the parent of the test binary's folder, where
/// `scripts/test.sh` builds them.
pub(crate) fn settings(seed: u64) -> SoakSettings {
    let test = std::env::current_exe().unwrap();
    let programs: PathBuf = test.parent().and_then(Path::parent).unwrap().to_owned();
    let folder = std::env::temp_dir().join(format!("gentian-soak-{}-{seed}", std::process::id()));
    SoakSettings::new(seed, programs, folder)
}

/// Runs the soak; the logs stay if a guarantee was violated.
pub(crate) fn run_clean(settings: &SoakSettings) -> SoakReport {
    let report = run_soak(settings).unwrap();
    let (seed, logs) = (settings.seed, settings.folder.display());
    assert!(report.is_clean(), "seed {seed}: {report}; logs in {logs}");
    std::fs::remove_dir_all(&settings.folder).unwrap();
    report
}
