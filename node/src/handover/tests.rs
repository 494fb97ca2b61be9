use super::*;

mod golden;

#[test]
fn records_arrive_as_they_were_sent_whatever_bytes_they_hold() {
    let record_of = |fate| IdempotencyRecord {
        key: Bytes::from_static(b"\r\n \xff"),
        body_digest: u64::MAX,
        expires_at: Duration::from_millis(1_764_576_000_123),
        state: fate,
    };
    for fate in
        [RunState::Pending, RunState::Succeeded("x\r\n".into()), RunState::Failed, RunState::NeverStarted]
    {
        let (sent, mut buffer) = (record_of(fate), BytesMut::new());
        put_record(&mut buffer, &sent);
        let message = line_codec::decode(&mut buffer, |words| words.next() == Some(b"KEY")).unwrap().unwrap();
        assert_eq!(record(&message).unwrap(), sent);
    }
    let mut buffer = BytesMut::new();
    put_record(&mut buffer, &record_of(RunState::Succeeded(vec![0; MAX_BODY].into())));
    let message = line_codec::decode(&mut buffer, |_| true).unwrap().unwrap();
    assert_eq!(record(&message).unwrap().state, RunState::Failed);
    let mut wrong = BytesMut::from(&b"KEY 1 2 open 9 1\r\nx\r\n"[..]);
    assert!(record(&line_codec::decode(&mut wrong, |_| true).unwrap().unwrap()).is_err());
}
