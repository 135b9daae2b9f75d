//! Replicas that say in their answers that they are leaving, or for how long they want no requests.

#![allow(clippy::unwrap_used)]

mod clean_run;

use clean_run::{run_clean, settings};

/// One engine and one plain service; their registrations do not show it, nor do later answers.
#[test]
fn an_entry_sent_to_an_upstream_that_had_announced_to_leave() {
    let settings = settings(197).with_size(2, 8).with_answer_fault("leaving");
    run_clean(&settings.with_faulty_replicas([0, 4]));
}

#[test]
fn an_entry_sent_to_an_upstream_that_had_turned_its_requests_away() {
    run_clean(&settings(198).with_size(1, 8).with_answer_fault("turned-away"));
}
