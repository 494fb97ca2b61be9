//! Reports to the membership service, through which front ends find this node.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::clock;
use crate::exchange::Exchange;
use crate::log;

/// Between two reports; the service drops who is silent for three of these.
const EVERY: Duration = Duration::from_secs(1);

/// Reports until the notice to leave, with a last word then, so that the list drops the node soon.
pub async fn report(name: String, service: SocketAddr, exchange: Exchange) {
    let local: SocketAddr = match service {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = match UdpSocket::bind(local).await {
        Ok(socket) => socket,
        Err(e) => return log!("membership: no socket: {e}"),
    };
    let mut state = exchange.state();
    loop {
        let leaving = state.borrow_and_update().draining.is_some();
        let word = if leaving { "OUT" } else { "UP" };
        if let Err(e) = socket.send_to(format!("HB {name} {word}").as_bytes(), service).await {
            log!("membership: not reported: {e}");
        }
        if leaving {
            return;
        }
        let next = clock::now() + EVERY;
        loop {
            tokio::select! {
                () = clock::until(next) => break,
                changed = state.changed() => {
                    if changed.is_err() || state.borrow_and_update().draining.is_some() {
                        break;
                    }
                }
            }
        }
    }
}
