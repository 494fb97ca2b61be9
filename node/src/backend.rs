//! The backends: what runs requests, and what answers the calls that they make.

pub(crate) mod index;
pub(crate) mod interpreter;
pub(crate) mod uwsgi;

use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, Semaphore};
use tokio::task::{AbortHandle, JoinSet};

use crate::clock::{self, UnixTime};
use crate::exchange::{BackendEvent, CallCommand, CallOutcome, Exchange, Request, TransactionId};

/// Without commands for this long, idle connections are looked at.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A call that has ended.
struct EndedCall<T> {
    /// The request that it was made for.
    txn: TransactionId,
    outcome: T,
}

/// Calls in progress by the request that each is for. Each has a connection of its own.
struct CallsInProgress<T> {
    tasks: JoinSet<EndedCall<T>>,
    handles: HashMap<TransactionId, AbortHandle>,
    /// Bounds the connections, and so the descriptors of the process.
    connections: Arc<Semaphore>,
}

impl<T: 'static> CallsInProgress<T> {
    fn new(max_connections: usize) -> Self {
        CallsInProgress {
            tasks: JoinSet::new(),
            handles: HashMap::new(),
            connections: Arc::new(Semaphore::new(max_connections)),
        }
    }

    /// Starts a call and cancels any other for the same request. It ends with `no_connection` where no connection
    /// becomes free by the deadline.
    fn start(
        &mut self,
        txn: TransactionId,
        deadline: UnixTime,
        call: impl Future<Output = T> + 'static,
        no_connection: T,
    ) {
        self.cancel(&txn);
        let connections = self.connections.clone();
        let task_txn = txn.clone();
        let handle = self.tasks.spawn_local(async move {
            let permit = tokio::select! {
                biased;
                permit = connections.acquire_owned() => permit,
                () = clock::until(deadline) => return EndedCall { txn: task_txn, outcome: no_connection },
            };
            let outcome = call.await;
            drop(permit);
            EndedCall { txn: task_txn, outcome }
        });
        self.handles.insert(txn, handle);
    }

    /// Closes the connection of a call; false if there is none.
    fn cancel(&mut self, txn: &TransactionId) -> bool {
        self.handles.remove(txn).map(|handle| handle.abort()).is_some()
    }

    /// The next call that ended; waits for ever while none is in progress.
    async fn next(&mut self) -> EndedCall<T> {
        loop {
            match self.tasks.join_next_with_id().await {
                Some(Ok((id, ended))) => {
                    // A call that was cancelled or replaced meanwhile has no outcome.
                    if self.handles.get(&ended.txn).is_some_and(|handle| handle.id() == id) {
                        self.handles.remove(&ended.txn);
                        return ended;
                    }
                }
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }
}

/// A peer that answers calls.
pub(crate) trait CallBackend {
    /// Makes a call and waits for its outcome, until the deadline at the latest.
    fn call(
        self: Rc<Self>,
        request: Rc<Request>,
        body: Bytes,
        deadline: UnixTime,
    ) -> impl Future<Output = CallOutcome>;

    /// Closes connections that are of no more use. Called now and then.
    fn close_stale_connections(&self) {}
}

/// Makes calls until no more commands can come, over at most so many connections at a time.
pub(crate) async fn make_calls<B: CallBackend + 'static>(
    backend: Rc<B>,
    exchange: Exchange,
    mut commands: mpsc::Receiver<CallCommand>,
    max_connections: usize,
) {
    let mut calls = CallsInProgress::new(max_connections);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                None => return,
                Some(CallCommand::Call { request, body, deadline }) => {
                    let call = backend.clone().call(request.clone(), body, deadline);
                    calls.start(request.txn.clone(), deadline, call, CallOutcome::Unreachable);
                }
                Some(CallCommand::GiveUp(txn)) => drop(calls.cancel(&txn)),
            },
            ended = calls.next() => {
                exchange.report(BackendEvent::CallEnded { txn: ended.txn, outcome: ended.outcome }).await;
            }
            () = clock::until(clock::now() + IDLE_CHECK_INTERVAL) => backend.close_stale_connections(),
        }
    }
}
