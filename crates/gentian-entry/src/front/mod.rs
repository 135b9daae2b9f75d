//! The HTTP side of an entry: requests of callers, refusals and admin pages.

mod admin_pages;
mod handle_request;
mod refusal_response;

pub(crate) use admin_pages::{AdminState, admin_pages};
pub(crate) use handle_request::handle_request;
