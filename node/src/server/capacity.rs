//! Shares the file descriptors of the process out, so that no frontend can use up what the other frontend and the
//! backends need.

use crate::admin;
use crate::config::Configuration;
use crate::exchange::Exchange;
use crate::frontend::connection_limiter::ConnectionLimiter;

/// Descriptors for what is neither a client's nor a backend's connection: listeners, signals and the runtime's own.
const RESERVED_DESCRIPTORS: usize = 24;
/// Connections that are shared out even where `limits.sockets` leaves fewer.
const MIN_CONNECTIONS: usize = 8;

/// With a uwsgi frontend, JSON-RPC clients get half of the connections, uwsgi clients a quarter and each backend an eighth.
const JSONRPC_DIVISOR: usize = 2;
const UWSGI_DIVISOR: usize = 4;
const BACKEND_DIVISOR: usize = 8;
/// Without one, JSON-RPC clients get two of three shares and each backend one.
const SHARES_WITHOUT_UWSGI: usize = 3;

/// How many connections each side of the node may have at a time.
#[derive(Debug)]
pub(super) struct ConnectionCapacity {
    /// From JSON-RPC clients.
    pub(super) jsonrpc: usize,
    /// From uwsgi clients.
    pub(super) uwsgi: usize,
    /// To each of the two backends.
    pub(super) per_backend: usize,
}

impl ConnectionCapacity {
    /// The shares that a configuration leaves.
    pub(super) fn new(loaded: &Configuration) -> Self {
        let peers = loaded.fleet.as_ref().map_or(0, |fleet| fleet.max_links);
        let admin = if loaded.node.ops.is_some() { admin::MAX_CONNECTIONS } else { 0 };
        let reserved = RESERVED_DESCRIPTORS + peers + admin;
        let connections = loaded.node.max_descriptors.saturating_sub(reserved).max(MIN_CONNECTIONS);
        if loaded.uwsgi.is_some() {
            ConnectionCapacity {
                jsonrpc: connections / JSONRPC_DIVISOR,
                uwsgi: connections / UWSGI_DIVISOR,
                per_backend: connections / BACKEND_DIVISOR,
            }
        } else {
            ConnectionCapacity {
                jsonrpc: 2 * connections / SHARES_WITHOUT_UWSGI,
                uwsgi: 0,
                per_backend: connections / SHARES_WITHOUT_UWSGI,
            }
        }
    }
}

/// During an upgrade in place, leaves half of the frontends' connections to the other process. Never returns.
pub(super) async fn share_during_upgrade(exchange: &Exchange, limiters: [&ConnectionLimiter; 2]) {
    let mut status = exchange.status();
    loop {
        let shared = status.borrow_and_update().shares_node();
        for limiter in limiters {
            limiter.set_shared(shared);
        }
        if status.wait_for(|status| status.shares_node() != shared).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
