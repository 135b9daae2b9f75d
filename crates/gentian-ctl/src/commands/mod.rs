//! The commands, one in each file.

mod call;
mod check;
mod diff;
mod exit_status;
mod explain;
mod key_digest;
mod publish;
mod show;
mod status;

pub(crate) use call::{CallCommand, make_call};
pub(crate) use check::{CheckCommand, check_file};
pub(crate) use diff::{DiffCommand, diff_config};
pub(crate) use exit_status::ExitStatus;
pub(crate) use explain::{ExplainCommand, explain_request};
pub(crate) use key_digest::{KeyDigestCommand, print_digest};
pub(crate) use publish::{PublishCommand, publish_file};
pub(crate) use show::{ShowCommand, show_config};
pub(crate) use status::{StatusCommand, show_status};
