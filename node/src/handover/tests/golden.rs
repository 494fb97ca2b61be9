//! Golden bytes that two processes of a node exchange during an upgrade in place. One of the two may be of an
//! older release, so these bytes and the name of the socket must not change.

use crate::test_support::{bytes, hex};
use std::path::PathBuf;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::watch;

use crate::exchange::{self, DispatcherEndpoints, DispatcherEvent, Endpoints, HandoverState, StartMode};
use crate::handover::message::{decode, encode, PredecessorMessage};
use crate::handover::predecessor::{run_handover, HandoverOutcome};
use crate::handover::{socket_path, take_over};
use crate::outcome::{BodyDigest, IdempotencyRecord, RunState};

/// A `KEY` line and the body whose length it gives; `\r\n` ends both.
const OPEN: &str = "4b455920312031373634353736303030313233206f70656e203220320d0a6b310d0a";
const DONE: &str = "4b4559203230203137363435373630303031323420646f6e65203420380d0a0d0a20ff72000d0a0d0a";
const FAILED: &str = "4b4559203330302031373634353736303030313235206661696c6564203420340d0a6b6579330d0a";
const FREE: &str =
    "4b4559206666666666666666666666666666666620313736343537363030303132362066726565203020300d0a0d0a";
const STANDBY: &str = "5354414e4442590d0a";
const TAKE: &str = "54414b450d0a";
const PASSED: &str = "5041535345440d0a";
const SEED: &str = "5345454420666564636261393837363534333231300d0a";
const ALL: &str = "414c4c0d0a";

/// The predecessor's response to `TAKE`: `SEED`, `KEY`, `KEY`, `ALL`.
fn whole_table() -> String {
    [SEED, OPEN, DONE, ALL].concat()
}

/// The start mode of a process that has a predecessor.
const AWAITING_STATE: StartMode = StartMode { awaiting_state: true, recovering: false };
const DIGEST_SEED: u64 = 0xfedc_ba98_7654_3210;

fn record_of(key: &'static [u8], body: u64, millis: u64, state: RunState) -> IdempotencyRecord {
    IdempotencyRecord {
        key: Bytes::from_static(key),
        body_digest: BodyDigest(body),
        expires_at: Duration::from_millis(millis),
        state,
    }
}

fn open() -> IdempotencyRecord {
    record_of(b"k1", 0x1, 1_764_576_000_123, RunState::Pending)
}

fn done() -> IdempotencyRecord {
    record_of(b"\r\n \xff", 0x20, 1_764_576_000_124, RunState::Succeeded(Bytes::from_static(b"r\x00\r\n")))
}

fn failed() -> IdempotencyRecord {
    record_of(b"key3", 0x300, 1_764_576_000_125, RunState::Failed)
}

fn free() -> IdempotencyRecord {
    record_of(b"", u64::MAX, 1_764_576_000_126, RunState::NeverStarted)
}

