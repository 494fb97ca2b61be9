//! The client side: what runs requests and what takes their calls.

pub mod index;
pub mod interpreter;
pub mod uwsgi;

use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, Semaphore};
use tokio::task::{AbortHandle, JoinSet};

use crate::clock::{self, Unix};
use crate::exchange::{BackendEvent, CallCommand, CallOutcome, Exchange, Request};

/// Without calls for this long, what was kept for them is looked at.
const TIDY: Duration = Duration::from_secs(1);

/// Exchanges under way, by the request that each is for; each has a connection of its own.
struct UnderWay<T> {
    tasks: JoinSet<(Bytes, T)>,
    handles: HashMap<Bytes, AbortHandle>,
    /// How many may have a connection at a time. Guards the descriptors of the process.
    room: Arc<Semaphore>,
}

impl<T: 'static> UnderWay<T> {
    fn new(connections: usize) -> Self {
        let room = Arc::new(Semaphore::new(connections));
        UnderWay { tasks: JoinSet::new(), handles: HashMap::new(), room }
    }

    /// Begins one in the place of any other for the request, `unreached` if there is no room for it in time.
    fn begin(&mut self, txn: Bytes, until: Unix, asked: impl Future<Output = T> + 'static, unreached: T) {
        self.give_up(&txn);
        let (named, room) = (txn.clone(), self.room.clone());
        let handle = self.tasks.spawn_local(async move {
            let room = tokio::select! {
                biased;
                room = room.acquire_owned() => room,
                () = clock::until(until) => return (named, unreached),
            };
            let ended = asked.await;
            drop(room);
            (named, ended)
        });
        self.handles.insert(txn, handle);
    }

    /// Closes the connection of an exchange; false if there is none.
    fn give_up(&mut self, txn: &Bytes) -> bool {
        self.handles.remove(txn).map(|handle| handle.abort()).is_some()
    }

    /// The next exchange that ended; never if none is under way.
    async fn next(&mut self) -> (Bytes, T) {
        loop {
            match self.tasks.join_next_with_id().await {
                Some(Ok((id, (txn, ended)))) => {
                    // What was given up meanwhile has ended already.
                    if self.handles.get(&txn).is_some_and(|handle| handle.id() == id) {
                        self.handles.remove(&txn);
                        return (txn, ended);
                    }
                }
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }
}

/// What takes calls.
pub trait Callee {
    /// Makes a call and waits for its end, until then at the latest.
    fn call(
        self: Rc<Self>,
        request: Rc<Request>,
        body: Bytes,
        until: Unix,
    ) -> impl Future<Output = CallOutcome>;

    /// Lets go of what is of no more use; asked now and then.
    fn tidy(&self) {}
}

/// Makes calls for as long as there are any to come, over so many connections at the most.
pub async fn call<C: Callee + 'static>(
    callee: Rc<C>,
    exchange: Exchange,
    mut commands: mpsc::Receiver<CallCommand>,
    connections: usize,
) {
    let mut under_way = UnderWay::new(connections);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                None => return,
                Some(CallCommand::Call { request, body, until }) => {
                    let called = callee.clone().call(request.clone(), body, until);
                    under_way.begin(request.txn.clone(), until, called, CallOutcome::Unreachable);
                }
                Some(CallCommand::GiveUp(txn)) => drop(under_way.give_up(&txn)),
            },
            (txn, end) = under_way.next() => exchange.report(BackendEvent::CallEnded(txn, end)).await,
            () = clock::until(clock::now() + TIDY) => callee.tidy(),
        }
    }
}
