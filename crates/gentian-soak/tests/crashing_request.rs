//! Requests that end each replica that begins to respond to them, and are repeated at any entry.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};

/// Without other faults: one call in twenty is a repeat of one request of its kind.
#[test]
fn one_request_crashed_replicas_one_after_the_other() {
    run_clean(&settings(181).with_crash_request_percent(5));
}