fn run(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

/// A socket path that only the test of this name uses.
fn test_socket(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("oakwind-golden-{}-{name}.sock", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

/// Whether the successor listens, as [`take_over`] gets it.
fn listening(is_listening: bool) -> watch::Receiver<bool> {
    watch::channel(is_listening).1
}

/// Reads as many bytes as the hexadecimal text `expected` stands for, and returns them in hexadecimal.
async fn read_hex(stream: &mut UnixStream, expected: &str) -> String {
    let mut read = vec![0; expected.len() / 2];
    stream.read_exact(&mut read).await.unwrap();
    hex(&read)
}

async fn next_event(dispatcher: &mut DispatcherEndpoints) -> DispatcherEvent {
    dispatcher.events.recv().await.unwrap()
}

#[test]
fn each_kind_of_record_has_these_bytes() {
    for (record, expected) in [(open(), OPEN), (done(), DONE), (failed(), FAILED), (free(), FREE)] {
        let mut output = BytesMut::new();
        encode(&mut output, &PredecessorMessage::Record(record.clone()));
        assert_eq!(hex(&output), expected, "{record:?}");
    }
}

#[test]
fn each_kind_of_record_is_decoded_from_these_bytes() {
    let all = [OPEN, DONE, FAILED, FREE].concat();
    let mut input = BytesMut::from(&bytes(&all)[..]);
    for expected in [open(), done(), failed(), free()] {
        assert_eq!(decode(&mut input).unwrap().unwrap(), PredecessorMessage::Record(expected));
    }
    assert!(input.is_empty());
}

/// A successor of an earlier release takes it for the record of a key that has failed.
#[test]
fn lost_keys_are_the_record_of_a_reserved_key() {
    let message = PredecessorMessage::LostKeys { expire_at: Duration::from_millis(1_764_576_000_127) };
    let mut bytes = BytesMut::new();
    encode(&mut bytes, &message);
    assert_eq!(&bytes[..], b"KEY 0 1764576000127 failed 5 5\r\n\0lost\r\n");
    assert_eq!(decode(&mut bytes).unwrap(), Some(message));
}

#[test]
fn a_result_too_long_for_a_message_is_sent_as_a_failure() {
    // The key and the result together are limited to 256 KiB.
    let longest = vec![b'r'; 256 * 1024 - 2];
    let mut output = BytesMut::new();
    encode(
        &mut output,
        &PredecessorMessage::Record(record_of(b"k1", 1, 123, RunState::Succeeded(longest.clone().into()))),
    );
    assert!(hex(&output).starts_with(&hex(b"KEY 1 123 done 2 262144\r\nk1rr")));
    assert_eq!(output.len(), b"KEY 1 123 done 2 262144\r\n".len() + 256 * 1024 + 2);
    output.clear();
    encode(
        &mut output,
        &PredecessorMessage::Record(record_of(
            b"k1",
            1,
            123,
            RunState::Succeeded([&longest[..], b"r"].concat().into()),
        )),
    );
    assert_eq!(hex(&output), hex(b"KEY 1 123 failed 2 2\r\nk1\r\n"));
}

#[test]
fn the_digest_of_a_body_is_the_same_in_every_release() {
    assert_eq!(format!("{:x}", crate::outcome::digest(DIGEST_SEED, b"a body")), "368d9b8f0942b73b");
    assert_eq!(format!("{:x}", crate::outcome::digest(0, b"")), "d1fba762150c532c");
}

#[test]
fn the_socket_path_is_derived_from_the_listen_address() {
    // Sets the variable to its effective value, as it may not be set.
    std::env::set_var("TMPDIR", std::env::temp_dir());
    let name =
        |listen: &str| socket_path(listen.parse().unwrap()).map(|path| path.file_name().unwrap().to_owned());
    assert_eq!(name("127.0.3.1:4100").unwrap(), "oakwind-127.0.3.1_4100.sock");
    assert_eq!(name("[::1]:4100").unwrap(), "oakwind-___1__4100.sock");
    assert_eq!(name("127.0.3.1:0"), None);
}

#[test]
fn the_predecessor_answers_take_with_its_whole_table_and_reports_outcomes_after_it() {
    run(async {
        let Endpoints { exchange, mut dispatcher, backend: _backend } = exchange::new(StartMode::default());
        let path = test_socket("old");
        let listener = UnixListener::bind(&path).unwrap();
        let predecessor = run_handover(&listener, &exchange);
        let successor = async {
            let mut successor = UnixStream::connect(&path).await.unwrap();
            successor.write_all(&bytes(TAKE)).await.unwrap();
            let DispatcherEvent::BeginHandover(updates) = next_event(&mut dispatcher).await else { panic!() };
            updates
                .send(HandoverState {
                    digest_seed: DIGEST_SEED,
                    records: vec![open(), done()],
                    ..HandoverState::default()
                })
                .await
                .unwrap();
            assert_eq!(read_hex(&mut successor, &whole_table()).await, whole_table());
            updates
                .send(HandoverState { digest_seed: 0, records: vec![failed()], ..HandoverState::default() })
                .await
                .unwrap();
            updates
                .send(HandoverState { digest_seed: 0, records: vec![free()], ..HandoverState::default() })
                .await
                .unwrap();
            assert_eq!(read_hex(&mut successor, &[FAILED, FREE].concat()).await, [FAILED, FREE].concat());
            successor.write_all(&bytes(PASSED)).await.unwrap();
            (successor, updates)
        };
        let (outcome, _kept_open) = tokio::join!(predecessor, successor);
        assert_eq!(outcome, HandoverOutcome::Superseded);
        std::fs::remove_file(path).unwrap();
    });
}

#[test]
fn the_predecessor_ignores_other_first_messages_and_detects_the_end_of_the_successor() {
    run(async {
        let Endpoints { exchange, mut dispatcher, backend: _backend } = exchange::new(StartMode::default());
        let path = test_socket("first");
        let listener = UnixListener::bind(&path).unwrap();
        let successor = async {
            let mut successor = UnixStream::connect(&path).await.unwrap();
            successor.write_all(&bytes(PASSED)).await.unwrap();
        };
        assert_eq!(
            tokio::join!(run_handover(&listener, &exchange), successor).0,
            HandoverOutcome::NotRequested
        );
        let successor = async {
            let mut successor = UnixStream::connect(&path).await.unwrap();
            successor.write_all(&bytes(TAKE)).await.unwrap();
            let DispatcherEvent::BeginHandover(updates) = next_event(&mut dispatcher).await else { panic!() };
            updates
        };
        assert_eq!(
            tokio::join!(run_handover(&listener, &exchange), successor).0,
            HandoverOutcome::SuccessorEnded
        );
        std::fs::remove_file(path).unwrap();
    });
}

#[test]
fn the_successor_sends_take_receives_the_table_and_outcomes_and_reports_when_it_is_superseded() {
    run(async {
        let Endpoints { exchange, mut dispatcher, backend: _backend } = exchange::new(AWAITING_STATE);
        let path = test_socket("new");
        let listener = UnixListener::bind(&path).unwrap();
        let successor = take_over(path.clone(), exchange, listening(true));
        let predecessor = async {
            let (mut predecessor, _) = listener.accept().await.unwrap();
            assert_eq!(read_hex(&mut predecessor, TAKE).await, TAKE);
            predecessor.write_all(&bytes(&whole_table())).await.unwrap();
            let DispatcherEvent::StateReceived(state) = next_event(&mut dispatcher).await else { panic!() };
            assert_eq!((state.digest_seed, state.records), (DIGEST_SEED, vec![open(), done()]));
            dispatcher.status.send_modify(|status| status.awaiting_state = false);
            predecessor.write_all(&bytes(FAILED)).await.unwrap();
            let DispatcherEvent::StateReceived(state) = next_event(&mut dispatcher).await else { panic!() };
            assert_eq!(state.records, [failed()]);
            dispatcher.status.send_modify(|status| status.handed_over = true);
            assert_eq!(read_hex(&mut predecessor, PASSED).await, PASSED);
            predecessor.write_all(&bytes(FREE)).await.unwrap();
            let DispatcherEvent::StateReceived(state) = next_event(&mut dispatcher).await else { panic!() };
            assert_eq!(state.records, [free()]);
            drop(predecessor);
            assert!(matches!(next_event(&mut dispatcher).await, DispatcherEvent::PredecessorDone));
        };
        tokio::join!(successor, predecessor);
        std::fs::remove_file(path).unwrap();
    });
}

#[test]
fn a_successor_that_does_not_listen_yet_stands_by_and_receives_a_table_before_it_takes_over() {
    run(async {
        let Endpoints { exchange, mut dispatcher, backend: _backend } = exchange::new(AWAITING_STATE);
        let path = test_socket("standby");
        let listener = UnixListener::bind(&path).unwrap();
        let (listens, listening) = watch::channel(false);
        let predecessor = async {
            // A predecessor of an earlier release closes the connection.
            let (mut predecessor, _) = listener.accept().await.unwrap();
            assert_eq!(read_hex(&mut predecessor, STANDBY).await, STANDBY);
            drop(predecessor);
            let (mut predecessor, _) = listener.accept().await.unwrap();
            assert_eq!(read_hex(&mut predecessor, STANDBY).await, STANDBY);
            predecessor.write_all(&bytes(&whole_table())).await.unwrap();
            let DispatcherEvent::StateReceived(state) = next_event(&mut dispatcher).await else { panic!() };
            assert_eq!((state.digest_seed, state.records), (DIGEST_SEED, vec![open(), done()]));
            listens.send_replace(true);
            assert_eq!(read_hex(&mut predecessor, TAKE).await, TAKE);
            drop(predecessor);
            assert!(matches!(next_event(&mut dispatcher).await, DispatcherEvent::PredecessorDone));
        };
        tokio::join!(take_over(path.clone(), exchange, listening), predecessor);
        std::fs::remove_file(path).unwrap();
    });
}

#[test]
fn the_predecessor_keeps_one_successor_on_standby_and_hands_over_to_another_that_takes_over() {
    run(async {
        let Endpoints { exchange, mut dispatcher, backend: _backend } = exchange::new(StartMode::default());
        let path = test_socket("standbys");
        let listener = UnixListener::bind(&path).unwrap();
        let successors = async {
            let mut standby = UnixStream::connect(&path).await.unwrap();
            standby.write_all(&bytes(STANDBY)).await.unwrap();
            let DispatcherEvent::SuccessorStandsBy(_updates) = next_event(&mut dispatcher).await else {
                panic!()
            };
            let mut second = UnixStream::connect(&path).await.unwrap();
            second.write_all(&bytes(STANDBY)).await.unwrap();
            assert_eq!(second.read(&mut [0]).await.unwrap(), 0, "it is told to connect again");
            let mut third = UnixStream::connect(&path).await.unwrap();
            third.write_all(&bytes(TAKE)).await.unwrap();
            let DispatcherEvent::BeginHandover(updates) = next_event(&mut dispatcher).await else { panic!() };
            assert_eq!(standby.read(&mut [0]).await.unwrap(), 0);
            let table = HandoverState {
                digest_seed: DIGEST_SEED,
                records: vec![open(), done()],
                ..HandoverState::default()
            };
            updates.send(table).await.unwrap();
            assert_eq!(read_hex(&mut third, &whole_table()).await, whole_table());
            assert!(matches!(next_event(&mut dispatcher).await, DispatcherEvent::UpdateWritten));
        };
        assert_eq!(
            tokio::join!(run_handover(&listener, &exchange), successors).0,
            HandoverOutcome::SuccessorEnded
        );
        std::fs::remove_file(path).unwrap();
    });
}

#[test]
fn a_successor_on_standby_gets_the_table_when_it_is_due_and_may_take_over_later() {
    run(async {
        let Endpoints { exchange, mut dispatcher, backend: _backend } = exchange::new(StartMode::default());
        let path = test_socket("due");
        let listener = UnixListener::bind(&path).unwrap();
        let successor = async {
            let mut successor = UnixStream::connect(&path).await.unwrap();
            successor.write_all(&bytes(STANDBY)).await.unwrap();
            let DispatcherEvent::SuccessorStandsBy(updates) = next_event(&mut dispatcher).await else {
                panic!()
            };
            let table = HandoverState {
                digest_seed: DIGEST_SEED,
                records: vec![open(), done()],
                ..HandoverState::default()
            };
            updates.send(table).await.unwrap();
            assert_eq!(read_hex(&mut successor, &whole_table()).await, whole_table());
            assert!(matches!(next_event(&mut dispatcher).await, DispatcherEvent::UpdateWritten));
            successor.write_all(&bytes(TAKE)).await.unwrap();
            let DispatcherEvent::BeginHandover(same) = next_event(&mut dispatcher).await else { panic!() };
            assert!(same.same_channel(&updates));
            updates
                .send(HandoverState { digest_seed: 0, records: vec![failed()], ..HandoverState::default() })
                .await
                .unwrap();
            assert_eq!(read_hex(&mut successor, FAILED).await, FAILED);
            (updates, same)
        };
        assert_eq!(
            tokio::join!(run_handover(&listener, &exchange), successor).0,
            HandoverOutcome::SuccessorEnded
        );
        std::fs::remove_file(path).unwrap();
    });
}

#[test]
fn an_empty_table_is_transferred_as_well() {
    run(async {
        let Endpoints { exchange, mut dispatcher, backend: _backend } = exchange::new(AWAITING_STATE);
        let path = test_socket("empty");
        let listener = UnixListener::bind(&path).unwrap();
        let predecessor = async {
            let (mut predecessor, _) = listener.accept().await.unwrap();
            predecessor.write_all(&bytes(&[SEED, ALL].concat())).await.unwrap();
            let DispatcherEvent::StateReceived(state) = next_event(&mut dispatcher).await else { panic!() };
            assert_eq!((state.digest_seed, state.records), (DIGEST_SEED, vec![]));
            dispatcher.status.send_modify(|status| status.awaiting_state = false);
        };
        tokio::join!(take_over(path.clone(), exchange, listening(true)), predecessor);
        std::fs::remove_file(path).unwrap();
    });
}

#[test]
fn nothing_is_passed_to_the_dispatcher_from_a_truncated_or_malformed_table() {
    for sent in [[SEED, OPEN].concat(), [SEED, TAKE, ALL].concat()] {
        run(async {
            let Endpoints { exchange, mut dispatcher, backend: _backend } = exchange::new(AWAITING_STATE);
            let path = test_socket("cut");
            let listener = UnixListener::bind(&path).unwrap();
            let predecessor = async {
                let (mut predecessor, _) = listener.accept().await.unwrap();
                assert_eq!(read_hex(&mut predecessor, TAKE).await, TAKE);
                predecessor.write_all(&bytes(&sent)).await.unwrap();
                // While the socket is open, the process that serves is not known to have ended.
                drop((predecessor, listener));
                assert!(matches!(next_event(&mut dispatcher).await, DispatcherEvent::PredecessorDone));
            };
            tokio::join!(take_over(path.clone(), exchange, listening(true)), predecessor);
            std::fs::remove_file(path).unwrap();
        });
    }
}
