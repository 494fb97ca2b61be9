//! Golden bytes of a link: its preamble and the header before each message. The golden bytes of the messages
//! themselves are in `fleet/tests/golden.rs`.

use super::*;
use crate::test_support::hex;

/// The header is the length and the checksum of the message, four bytes each. Nodes of other releases depend
/// on these bytes.
#[test]
fn a_message_on_a_link_keeps_its_bytes() {
    assert_eq!(PREAMBLE, b"OAKPEER1");
    let ping = Message::Ping { seq: 1044, uptime_seconds: 1045, gossip: vec![] };
    let ack = Message::Ack { seq: 1046, uptime_seconds: 1047, gossip: vec![] };
    let golden = [("00000006c4071f31049408950800", ping), ("0000000667a4360f059608970800", ack)];
    let mut written = BytesMut::new();
    for (bytes, message) in &golden {
        let before = written.len();
        encode(&mut written, message);
        assert_eq!(hex(&written[before..]), *bytes, "{message:?}");
    }
    for (_, message) in golden {
        assert_eq!(decode(&mut written), Ok(Some(Decoded::Message(message))));
    }
    assert!(written.is_empty());
}
