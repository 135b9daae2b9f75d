//! Requests that share a part of their prompt on which engines crash.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

use gentian_soak::{SoakSettings, run_soak};

fn programs() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().and_then(Path::parent).unwrap().to_owned()
}

/// Without other faults: one request in ten holds the part, and arrives at any entry.
#[test]
fn one_part_of_prompts_crashed_engines_one_after_the_other() {
    let folder = std::env::temp_dir().join(format!("gentian-crash-{}", std::process::id()));
    let settings = SoakSettings {
        seed: 180,
        seconds: 0,
        entries: 3,
        callers: 6,
        crash_percent: 10,
        answer_fault: None,
        request_limit: None,
        programs: programs(),
        folder,
    };
    let report = run_soak(&settings).unwrap();
    assert!(report.is_clean(), "{report}; logs in {}", settings.folder.display());
    std::fs::remove_dir_all(&settings.folder).unwrap();
}
