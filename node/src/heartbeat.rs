//! Reports to the membership service, through which front ends find this node.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::clock;
use crate::config::UpstreamAddresses;
use crate::exchange::Exchange;
use crate::log;

/// Between two reports. The service drops who is silent for 3 s: guards against reports that get lost, of which
/// it takes ten in a row.
const EVERY: Duration = Duration::from_millis(300);

/// Reports until the notice to leave, with a last word then, so that the list drops the node soon.
pub async fn report(name: String, mut links: watch::Receiver<UpstreamAddresses>, exchange: Exchange) {
    let mut state = exchange.status();
    let mut socket = None;
    loop {
        let Some(service) = links.borrow_and_update().membership_service else { return };
        let (leaving, handed, held) = {
            let state = state.borrow_and_update();
            (state.draining.is_some(), state.handed_over, state.recovering)
        };
        if handed {
            // The new process reports under the same name.
            if state.wait_for(|state| !state.handed_over).await.is_err() {
                return;
            }
            continue;
        }
        if held && !leaving {
            // Front ends find it once it is far enough on its way back.
            if state.wait_for(|state| !state.recovering || state.draining.is_some()).await.is_err() {
                return;
            }
            continue;
        }
        let word = if leaving { "OUT" } else { "UP" };
        if let Err(e) = send(&mut socket, service, &format!("HB {name} {word}")).await {
            log!("membership: not reported: {e}");
        }
        if leaving {
            return;
        }
        let next = clock::now() + EVERY;
        tokio::select! {
            () = clock::until(next) => {}
            // The service at a new address hears at once.
            Ok(()) = links.changed() => {}
            _ = state.wait_for(|state| state.draining.is_some() || state.handed_over) => {}
        }
    }
}

/// Sends one report, from a socket that is made when there is none of the kind yet.
async fn send(socket: &mut Option<UdpSocket>, service: SocketAddr, report: &str) -> io::Result<()> {
    let fits = |s: &UdpSocket| s.local_addr().is_ok_and(|local| local.is_ipv4() == service.is_ipv4());
    let ready = match socket.take().filter(fits) {
        Some(ready) => ready,
        None if service.is_ipv4() => UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?,
        None => UdpSocket::bind((Ipv6Addr::UNSPECIFIED, 0)).await?,
    };
    socket.insert(ready).send_to(report.as_bytes(), service).await.map(|_| ())
}
