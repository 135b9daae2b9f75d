//! A fresh read never uses the cheaper read that may be stale.

#![allow(clippy::unwrap_used)]

use gentian_core::StoreRevision;
use gentian_process::{KeyValueService, ReadFreshness};

fn service() -> KeyValueService {
    KeyValueService::new(
        |_| Ok((Vec::new(), StoreRevision::new(9))),
        |_| Ok((Vec::new(), StoreRevision::new(9))),
        |_, _| Ok(None),
        |_, _| Ok(()),
    )
}

#[test]
fn only_a_read_that_may_be_stale_uses_the_stale_read() {
    let service = service().with_stale_reads(|_| Ok((Vec::new(), StoreRevision::new(2))));
    let read = |freshness| service.read_prefix_with("servers/", freshness).unwrap().1.number();
    assert_eq!(read(ReadFreshness::Fresh), 9);
    assert_eq!(read(ReadFreshness::MayBeStale), 2);
}

#[test]
fn a_service_without_stale_reads_always_reads_fresh() {
    let read = service().read_prefix_with("servers/", ReadFreshness::MayBeStale);
    assert_eq!(read.unwrap().1.number(), 9);
}
