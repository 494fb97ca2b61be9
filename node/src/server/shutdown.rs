//! Signal handlers, and the drain between the shutdown notice and the end of the process.

use std::io;
use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::clock::{self, UnixTime};
use crate::exchange::{Exchange, NodeStatus};
use crate::frontend::connection_limiter::ConnectionLimiter;

/// Margin by which the process ends by itself before the platform stops it.
const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// The signals that a node handles.
pub(super) struct Signals {
    /// The shutdown notice.
    pub(super) shutdown: ShutdownSignals,
    /// SIGHUP: read the configuration files again.
    pub(super) hangup: Signal,
}

/// SIGTERM and SIGINT, each of which is the shutdown notice.
pub(super) struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. Without a handler, each of the signals would end the process.
    pub(super) fn install() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let hangup = signal(SignalKind::hangup())?;
        Ok(Signals { shutdown: ShutdownSignals { terminate, interrupt }, hangup })
    }
}

impl ShutdownSignals {
    /// Waits for the shutdown notice.
    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for the shutdown notice and then drains the node. Returns once the process may end.
pub(super) async fn drain_on_notice(
    mut signals: ShutdownSignals,
    exchange: &Exchange,
    stop_after: Duration,
    limiters: [&ConnectionLimiter; 2],
) {
    signals.received().await;
    let stop_at = clock::now() + stop_after;
    exchange.drain(stop_at).await;
    tokio::select! {
        () = flushed_before_stop(exchange, stop_at, limiters) => {}
        () = all_closed(exchange, limiters) => {}
    }
}

/// Waits until no more clients are accepted, all requests are answered and every connection is closed.
async fn all_closed(exchange: &Exchange, [jsonrpc, uwsgi]: [&ConnectionLimiter; 2]) {
    let may_end = |status: &NodeStatus| !status.accepts_clients() && status.drained;
    wait_until_drained(exchange, may_end, async || {
        tokio::join!(jsonrpc.all_closed(), uwsgi.all_closed());
    })
    .await;
}

/// Waits until shortly before the process is stopped, and then until every response is written. The process
/// may end while idle connections are still open, but not while a response is still to be written.
async fn flushed_before_stop(
    exchange: &Exchange,
    stop_at: UnixTime,
    [jsonrpc, uwsgi]: [&ConnectionLimiter; 2],
) {
    clock::until(stop_at.saturating_sub(EXIT_MARGIN)).await;
    wait_until_drained(
        exchange,
        |status| status.drained,
        async || {
            tokio::join!(jsonrpc.all_flushed(), uwsgi.all_flushed());
        },
    )
    .await;
}

/// Waits until the status is as required and `connections` completes, with both true at the same time: a request or
/// a successor may arrive while the connections are waited for.
async fn wait_until_drained(
    exchange: &Exchange,
    may_end: impl Fn(&NodeStatus) -> bool,
    connections: impl AsyncFn(),
) {
    let mut status = exchange.status();
    loop {
        // An error can't occur in practice: the status is published for as long as the process lasts.
        if status.wait_for(&may_end).await.is_err() {
            return;
        }
        connections().await;
        if may_end(&status.borrow()) {
            return;
        }
    }
}
