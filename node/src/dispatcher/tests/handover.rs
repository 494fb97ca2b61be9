//! Tests of handovers between two processes of a node.

use super::*;
use crate::dispatcher::attempts::TIMEOUT_MARGIN;

#[test]
fn a_successor_buffers_keyed_attempts_until_it_has_the_table_and_does_not_run_keys_that_the_table_contains() {
    run_test(async {
        let mut node = Node::start(true).await;
        node.submit(1, b"known", b"body").await;
        node.submit(2, b"new", b"body").await;
        tokio::task::yield_now().await;
        assert!(node.has_no_run_command());
        let table = HandoverState {
            digest_seed: DIGEST_SEED,
            records: vec![predecessor_record(RunState::Pending)],
            ..HandoverState::default()
        };
        node.exchange.receive_state(table).await;
        assert_eq!(node.next_run().await.txn, txn(2));
        let result = RunState::Succeeded(Bytes::from_static(b"result"));
        node.exchange
            .receive_state(HandoverState {
                digest_seed: 0,
                records: vec![predecessor_record(result)],
                ..HandoverState::default()
            })
            .await;
        assert_eq!(node.next_answer().await, (1, served(b"result")));
        assert!(node.has_no_run_command());
    });
}

/// Guards against a rejection, which promises that nothing ran, of a key that may have run at the predecessor.
#[test]
fn a_buffered_attempt_whose_time_is_over_fails_and_is_not_rejected() {
    run_test(async {
        for backend_is_up in [true, false] {
            let mut node = Node::start_without_backend(true);
            if backend_is_up {
                node.exchange.report(BackendEvent::Up { cold: false }).await;
            }
            let responder = Responder::new(&node.answer_queue, RequestTag(1)).unwrap();
            let deadline = clock::now() + TIMEOUT_MARGIN;
            node.exchange.submit(Request { deadline, ..request(1, b"known", b"body") }, responder).await;
            assert_eq!(node.next_answer().await, (1, RequestOutcome::Failed { timed_out: true }));
        }
    });
}

/// Guards against a process that drains and rejects keys that its predecessor may have run, or ends before it has
/// answered them.
#[test]
fn a_successor_that_drains_answers_its_buffered_attempts_once_it_has_the_table_or_before_it_is_stopped() {
    run_test(async {
        let mut node = Node::start(true).await;
        node.submit(1, b"known", b"body").await;
        node.exchange.drain(clock::now() + TEST_TIMEOUT).await;
        let mut status = node.exchange.status();
        status.wait_for(|status| status.draining.is_some()).await.unwrap();
        assert!(!status.borrow().drained);
        let result = RunState::Succeeded(Bytes::from_static(b"result"));
        let table = HandoverState {
            digest_seed: DIGEST_SEED,
            records: vec![predecessor_record(result)],
            ..HandoverState::default()
        };
        node.exchange.receive_state(table).await;
        assert_eq!(node.next_answer().await, (1, served(b"result")));
        status.wait_for(|status| status.drained).await.unwrap();

        let mut node = Node::start(true).await;
        node.submit(1, b"known", b"body").await;
        node.exchange.drain(clock::now() + handover_progress::STOP_MARGIN).await;
        assert_eq!(node.next_answer().await, (1, RequestOutcome::Failed { timed_out: false }));
    });
}

#[test]
fn unreported_runs_of_a_predecessor_count_as_failed_once_it_has_ended() {
    run_test(async {
        let mut node = Node::start(true).await;
        let table = HandoverState {
            digest_seed: DIGEST_SEED,
            records: vec![predecessor_record(RunState::Pending)],
            ..HandoverState::default()
        };
        node.exchange.receive_state(table).await;
        node.submit(1, b"known", b"body").await;
        node.exchange.predecessor_done().await;
        assert_eq!(node.next_answer().await, (1, RequestOutcome::Failed { timed_out: false }));
        assert!(!node.exchange.status().borrow().predecessor_alive);
    });
}

#[test]
fn keys_lost_with_a_predecessor_fail_until_they_have_expired() {
    run_test(async {
        let mut node = Node::start(true).await;
        node.submit(1, b"key", b"body").await;
        node.exchange.predecessor_done().await;
        assert_eq!(node.next_answer().await, (1, RequestOutcome::Failed { timed_out: false }));
        // The window of the settings is twice `TEST_TIMEOUT`.
        for (tag, received_after) in [(2, TEST_TIMEOUT), (3, 3 * TEST_TIMEOUT)] {
            let responder = Responder::new(&node.answer_queue, RequestTag(tag)).unwrap();
            let received_at = clock::now() + received_after;
            let late = Request {
                received_at,
                stated_receipt: Some(received_at),
                deadline: received_at + TEST_TIMEOUT,
                ..request(tag, b"key", b"body")
            };
            node.exchange.submit(late, responder).await;
        }
        assert_eq!(node.next_answer().await, (2, RequestOutcome::Failed { timed_out: false }));
        assert_eq!(node.next_run().await.txn, txn(3));
    });
}

