mod handover;
mod stores;

use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use oakwind_admission::{CallerId, ClassId, TenantId};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

use super::*;
use crate::exchange::{
    self, Answer, BackendEndpoints, Endpoints, Exchange, RequestTag, StartMode, SubmissionId, TransactionId,
};
use crate::outcome::{digest, BodyDigest, Completion, IdempotencyRecord, RunState};

/// Time limit of one test, so that a test that hangs fails; also the deadline of its requests.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const KEYED_CLASS: ClassId = ClassId(1);
const DIGEST_SEED: u64 = 7;
const SETTINGS: &str = r#"{"services": [
    {"name": "quote", "slo": 60000000, "deadline": 120000000, "effect": "repeatable"},
    {"name": "book", "slo": 60000000, "deadline": 120000000, "effect": "by_key", "window": 120000000}],
  "specifics": {"cores": 2, "memoryKb": 100000.0, "runFactor": 8.0, "entryKb": 1.0},
  "safety": {"drainGrace": 200000, "fallMultiple": 8.0},
  "limits": {"maxRetryAfter": 1000000, "retryAfter": true}, "servers": 1, "tick": 4000}"#;

/// A running dispatcher with the other ends of its exchange.
struct Node {
    exchange: Exchange,
    backend: BackendEndpoints,
    answer_queue: mpsc::Sender<Answer>,
    answers: mpsc::Receiver<Answer>,
}

impl Node {
    /// Starts a dispatcher whose backend is up.
    async fn start(awaiting_state: bool) -> Node {
        let node = Node::start_without_backend(awaiting_state);
        node.exchange.report(BackendEvent::Up { cold: false }).await;
        node
    }

    fn start_without_backend(awaiting_state: bool) -> Node {
        Node::start_with_run_gate(awaiting_state, RunGate::default(), None)
    }

    /// Starts a dispatcher without a backend, with this run gate and what was recovered from its stores.
    fn start_with_run_gate(
        awaiting_state: bool,
        run_gate: RunGate,
        recovered: Option<HandoverState>,
    ) -> Node {
        let Endpoints { exchange, dispatcher, backend } =
            exchange::new(StartMode { awaiting_state, recovering: false });
        let settings = oakwind_settings::parse(SETTINGS).unwrap();
        let mut dispatcher = Dispatcher::new(dispatcher, settings, 1, 1 << 20);
        dispatcher.set_run_gate(run_gate, recovered);
        spawn_local(dispatcher.run());
        let (answer_queue, answers) = mpsc::channel(16);
        Node { exchange, backend, answer_queue, answers }
    }

    /// Submits an attempt of a keyed class, whose answer carries `tag`.
    async fn submit(&self, tag: u64, key: &'static [u8], body: &'static [u8]) -> SubmissionId {
        let responder = Responder::new(&self.answer_queue, RequestTag(tag)).unwrap();
        self.exchange.submit(request(tag, key, body), responder).await
    }

    /// Submits an attempt and waits until the backend has received the command to run it.
    async fn submit_and_start(&mut self, tag: u64, key: &'static [u8], body: &'static [u8]) {
        self.submit(tag, key, body).await;
        assert_eq!(self.next_run().await.txn, txn(tag));
    }

    /// Waits for the next request that the backend is told to run.
    async fn next_run(&mut self) -> Rc<Request> {
        loop {
            if let RunCommand::Run(request) = self.backend.runs.recv().await.unwrap() {
                return request;
            }
        }
    }

    async fn complete(&self, tag: u64, completion: Completion) {
        self.exchange.report(BackendEvent::RunEnded { txn: txn(tag), completion }).await;
    }

    async fn next_answer(&mut self) -> (u64, RequestOutcome) {
        let Answer { tag, outcome } = self.answers.recv().await.unwrap();
        (tag.0, outcome)
    }

    /// Whether no command to run a request is queued for the backend.
    fn has_no_run_command(&mut self) -> bool {
        std::iter::from_fn(|| self.backend.runs.try_recv().ok())
            .all(|command| !matches!(command, RunCommand::Run(_)))
    }
}

/// A request of a keyed class.
fn request(tag: u64, key: &'static [u8], body: &'static [u8]) -> Request {
    let now = clock::now();
    Request {
        txn: txn(tag),
        class: KEYED_CLASS,
        tenant: TenantId(0),
        key: Some(Bytes::from_static(key)),
        caller: CallerId(1),
        cost_hint: None,
        memory_kb: 32.0,
        rank: 0.5,
        received_at: now,
        stated_receipt: Some(now),
        deadline: now + TEST_TIMEOUT,
        body: Bytes::from_static(body),
    }
}

