//! Divides the file descriptors of the process, so that no frontend can use up those that the other frontend
//! and the backends need.

use crate::admin;
use crate::config::Configuration;
use crate::exchange::Exchange;
use crate::frontend::connection_limiter::ConnectionLimiter;

/// Descriptors reserved for everything but connections to clients and backends: listeners, signals and the
/// runtime.
const RESERVED_DESCRIPTORS: usize = 24;
/// Minimum number of connections to divide, even if `limits.sockets` leaves fewer.
const MIN_CONNECTIONS: usize = 8;

/// Divisors of the connections with a uwsgi frontend: JSON-RPC clients get a half, uwsgi clients a quarter
/// and each backend an eighth.
const JSONRPC_DIVISOR: usize = 2;
const UWSGI_DIVISOR: usize = 4;
const BACKEND_DIVISOR: usize = 8;
/// Without a uwsgi frontend, JSON-RPC clients get two thirds of the connections and each backend one third.
const SHARES_WITHOUT_UWSGI: usize = 3;

/// Maximum number of simultaneous connections of each kind.
#[derive(Debug)]
pub(super) struct ConnectionCapacity {
    /// Connections from JSON-RPC clients.
    pub(super) jsonrpc: usize,
    /// Connections from uwsgi clients; 0 without a uwsgi frontend.
    pub(super) uwsgi: usize,
    /// Connections to each of the two backends.
    pub(super) per_backend: usize,
}

impl ConnectionCapacity {
    /// Divides the connections that remain within the limits of a configuration.
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
