//! Requests that share a part of their prompt on which engines crash.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};

/// Without other faults: one request in ten holds the part, and arrives at any entry.
#[test]
fn one_part_of_prompts_crashed_engines_one_after_the_other() {
    run_clean(&settings(180).with_crash_percent(10));
}