/// The predecessor's record of the key `known`, whose attempts carry the body `body`.
fn predecessor_record(state: RunState) -> IdempotencyRecord {
    IdempotencyRecord {
        key: Bytes::from_static(b"known"),
        body_digest: BodyDigest(digest(DIGEST_SEED, b"body")),
        expires_at: clock::now() + TEST_TIMEOUT,
        state,
    }
}

fn txn(tag: u64) -> TransactionId {
    format!("{tag:x}").into()
}

fn served(result: &'static [u8]) -> RequestOutcome {
    RequestOutcome::Served(Bytes::from_static(result))
}

fn succeeded(result: &'static [u8]) -> Completion {
    Completion::Succeeded(Bytes::from_static(result))
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let with_timeout = async { tokio::time::timeout(TEST_TIMEOUT, test).await.expect("test timed out") };
    runtime.block_on(LocalSet::new().run_until(with_timeout));
}

#[test]
fn a_repeated_attempt_gets_the_result_of_the_first_and_does_not_run() {
    run_test(async {
        let mut node = Node::start(false).await;
        node.submit_and_start(1, b"key", b"body").await;
        node.submit(2, b"key", b"body").await;
        node.complete(1, succeeded(b"result")).await;
        assert_eq!(node.next_answer().await, (1, served(b"result")));
        assert_eq!(
            node.next_answer().await,
            (2, served(b"result")),
            "the second attempt waits for the run of the first"
        );
        node.submit(3, b"key", b"body").await;
        assert_eq!(
            node.next_answer().await,
            (3, served(b"result")),
            "an attempt after the end of the run gets its stored result"
        );
        assert!(node.has_no_run_command());
    });
}

#[test]
fn a_known_key_with_another_body_is_answered_as_a_mismatch() {
    run_test(async {
        let mut node = Node::start(false).await;
        node.submit_and_start(1, b"key", b"body").await;
        node.submit(2, b"key", b"another body").await;
        assert_eq!(node.next_answer().await, (2, RequestOutcome::BodyMismatch));
        assert!(node.has_no_run_command());
    });
}

#[test]
fn an_attempt_whose_run_never_started_is_rejected_and_its_key_is_released() {
    run_test(async {
        let mut node = Node::start(false).await;
        node.submit_and_start(1, b"key", b"body").await;
        node.complete(1, Completion::NeverStarted).await;
        assert!(matches!(
            node.next_answer().await,
            (1, RequestOutcome::Rejected { retry_after: Some(_), .. })
        ));
        node.submit_and_start(2, b"key", b"body").await;
    });
}

#[test]
fn requests_before_a_backend_is_up_are_rejected_with_different_advised_waits() {
    run_test(async {
        let mut node = Node::start_without_backend(false);
        let mut waits = Vec::new();
        for tag in 1..=2 {
            node.submit(tag, b"key", b"body").await;
            let (_, RequestOutcome::Rejected { retry_after: Some(wait), give_up: false }) =
                node.next_answer().await
            else {
                panic!("expected a rejection that advises a wait");
            };
            waits.push(wait);
        }
        // A quarter of `maxRetryAfter`, plus or minus half of that.
        let range = Duration::from_millis(125)..Duration::from_millis(375);
        assert!(waits.iter().all(|wait| range.contains(wait)) && waits[0] != waits[1], "{waits:?}");
    });
}

/// Guards against a process that serves again beside its successor, because that one did not read for a while.
#[test]
fn after_the_shutdown_notice_the_node_has_drained_once_its_runs_have_ended() {
    run_test(async {
        let mut node = Node::start(false).await;
        node.submit_and_start(1, b"key", b"body").await;
        node.exchange.drain(clock::now() + TEST_TIMEOUT).await;
        let mut status = node.exchange.status();
        status.wait_for(|status| status.draining.is_some()).await.unwrap();
        assert!(!status.borrow().drained);
        node.complete(1, succeeded(b"result")).await;
        assert_eq!(node.next_answer().await, (1, served(b"result")));
        status.wait_for(|status| status.drained).await.unwrap();
        // Reading stops `drainGrace` after the notice.
        status.wait_for(|status| !status.accepting).await.unwrap();
    });
}

#[test]
fn a_cancelled_submission_gets_no_answer_and_a_second_open_attempt_with_the_same_transaction_id_fails() {
    run_test(async {
        let mut node = Node::start(false).await;
        node.submit_and_start(1, b"key", b"body").await;
        node.submit(1, b"other", b"body").await;
        assert_eq!(node.next_answer().await, (1, RequestOutcome::Failed { timed_out: false }));
        let submission = node.submit(2, b"another", b"body").await;
        node.next_run().await;
        node.exchange.cancelled(submission).await;
        node.complete(2, succeeded(b"unheard")).await;
        node.complete(1, succeeded(b"result")).await;
        assert_eq!(node.next_answer().await, (1, served(b"result")));
    });
}
