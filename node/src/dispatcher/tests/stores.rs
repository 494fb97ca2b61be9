//! Tests of a dispatcher with a result store that another process of the node had open.

use oakwind_admission::RequestId;

use super::*;
use crate::config::ResultStoreConfig;
use crate::result_store::record::{Record, RecordState};
use crate::result_store::ResultStore;
use crate::test_support::TestFolder;

fn closed_store(folder: &TestFolder) -> ResultStore {
    let config = ResultStoreConfig { folder: folder.0.clone(), max_bytes: 64 << 20, max_batch: 16 };
    ResultStore::closed(config, TEST_TIMEOUT)
}

/// Opens the store once no other part of the test has its folder open, and returns its seed.
async fn open_once_closed(store: &mut ResultStore) -> u64 {
    loop {
        match store.open() {
            Ok(recovered) => return recovered.seed,
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Opens the store as another process of the node once this process has closed it, and stores that the key `known` ran
/// with the result `result`. The folder is open until the returned store is dropped.
async fn store_result_of_another_process(folder: &TestFolder) -> ResultStore {
    let mut store = closed_store(folder);
    let seed = open_once_closed(&mut store).await;
    let body_digest = BodyDigest(digest(seed, b"body"));
    let expires_at = clock::now() + TEST_TIMEOUT;
    let (key, result) = (Bytes::from_static(b"known"), Bytes::from_static(b"result"));
    let record = Record::new(key, body_digest, expires_at, RecordState::Succeeded, result);
    assert!(store.writer.as_ref().unwrap().write(RequestId(1), record));
    store.next_event().await;
    store
}

/// The seed of the body digests in the store, whose folder is closed before and after.
async fn closed_store_seed(folder: &TestFolder) -> u64 {
    open_once_closed(&mut closed_store(folder)).await
}

/// A process with an open store, and the key `own` that it runs.
async fn start_with_open_store(folder: &TestFolder) -> Node {
    let mut store = closed_store(folder);
    let recovered = store.open().unwrap();
    let recovered =
        HandoverState { digest_seed: recovered.seed, records: recovered.keys, ..HandoverState::default() };
    let mut node = Node::start_with_run_gate(false, RunGate::new(Some(store), None), Some(recovered));
    node.exchange.report(BackendEvent::Up { cold: false }).await;
    node.submit_and_start(1, b"own", b"body").await;
    node
}

/// Guards against keyed attempts that run while the store that may know their keys is being read.
#[test]
fn a_successor_that_got_no_table_buffers_keyed_attempts_until_the_store_is_recovered() {
    run_test(async {
        let folder = TestFolder::new();
        drop(store_result_of_another_process(&folder).await);
        let run_gate = RunGate::new(Some(closed_store(&folder)), None);
        let mut node = Node::start_with_run_gate(true, run_gate, None);
        node.exchange.report(BackendEvent::Up { cold: false }).await;
        node.submit(1, b"known", b"body").await;
        node.exchange.predecessor_done().await;
        node.submit(2, b"known", b"body").await;
        node.submit(3, b"known", b"another body").await;
        let mut status = node.exchange.status();
        status.wait_for(|status| !status.predecessor_alive).await.unwrap();
        assert!(status.borrow().awaiting_state && !status.borrow().is_serving());
        let mut answers = [node.next_answer().await, node.next_answer().await, node.next_answer().await];
        answers.sort_by_key(|(tag, _)| *tag);
        assert_eq!(
            answers,
            [(1, served(b"result")), (2, served(b"result")), (3, RequestOutcome::BodyMismatch)]
        );
        assert!(node.has_no_run_command());
        node.submit_and_start(4, b"new", b"body").await;
    });
}

/// Guards against keyed attempts that run, and are not stored, because the store can't be opened, and against a rejection,
/// which promises that nothing ran, of keys that are in that store.
#[test]
fn a_successor_that_got_no_table_and_cannot_open_the_store_fails_keyed_attempts() {
    run_test(async {
        let folder = TestFolder::new();
        let run_gate = RunGate::new(Some(closed_store(&folder)), None);
        std::fs::remove_dir_all(&folder.0).unwrap();
        let mut node = Node::start_with_run_gate(true, run_gate, None);
        node.exchange.report(BackendEvent::Up { cold: false }).await;
        node.submit(1, b"new", b"body").await;
        node.exchange.predecessor_done().await;
        assert_eq!(node.next_answer().await, (1, RequestOutcome::Failed { timed_out: false }));
        node.submit(2, b"new", b"body").await;
        assert_eq!(node.next_answer().await, (2, RequestOutcome::Failed { timed_out: false }));
        assert!(node.has_no_run_command());
    });
}

/// Guards against a key that a lost successor has run and that runs again before the store has been read.
#[test]
fn a_process_that_lost_its_successor_buffers_keyed_attempts_until_the_store_is_recovered() {
    run_test(async {
        let folder = TestFolder::new();
        let mut node = start_with_open_store(&folder).await;
        let (updates, mut transferred) = mpsc::channel(8);
        node.exchange.begin_handover(updates).await;
        transferred.recv().await.unwrap();
        drop(store_result_of_another_process(&folder).await);
        node.exchange.successor_lost().await;
        node.submit(2, b"known", b"body").await;
        node.submit(3, b"own", b"body").await;
        assert_eq!(node.next_answer().await, (2, served(b"result")));
        node.complete(1, succeeded(b"own result")).await;
        let mut answers = [node.next_answer().await, node.next_answer().await];
        answers.sort_by_key(|(tag, _)| *tag);
        assert_eq!(answers, [(1, served(b"own result")), (3, served(b"own result"))]);
        assert!(node.has_no_run_command());
        assert!(!node.exchange.status().borrow().handed_over);
    });
}

/// Guards against a second successor that gets the table without the keys that the lost one has run.
#[test]
fn a_table_is_transferred_only_once_the_keys_of_a_lost_successor_are_recovered() {
    run_test(async {
        let folder = TestFolder::new();
        let node = start_with_open_store(&folder).await;
        let (updates, mut transferred) = mpsc::channel(8);
        node.exchange.begin_handover(updates).await;
        transferred.recv().await.unwrap();
        let held_by_lost_successor = store_result_of_another_process(&folder).await;
        node.exchange.successor_lost().await;
        let (updates, mut transferred) = mpsc::channel(8);
        node.exchange.begin_handover(updates).await;
        // A table that is complete takes 100 ms.
        let early = tokio::time::timeout(Duration::from_millis(150), transferred.recv());
        assert!(early.await.is_err());
        drop(held_by_lost_successor);
        assert_eq!(transferred.recv().await.unwrap().records.len(), 2, "the keys `own` and `known`");
    });
}

/// Guards against a wait for the store that ends with news of an earlier predecessor.
#[test]
fn the_end_of_a_predecessor_does_not_end_the_wait_for_the_keys_of_a_lost_successor() {
    run_test(async {
        let folder = TestFolder::new();
        drop(store_result_of_another_process(&folder).await);
        let run_gate = RunGate::new(Some(closed_store(&folder)), None);
        let mut node = Node::start_with_run_gate(true, run_gate, None);
        node.exchange.report(BackendEvent::Up { cold: false }).await;
        let digest_seed = closed_store_seed(&folder).await;
        node.exchange.receive_state(HandoverState { digest_seed, ..HandoverState::default() }).await;
        let (updates, mut transferred) = mpsc::channel(8);
        node.exchange.begin_handover(updates).await;
        transferred.recv().await.unwrap();
        node.exchange.successor_lost().await;
        node.exchange.receive_state(HandoverState::default()).await;
        node.exchange.predecessor_done().await;
        node.submit(1, b"known", b"body").await;
        assert_eq!(node.next_answer().await, (1, served(b"result")));
        assert!(node.has_no_run_command());
    });
}
