mod golden;

use super::*;
use bytes::Bytes;
use oakwind_fleet::ids::{ConfigVersion, Incarnation, NodeId};
use oakwind_fleet::message::{Completeness, ConfigSignature, ConflictingClaim, Hello, Page, RejectReason};
use oakwind_fleet::recovery::staleness::StatePosition;
use oakwind_fleet::replication::key_state::{ClaimId, CompletedRun, RunResult};

fn claim() -> ClaimId {
    ClaimId { node: NodeId(1), incarnation: Incarnation(2), number: 3 }
}

fn messages() -> Vec<Message> {
    let result = RunResult::Succeeded(Bytes::from_static(b"\0job"));
    let run = CompletedRun { received_at: 1, node_index: 0, claim: claim(), result, body: u128::MAX };
    let conflict = ConflictingClaim { claim: claim(), body: 1, completed: Some(run.clone()), expired_ms: 0 };
    vec![
        Message::Hello(Hello {
            name: "n1".into(),
            to: NodeId(2),
            incarnation: Incarnation(7),
            configs: vec![ConfigSignature { version: ConfigVersion(1), digest: 2 }],
            retired_through: ConfigVersion(0),
            link_cut: false,
            uptime_seconds: 9,
            restored: Some(StatePosition { incarnation: Incarnation(6), uptime_seconds: 40 }),
        }),
        Message::Blocked { claim: claim(), conflict },
        Message::Uncertain { claim: claim(), reason: RejectReason::Recovering },
        Message::Completed { key: "k".into(), retain_ms: 5, run },
        Message::Page(Page { round: 1, records: vec![], next: None, completeness: Completeness::Complete }),
        Message::StaleState { latest: StatePosition { incarnation: Incarnation(6), uptime_seconds: 50 } },
    ]
}

#[test]
fn messages_decode_to_what_was_encoded_wherever_the_input_is_split() {
    let mut whole = BytesMut::new();
    messages().iter().for_each(|message| encode(&mut whole, message));
    for cut in 0..whole.len() {
        let mut buffer = BytesMut::from(&whole[..cut]);
        let mut decoded = Vec::new();
        while let Some(next) = decode(&mut buffer).unwrap() {
            decoded.push(next);
        }
        buffer.extend_from_slice(&whole[cut..]);
        while let Some(next) = decode(&mut buffer).unwrap() {
            decoded.push(next);
        }
        assert_eq!(decoded, messages().into_iter().map(Decoded::Message).collect::<Vec<_>>());
    }
}

#[test]
fn the_number_of_message_kinds_is_one_more_than_the_last_kind() {
    let last = messages().pop().unwrap();
    let bytes = postcard::to_allocvec(&last).unwrap();
    assert_eq!(postcard::take_from_bytes::<u32>(&bytes).unwrap().0, MESSAGE_KINDS - 1);
}

/// Prefixes these bytes with a header of the right length and checksum.
fn framed(bytes: &[u8]) -> BytesMut {
    let mut buffer = BytesMut::new();
    buffer.put_u32(bytes.len() as u32);
    buffer.put_u32(checksum(bytes));
    buffer.put_slice(bytes);
    buffer
}

#[test]
fn kinds_and_fields_of_a_newer_release_are_skipped() {
    let later = postcard::to_allocvec(&(MESSAGE_KINDS + 3, "whatever")).unwrap();
    assert_eq!(decode(&mut framed(&later)), Ok(Some(Decoded::UnknownKind)));
    let mut longer = postcard::to_allocvec(&Message::KeyFree { claim: claim() }).unwrap();
    longer.extend_from_slice(b"a new field");
    assert_eq!(decode(&mut framed(&longer)), Ok(Some(Decoded::Message(Message::KeyFree { claim: claim() }))));
}

#[test]
fn malformed_bytes_are_an_error_and_never_a_panic() {
    assert!(decode(&mut BytesMut::from(&b"GET / HTTP/1.1\r\n"[..])).is_err());
    assert!(decode(&mut framed(b"")).is_err());
    let mut whole = BytesMut::new();
    encode(&mut whole, &messages()[1]);
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut damaged = whole.clone();
            damaged[at] ^= 1 << bit;
            let result = decode(&mut damaged);
            assert!(!matches!(result, Ok(Some(_))), "byte {at}, bit {bit}: {result:?}");
        }
    }
    for length in 0..64 {
        // A truncated message with the right length and checksum must not panic.
        let bytes = postcard::to_allocvec(&messages()[3]).unwrap();
        let _ = decode(&mut framed(&bytes[..length.min(bytes.len() - 1)]));
    }
}