#[test]
fn a_predecessor_transfers_its_table_then_outcomes_and_fails_new_keys() {
    run_test(async {
        let mut node = Node::start(false).await;
        node.submit_and_start(1, b"key", b"body").await;
        let (updates, mut transferred) = mpsc::channel(8);
        node.exchange.begin_handover(updates).await;
        let table = transferred.recv().await.unwrap();
        let record = &table.records[0];
        assert_eq!(
            (table.records.len(), &record.key[..], &record.state),
            (1, &b"key"[..], &RunState::Pending)
        );
        assert!(node.exchange.status().borrow().handed_over);
        node.submit(2, b"new", b"body").await;
        assert_eq!(node.next_answer().await, (2, RequestOutcome::Failed { timed_out: false }));
        node.complete(1, succeeded(b"result")).await;
        let update = transferred.recv().await.unwrap();
        assert_eq!(update.records[0].state, RunState::Succeeded(Bytes::from_static(b"result")));
        assert_eq!(node.next_answer().await, (1, served(b"result")));
        node.exchange.successor_lost().await;
        node.submit(3, b"new", b"body").await;
        assert_eq!(
            node.next_run().await.txn,
            txn(3),
            "the node continues to serve once the successor is lost"
        );
    });
}

#[test]
fn a_successor_that_does_not_read_for_a_while_gets_every_outcome_and_is_not_given_up() {
    run_test(async {
        let mut node = Node::start(false).await;
        let keys: [&[u8]; 2] = [b"a", b"b"];
        for (tag, key) in (1..).zip(keys) {
            node.submit_and_start(tag, key, b"body").await;
        }
        let (updates, mut transferred) = mpsc::channel(1);
        node.exchange.begin_handover(updates).await;
        let mut status = node.exchange.status();
        status.wait_for(|status| status.handed_over).await.unwrap();
        let table = transferred.recv().await.unwrap();
        assert_eq!(table.records.len(), keys.len());
        // The second outcome finds the queue full.
        for tag in 1..=2 {
            node.complete(tag, succeeded(b"result")).await;
            assert_eq!(node.next_answer().await, (tag, served(b"result")));
        }
        node.exchange.drain(clock::now() + TEST_TIMEOUT).await;
        for key in keys {
            assert!(status.borrow().handed_over && !status.borrow().drained);
            node.exchange.update_written().await;
            assert_eq!(transferred.recv().await.unwrap().records[0].key, key);
        }
        node.exchange.update_written().await;
        status.wait_for(|status| status.drained).await.unwrap();
    });
}

#[test]
fn a_process_that_drains_has_drained_only_once_its_successor_has_been_sent_the_table() {
    run_test(async {
        let node = Node::start(false).await;
        node.exchange.drain(clock::now() + TEST_TIMEOUT).await;
        let mut status = node.exchange.status();
        status.wait_for(|status| status.drained).await.unwrap();
        let (updates, mut transferred) = mpsc::channel(8);
        node.exchange.begin_handover(updates).await;
        status.wait_for(|status| status.handed_over).await.unwrap();
        assert!(!status.borrow().drained, "the table is to be sent");
        transferred.recv().await.unwrap();
        assert!(!status.borrow().drained, "the table is not known to have been sent");
        node.exchange.update_written().await;
        status.wait_for(|status| status.drained).await.unwrap();
    });
}

#[test]
fn a_successor_on_standby_gets_the_table_at_the_end_of_the_drain_grace() {
    run_test(async {
        let mut node = Node::start(false).await;
        node.submit_and_start(1, b"key", b"body").await;
        let (updates, mut transferred) = mpsc::channel(8);
        node.exchange.successor_stands_by(updates).await;
        // The process serves on until it drains.
        node.submit_and_start(2, b"other", b"body").await;
        assert!(transferred.try_recv().is_err());
        node.exchange.drain(clock::now() + TEST_TIMEOUT).await;
        assert_eq!(transferred.recv().await.unwrap().records.len(), 2);
        let status = node.exchange.status();
        assert!(!status.borrow().accepting, "the table comes once no more keys are taken");
        node.complete(1, succeeded(b"result")).await;
        let update = transferred.recv().await.unwrap();
        assert_eq!(update.records[0].state, RunState::Succeeded(Bytes::from_static(b"result")));
    });
}
