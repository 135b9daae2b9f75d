//! The last log lines of a process are written before it ends.

#![allow(clippy::unwrap_used)]

use std::process::Command;

const CHILD_VARIABLE: &str = "GENTIAN_TEST_LAST_LINES";

/// The test runs itself once more as the process that ends.
#[test]
fn the_line_before_the_end_is_written() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        gentian_process::start_logging("test");
        log::info!("the last line");
        gentian_process::finish_logging();
        std::process::exit(0);
    }
    let mut child = Command::new(std::env::current_exe().unwrap());
    child.args(["--exact", "the_line_before_the_end_is_written", "--nocapture"]);
    let output = child.env(CHILD_VARIABLE, "1").output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("INFO test the last line"), "{text}");
}
