//! Heartbeats to the membership service, from which clients learn the address of this node.
//!
//! A heartbeat is a UDP datagram `HB NAME UP`. The last one is `HB NAME OUT`, with which the service removes
//! the node at once.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::clock;
use crate::config::UpstreamAddresses;
use crate::exchange::{Exchange, NodeStatus};
use crate::log;

/// Interval between heartbeats. The service removes a node after 3 s without one, which is ten intervals, so
/// that several heartbeats in a row may be lost.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// What this process reports to the membership service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Liveness {
    /// The node serves clients.
    Up,
    /// The node is draining and must be removed.
    Out,
    /// No report for now: a successor reports under the same name, or the node's recovery does not permit
    /// clients yet.
    Paused,
}

impl Liveness {
    fn of(status: &NodeStatus) -> Self {
        if status.handed_over || (status.recovering && status.draining.is_none()) {
            Liveness::Paused
        } else if status.draining.is_some() {
            Liveness::Out
        } else {
            Liveness::Up
        }
    }
}

/// Sends heartbeats until the shutdown notice, and then the last one. Returns if no membership service
/// is configured.
pub(crate) async fn report(
    name: String,
    mut addresses: watch::Receiver<UpstreamAddresses>,
    exchange: Exchange,
) {
    let mut status = exchange.status();
    let mut socket = None;
    loop {
        let Some(service) = addresses.borrow_and_update().membership_service else { return };
        let liveness = Liveness::of(&status.borrow_and_update());
        let word = match liveness {
            Liveness::Up => "UP",
            Liveness::Out => "OUT",
            Liveness::Paused => {
                if status.wait_for(|status| Liveness::of(status) != Liveness::Paused).await.is_err() {
                    return;
                }
                continue;
            }
        };
        if let Err(error) = send(&mut socket, service, &format!("HB {name} {word}")).await {
            log!("heartbeat: not sent: service={service} error={error}");
        }
        if liveness == Liveness::Out {
            return;
        }
        let next = clock::now() + HEARTBEAT_INTERVAL;
        tokio::select! {
            () = clock::until(next) => {}
            // After a change of the service's address, the new address receives a heartbeat at once.
            Ok(()) = addresses.changed() => {}
            _ = status.wait_for(|status| status.draining.is_some() || status.handed_over) => {}
        }
    }
}

/// Sends a datagram. Reuses the socket unless there is none yet or its IP version differs from the service's.
async fn send(socket: &mut Option<UdpSocket>, service: SocketAddr, datagram: &str) -> io::Result<()> {
    let reaches_service =
        |socket: &UdpSocket| socket.local_addr().is_ok_and(|local| local.is_ipv4() == service.is_ipv4());
    let usable = match socket.take().filter(reaches_service) {
        Some(usable) => usable,
        None if service.is_ipv4() => UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?,
        None => UdpSocket::bind((Ipv6Addr::UNSPECIFIED, 0)).await?,
    };
    socket.insert(usable).send_to(datagram.as_bytes(), service).await.map(|_| ())
}

#[cfg(test)]
mod tests;
