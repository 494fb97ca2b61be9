//! Signals, and the drain between the shutdown notice and the end of the process.

use std::future::Future;
use std::io;
use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::clock::{self, UnixTime};
use crate::exchange::Exchange;
use crate::frontend::connection_limiter::ConnectionLimiter;

/// The process ends by itself this long before it would be stopped.
const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// The signals that a node handles.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    /// SIGHUP: read the configuration files again.
    pub(super) hangup: Signal,
}

impl Signals {
    /// Installs the handlers; without them each of the signals would end the process.
    pub(super) fn install() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Separates the shutdown notice, SIGTERM or SIGINT, from SIGHUP.
    pub(super) fn split(self) -> (impl Future<Output = ()>, Signal) {
        let Signals { mut terminate, mut interrupt, hangup } = self;
        let shutdown = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        (shutdown, hangup)
    }
}

/// Waits for the shutdown notice and then drains the node. Returns once the process may end.
pub(super) async fn drain_on_notice(
    notice: impl Future<Output = ()>,
    exchange: &Exchange,
    stop_after: Duration,
    limiters: [&ConnectionLimiter; 2],
) {
    notice.await;
    let stop_at = clock::now() + stop_after;
    exchange.drain(stop_at).await;
    tokio::select! {
        () = exit_early(exchange, stop_at, limiters) => {}
        () = all_closed(exchange, limiters) => {}
    }
}

/// Waits until no more clients are accepted, all requests are answered and every connection is closed.
async fn all_closed(exchange: &Exchange, [jsonrpc, uwsgi]: [&ConnectionLimiter; 2]) {
    let mut status = exchange.status();
    let drained = status.wait_for(|status| !status.accepts_clients() && status.drained).await;
    drop(drained);
    tokio::join!(jsonrpc.all_closed(), uwsgi.all_closed());
}

/// Waits until shortly before the process is stopped, and then until every response is written: idle connections need
/// not end by themselves, but a response that is still to be written does not get lost.
async fn exit_early(exchange: &Exchange, stop_at: UnixTime, [jsonrpc, uwsgi]: [&ConnectionLimiter; 2]) {
    let mut status = exchange.status();
    clock::until(stop_at.saturating_sub(EXIT_MARGIN)).await;
    let drained = status.wait_for(|status| status.drained).await;
    drop(drained);
    tokio::join!(jsonrpc.all_flushed(), uwsgi.all_flushed());
}
