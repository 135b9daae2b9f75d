//! Upstreams that name a limit of requests for all entries together.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

use gentian_core::RequestRate;
use gentian_soak::{SoakSettings, run_soak};
use rstest::rstest;

fn programs() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().and_then(Path::parent).unwrap().to_owned()
}

/// More is called than the limits allow; the entries must share them, and use them.
#[rstest]
#[case::one_a_second(1_000, 3, 186)]
#[case::four_a_second(4_000, 6, 187)]
fn upstreams_got_more_requests_than_the_limit_they_named(
    #[case] limit_millis: u64,
    #[case] entries: usize,
    #[case] seed: u64,
) {
    let folder = std::env::temp_dir().join(format!("gentian-limit-{}-{seed}", std::process::id()));
    let settings = SoakSettings {
        seed,
        seconds: 0,
        entries,
        callers: 12,
        crash_percent: 0,
        answer_fault: None,
        request_limit: Some(RequestRate::from_millis(limit_millis)),
        programs: programs(),
        folder,
    };
    let report = run_soak(&settings).unwrap();
    assert!(report.is_clean(), "{report}; logs in {}", settings.folder.display());
    std::fs::remove_dir_all(&settings.folder).unwrap();
}
