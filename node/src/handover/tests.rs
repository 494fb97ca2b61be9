use bytes::{Bytes, BytesMut};
use std::time::Duration;

use super::message::{decode, encode, PredecessorMessage};
use crate::line_codec::MAX_BODY;
use crate::outcome::{BodyDigest, IdempotencyRecord, RunState};

mod golden;

fn record_with(state: RunState) -> PredecessorMessage {
    PredecessorMessage::Record(IdempotencyRecord {
        key: Bytes::from_static(b"\r\n \xff"),
        body_digest: BodyDigest(u64::MAX),
        expires_at: Duration::from_millis(1_764_576_000_123),
        state,
    })
}

#[test]
fn records_with_any_bytes_round_trip_and_oversized_results_become_failures() {
    for state in
        [RunState::Pending, RunState::Succeeded("x\r\n".into()), RunState::Failed, RunState::NeverStarted]
    {
        let (sent, mut buffer) = (record_with(state), BytesMut::new());
        encode(&mut buffer, &sent);
        assert_eq!(decode(&mut buffer).unwrap(), Some(sent));
    }
    let mut buffer = BytesMut::new();
    encode(&mut buffer, &record_with(RunState::Succeeded(vec![0; MAX_BODY].into())));
    assert_eq!(decode(&mut buffer).unwrap(), Some(record_with(RunState::Failed)));
    assert!(decode(&mut BytesMut::from(&b"KEY 1 2 open 9 1\r\nx\r\n"[..])).is_err());
}
