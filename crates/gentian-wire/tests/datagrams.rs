//! Datagrams are decoded only with the key of their sender and only if they are unchanged.

#![allow(clippy::unwrap_used)]

use gentian_core::peer::{FleetMessage, PeerMessage, SeatId, SeatQuery, SeatRole};
use gentian_core::{InstanceId, SequenceNumber, ShardNumber};
use gentian_wire::{ClusterKey, DatagramError, decode_datagram, encode_datagram};
use proptest::prelude::*;

fn key(text: &str) -> ClusterKey {
    text.parse().unwrap()
}

fn seat_query(number: u64) -> PeerMessage {
    PeerMessage::SeatQuery(SeatQuery {
        seat: SeatId::new(SeatRole::Share, ShardNumber::new(1)),
        sender: InstanceId::new(7),
        number: SequenceNumber::new(number),
    })
}

#[test]
fn a_datagram_is_decoded_only_with_its_key() {
    let bytes = encode_datagram(&seat_query(3), &key("a shared secret 1")).unwrap();
    assert_eq!(
        decode_datagram::<PeerMessage>(&bytes, &key("a shared secret 1")),
        Ok(seat_query(3))
    );
    let other_key = decode_datagram::<PeerMessage>(&bytes, &key("a shared secret 2"));
    assert_eq!(other_key, Err(DatagramError::WrongTag));
}

proptest! {
    #[test]
    fn a_changed_datagram_is_rejected(number: u64, at: prop::sample::Index, flip in 1u8..) {
        let mut bytes = encode_datagram(&seat_query(number), &key("a shared secret 1")).unwrap();
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        prop_assert!(decode_datagram::<PeerMessage>(&bytes, &key("a shared secret 1")).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes: Vec<u8>) {
        prop_assert!(decode_datagram::<PeerMessage>(&bytes, &key("a shared secret 1")).is_err());
    }

    /// Another version may write what this one can't read, under the same key.
    #[test]
    fn arbitrary_messages_of_the_same_key_end_no_process(bytes: [u8; 32], variant in 0_u8..20) {
        let key = key("a shared secret 1");
        // An array is encoded without its length, so these bytes are the message.
        let mut message = bytes;
        message[0] = variant;
        let datagram = encode_datagram(&message, &key).unwrap();
        let decoded = decode_datagram::<FleetMessage>(&datagram, &key);
        prop_assert!(decoded.is_ok() || decoded.is_err());
        let decoded = decode_datagram::<PeerMessage>(&datagram, &key);
        prop_assert!(decoded.is_ok() || decoded.is_err());
    }
}
