//! Datagrams are opened only under their own key and only unchanged.

#![allow(clippy::unwrap_used)]

use gentian_core::peer::{PeerMessage, SeatId, SeatQuery, SeatRole};
use gentian_core::{InstanceId, SequenceNumber, ShardNumber};
use gentian_wire::{ClusterKey, DatagramError, open_datagram, seal_datagram};
use proptest::prelude::*;

fn key(text: &str) -> ClusterKey {
    text.parse().unwrap()
}

fn question(number: u64) -> PeerMessage {
    PeerMessage::SeatQuery(SeatQuery {
        seat: SeatId::new(SeatRole::Share, ShardNumber::new(1)),
        sender: InstanceId::new(7),
        number: SequenceNumber::new(number),
    })
}

#[test]
fn sealed_message_opens_under_its_key() {
    let bytes = seal_datagram(&question(3), &key("a shared secret 1")).unwrap();
    assert_eq!(open_datagram::<PeerMessage>(&bytes, &key("a shared secret 1")), Ok(question(3)));
    let stranger = open_datagram::<PeerMessage>(&bytes, &key("a shared secret 2"));
    assert_eq!(stranger, Err(DatagramError::WrongTag));
}

proptest! {
    #[test]
    fn changed_datagram_is_refused(number: u64, at: prop::sample::Index, flip in 1u8..) {
        let mut bytes = seal_datagram(&question(number), &key("a shared secret 1")).unwrap();
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        prop_assert!(open_datagram::<PeerMessage>(&bytes, &key("a shared secret 1")).is_err());
    }

    #[test]
    fn any_bytes_are_refused(bytes: Vec<u8>) {
        prop_assert!(open_datagram::<PeerMessage>(&bytes, &key("a shared secret 1")).is_err());
    }
}
