//! A short run of the soak with a fixed seed; seeds that once failed belong here too.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

use gentian_soak::{SoakSettings, run_soak};
use rstest::rstest;

/// Returns the folder of the programs, the parent of the test binary's folder. `scripts/test.sh`
/// builds them.
fn programs() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().and_then(Path::parent).unwrap().to_owned()
}

#[rstest]
#[case::short_run(1)]
fn guarantees_hold_under_faults(#[case] seed: u64) {
    let folder = std::env::temp_dir().join(format!("gentian-soak-{}-{seed}", std::process::id()));
    let settings = SoakSettings {
        seed,
        seconds: 8,
        entries: 3,
        callers: 6,
        crash_percent: 2,
        answer_fault: None,
        request_limit: None,
        programs: programs(),
        folder,
    };
    let report = run_soak(&settings).unwrap();
    assert!(report.is_clean(), "seed {seed}: {report}; logs in {}", settings.folder.display());
    std::fs::remove_dir_all(&settings.folder).unwrap();
}
