//! The request filters of a gateway in their order.

use gentian_decide::request::{FilterChain, RequestFilter};

use super::admission_filters::{attach_config, check_key, find_route, set_deadline};
use super::forward_call::forward_call;
use super::{CallContext, CallHandles};

/// Builds the filter chain: configuration, route, key, deadline, forward.
pub(crate) fn build_chain(handles: &CallHandles) -> FilterChain<CallContext> {
    let (view, forward) = (handles.view.clone(), handles.clone());
    FilterChain::new()
        .with_filter(RequestFilter::new("configuration", move |call: &mut CallContext, _| {
            attach_config(&view.load(), call)
        }))
        .with_filter(RequestFilter::new("route", |call: &mut CallContext, _| find_route(call)))
        .with_filter(RequestFilter::new("key", |call: &mut CallContext, _| check_key(call)))
        .with_filter(RequestFilter::new("deadline", set_deadline))
        .with_filter(RequestFilter::new("forward", move |call, _| forward_call(&forward, call)))
}
