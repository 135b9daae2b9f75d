//! Answers whose framing is unusual or broken.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

use gentian_soak::{SoakReport, SoakSettings, run_soak};
use rstest::rstest;

fn programs() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().and_then(Path::parent).unwrap().to_owned()
}

fn check_answers(fault: &str, seed: u64, callers: usize) -> SoakReport {
    let folder = std::env::temp_dir().join(format!("gentian-{fault}-{}", std::process::id()));
    let settings = SoakSettings {
        seed,
        seconds: 0,
        entries: 2,
        callers,
        crash_percent: 0,
        answer_fault: Some(fault.to_owned()),
        request_limit: None,
        programs: programs(),
        folder,
    };
    let report = run_soak(&settings).unwrap();
    assert!(report.is_clean(), "{report}; logs in {}", settings.folder.display());
    std::fs::remove_dir_all(&settings.folder).unwrap();
    report
}

#[test]
fn answers_without_a_length_were_taken_for_broken_ones() {
    let report = check_answers("unframed-answer", 181, 4);
    assert_eq!(report.failed, 0, "{report}");
}

#[test]
fn a_stream_without_a_length_that_ends_inside_an_event_is_resumed() {
    check_answers("unframed-cut", 182, 4);
}

/// Many callers at once, since what an entry reads of each answer must fit into its memory.
#[rstest]
#[case::head("endless-head", 183)]
#[case::body("endless-body", 184)]
#[case::trailer("endless-trailer", 185)]
fn bytes_without_end_held_an_entry(#[case] fault: &str, #[case] seed: u64) {
    check_answers(fault, seed, 24);
}
