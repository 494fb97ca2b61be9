//! The backends: the interpreter or uwsgi servers, which run requests, and the index or uwsgi servers, which
//! answer the calls that running requests make.

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

/// Time without commands or ended calls after which stale idle connections are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The outcome of a call that has ended.
struct EndedCall<T> {
    /// The request that the call was made for.
    txn: TransactionId,
    outcome: T,
}

/// Calls or runs in progress, by the id of their request. Each uses a connection of its own.
struct CallsInProgress<T> {
    tasks: JoinSet<EndedCall<T>>,
    handles: HashMap<TransactionId, AbortHandle>,
    /// One permit for each connection, which bounds the file descriptors that the calls use.
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

    /// Starts a call and cancels an earlier one for the same request. The outcome is `no_connection` if no
    /// permit for a connection becomes available by the deadline.
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

    /// Cancels the call for a request, which closes its connection. Returns false if no such call is in
    /// progress.
    fn cancel(&mut self, txn: &TransactionId) -> bool {
        self.handles.remove(txn).map(|handle| handle.abort()).is_some()
    }

    /// Waits for the next call to end. Never completes while no call is in progress.
    async fn next(&mut self) -> EndedCall<T> {
        loop {
            match self.tasks.join_next_with_id().await {
                Some(Ok((id, ended))) => {
                    // The outcome of a call that was cancelled or replaced in the meantime is dropped.
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

/// A backend that answers the calls of running requests.
pub(crate) trait CallBackend {
    /// Makes a call for a request and returns its outcome. The call is given up at the deadline or shortly
    /// after it.
    fn call(
        self: Rc<Self>,
        request: Rc<Request>,
        body: Bytes,
        deadline: UnixTime,
    ) -> impl Future<Output = CallOutcome>;

    /// Closes idle connections that can't be reused. Called after [`IDLE_CHECK_INTERVAL`] without commands or
    /// ended calls.
    fn close_stale_connections(&self) {}
}

/// Makes calls until the command channel closes, over at most `max_connections` connections at a time.
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
                Some(CallCommand::Abandon(txn)) => drop(calls.cancel(&txn)),
            },
            ended = calls.next() => {
                exchange.report(BackendEvent::CallEnded { txn: ended.txn, outcome: ended.outcome }).await;
            }
            () = clock::until(clock::now() + IDLE_CHECK_INTERVAL) => backend.close_stale_connections(),
        }
    }
}
