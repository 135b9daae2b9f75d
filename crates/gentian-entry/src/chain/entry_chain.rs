//! The request filters of an entry in their order.

use gentian_decide::request::{
    FilterChain, RequestFilter, check_access, check_freshness, check_key, check_model, find_route,
    set_cost,
};

use super::dedupe_call::dedupe_call;
use super::read_attributes::read_attributes;
use super::relay_response::relay_response;
use super::send_call::send_call;
use super::{CallContext, CallHandles};

/// Builds the filter chain: key, route, freshness, access, attributes ("facts"), model, cost
/// ("price"), dedupe, send and relay.
pub(crate) fn build_chain(handles: &CallHandles) -> FilterChain<CallContext> {
    let snapshot = || handles.snapshot.clone();
    let (keys, routes, freshness) = (snapshot(), snapshot(), snapshot());
    let (access, models) = (snapshot(), snapshot());
    let (dedupe, send, relay) = (handles.clone(), handles.clone(), handles.clone());
    let facts = handles.clone();
    FilterChain::new()
        .with_filter(RequestFilter::new("key", move |call: &mut CallContext, _| {
            check_key(&keys.load().set, &mut call.request)
        }))
        .with_filter(RequestFilter::new("route", move |call: &mut CallContext, now| {
            find_route(&routes.load().set, &mut call.request, now)
        }))
        .with_filter(RequestFilter::new("freshness", move |call: &mut CallContext, _| {
            check_freshness(freshness.load().is_stale, &call.request)
        }))
        .with_filter(RequestFilter::new("access", move |call: &mut CallContext, _| {
            check_access(&access.load().set, &mut call.request)
        }))
        .with_filter(RequestFilter::new("facts", move |call: &mut CallContext, _| {
            read_attributes(&facts, call)
        }))
        .with_filter(RequestFilter::new("model", move |call: &mut CallContext, _| {
            check_model(&models.load().set, &mut call.request)
        }))
        .with_filter(RequestFilter::new("price", |call: &mut CallContext, _| {
            set_cost(&mut call.request)
        }))
        .with_filter(RequestFilter::new("dedupe", move |call, now| dedupe_call(&dedupe, call, now)))
        .with_filter(RequestFilter::new("send", move |call, now| send_call(&send, call, now)))
        .with_filter(RequestFilter::new("relay", move |call, _| relay_response(&relay, call)))
}
