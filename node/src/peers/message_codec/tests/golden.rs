//! Golden bytes of a link: what it begins with, and the head before each message. The messages themselves are pinned
//! beside their types, in `fleet/tests/golden.rs`.

use super::*;

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Length and check of the message, four bytes each, and then the message.
#[test]
fn a_message_on_a_link_keeps_its_bytes() {
    assert_eq!(MAGIC, b"OAKPEER1");
    let ping = Message::Ping { seq: 1044, uptime_seconds: 1045, gossip: vec![] };
    let ack = Message::Ack { seq: 1046, uptime_seconds: 1047, gossip: vec![] };
    let golden = [("00000006c4071f31049408950800", ping), ("0000000667a4360f059608970800", ack)];
    let mut written = BytesMut::new();
    for (bytes, frame) in &golden {
        let before = written.len();
        put(&mut written, frame);
        assert_eq!(hexadecimal(&written[before..]), *bytes, "{frame:?}");
    }
    for (_, frame) in golden {
        assert_eq!(take(&mut written), Ok(Some(Taken::Message(frame))));
    }
    assert!(written.is_empty());
}
