//! Accepts connections, and opens and closes the listeners of the frontends as the node's role changes.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::StartupError;
use crate::exchange::Exchange;
use crate::frontend;
use crate::frontend::connection_limiter::{ConnectionGuard, ConnectionLimiter};
use crate::sockets::{self, AddressUse};
use crate::{clock, log};

/// Delay between attempts to open a listener.
const REBIND_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed accept, which prevents a busy loop while no file descriptors are left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Opens a listener. `key` is the configuration key that an error names.
pub(super) fn bind(
    key: &'static str,
    address: SocketAddr,
    address_use: AddressUse,
) -> Result<TcpListener, StartupError> {
    sockets::listen(address, address_use).map_err(|source| StartupError::Bind { key, address, source })
}

/// The address of a listener, with the port that the system chose for port 0.
pub(super) fn local_address(listener: &TcpListener) -> String {
    listener.local_addr().map_or_else(|error| error.to_string(), |address| address.to_string())
}

/// The listener of a frontend. It is open while this process accepts clients.
pub(super) struct FrontendListener {
    /// The protocol, as the log names it.
    pub(super) protocol: &'static str,
    /// The address to listen at.
    pub(super) address: SocketAddr,
    /// Whether a successor may listen at the same address.
    pub(super) address_use: AddressUse,
    /// Whether this node has the active role of its virtual router; always true without a virtual router.
    pub(super) active: watch::Receiver<bool>,
}

impl FrontendListener {
    /// Accepts and serves connections whenever this node is active and no successor has taken over.
    /// Connections that were accepted before the listener closes are served to their end. `opened` is the
    /// listener to use first, if it is already open.
    pub(super) async fn run<F: Future<Output = ()> + 'static>(
        mut self,
        mut opened: Option<TcpListener>,
        exchange: Exchange,
        limiter: Rc<ConnectionLimiter>,
        serve: impl Fn(TcpStream, ConnectionGuard) -> F,
    ) {
        let protocol = self.protocol;
        while self.wait_until_active(&exchange).await {
            let listener = match opened.take() {
                Some(listener) => Ok(listener),
                None => bind(protocol, self.address, self.address_use),
            };
            let listener = match listener {
                Ok(listener) => listener,
                Err(error) => {
                    log!("frontend: listener not opened: protocol={protocol} error={error}");
                    // The previously active router may hold the address for a moment.
                    clock::until(clock::now() + REBIND_INTERVAL).await;
                    continue;
                }
            };
            log!("frontend: listening: protocol={protocol} address={}", local_address(&listener));
            let closing = self.wait_until_inactive(&exchange);
            accept_until(closing, listener, limiter.clone(), &serve).await;
            log!("frontend: stopped listening: protocol={protocol} address={}", self.address);
        }
    }

    /// Waits until clients are to be accepted here. Returns false once that can no longer happen.
    async fn wait_until_active(&mut self, exchange: &Exchange) -> bool {
        let mut status = exchange.status();
        loop {
            // An error can't occur in practice: the status is published for as long as the process lasts.
            let accepting = status
                .wait_for(|status| !status.handed_over || !status.accepting)
                .await
                .is_ok_and(|status| status.accepting);
            if !accepting {
                return false;
            }
            tokio::select! {
                _ = status.wait_for(|status| !status.accepts_clients()) => {}
                active = self.active.wait_for(|active| *active) => return active.is_ok(),
            }
        }
    }

    /// Waits until clients are no longer to be accepted here.
    async fn wait_until_inactive(&mut self, exchange: &Exchange) {
        let mut status = exchange.status();
        tokio::select! {
            _ = status.wait_for(|status| !status.accepts_clients()) => {}
            // An error means that there is no virtual router that could lose the role.
            Ok(_) = self.active.wait_for(|active| !*active) => {}
        }
    }
}

/// Accepts connections until `closing` completes, and serves each in a task of its own. Connections that the
/// system had queued by then are served too. A connection is rejected if no slot is free and all others are
/// busy.
pub(super) async fn accept_until<F: Future<Output = ()> + 'static>(
    closing: impl Future<Output = ()>,
    listener: TcpListener,
    limiter: Rc<ConnectionLimiter>,
    serve: impl Fn(TcpStream, ConnectionGuard) -> F,
) {
    tokio::pin!(closing);
    let start = |stream| {
        if let Some(guard) = limiter.admit() {
            spawn_local(serve(stream, guard));
        } else {
            log!("frontend: connection rejected, all connections are busy");
            spawn_local(frontend::reject(stream));
        }
    };
    loop {
        let accepted = tokio::select! {
            accepted = sockets::accept(&listener) => accepted,
            () = &mut closing => break,
        };
        match accepted {
            Ok(stream) => {
                start(stream);
                // Lets a connection that was evicted for this one close first, so that the file descriptors
                // suffice.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log!("frontend: accept failed: error={error}");
                clock::until(clock::now() + ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
    // Only closing the listener would reset the connections that the system has queued, and their requests.
    sockets::close(listener).into_iter().for_each(start);
}
