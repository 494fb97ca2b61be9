mod golden;

use super::*;
use bytes::Bytes;
use oakwind_fleet::ids::{ConfigVersion, Incarnation, NodeId};
use oakwind_fleet::key_state::{ClaimId, CompletedRun, RunResult};
use oakwind_fleet::message::{Completeness, ConfigSignature, ConflictingClaim, Hello, Page, RejectReason};
use oakwind_fleet::staleness::StatePosition;

fn claim() -> ClaimId {
    ClaimId { node: NodeId(1), incarnation: Incarnation(2), number: 3 }
}

fn frames() -> Vec<Message> {
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
fn frames_come_off_as_they_were_put_however_they_are_cut() {
    let mut whole = BytesMut::new();
    frames().iter().for_each(|frame| put(&mut whole, frame));
    for cut in 0..whole.len() {
        let mut buffer = BytesMut::from(&whole[..cut]);
        let mut got = Vec::new();
        while let Some(taken) = take(&mut buffer).unwrap() {
            got.push(taken);
        }
        buffer.extend_from_slice(&whole[cut..]);
        while let Some(taken) = take(&mut buffer).unwrap() {
            got.push(taken);
        }
        assert_eq!(got, frames().into_iter().map(Taken::Message).collect::<Vec<_>>());
    }
}

#[test]
fn the_last_kind_that_is_known_is_the_last_there_is() {
    let last = frames().pop().unwrap();
    let bytes = postcard::to_allocvec(&last).unwrap();
    assert_eq!(postcard::take_from_bytes::<u32>(&bytes).unwrap().0, MESSAGE_KINDS - 1);
}

/// A frame of these bytes whose check is right.
fn framed(bytes: &[u8]) -> BytesMut {
    let mut buffer = BytesMut::new();
    buffer.put_u32(bytes.len() as u32);
    buffer.put_u32(check(bytes));
    buffer.put_slice(bytes);
    buffer
}

#[test]
fn what_a_later_build_adds_is_skipped() {
    let later = postcard::to_allocvec(&(MESSAGE_KINDS + 3, "whatever")).unwrap();
    assert_eq!(take(&mut framed(&later)), Ok(Some(Taken::Later)));
    let mut longer = postcard::to_allocvec(&Message::KeyFree { claim: claim() }).unwrap();
    longer.extend_from_slice(b"a new field");
    assert_eq!(take(&mut framed(&longer)), Ok(Some(Taken::Message(Message::KeyFree { claim: claim() }))));
}

#[test]
fn nonsense_is_told_and_never_panics() {
    assert!(take(&mut BytesMut::from(&b"GET / HTTP/1.1\r\n"[..])).is_err());
    assert!(take(&mut framed(b"")).is_err());
    let mut whole = BytesMut::new();
    put(&mut whole, &frames()[1]);
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut hurt = whole.clone();
            hurt[at] ^= 1 << bit;
            let taken = take(&mut hurt);
            assert!(!matches!(taken, Ok(Some(_))), "byte {at}, bit {bit}: {taken:?}");
        }
    }
    for length in 0..64 {
        // A frame cut short inside, with a check that is right.
        let bytes = postcard::to_allocvec(&frames()[3]).unwrap();
        let _ = take(&mut framed(&bytes[..length.min(bytes.len() - 1)]));
    }
}
