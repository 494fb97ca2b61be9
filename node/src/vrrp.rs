//! VRRP version 3 (RFC 9568) for IPv4, carried over UDP to configured peers.

mod machine;
mod packet;

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::clock;
use crate::config::VrrpConfig;
use crate::exchange::Exchange;
use crate::log;
use machine::{Event, Output, Parameters, Role, Router};
use packet::Advertisement;

/// A datagram longer than any advertisement is read as cut off, and so dropped.
const MAX_DATAGRAM: usize = 2048;

/// Binds the socket that advertisements come in on.
pub async fn bind(config: &VrrpConfig) -> io::Result<UdpSocket> {
    UdpSocket::bind(config.listen).await
}

/// Plays the virtual router until the notice to leave; `active` follows whether it has the role.
pub async fn run(config: VrrpConfig, socket: UdpSocket, active: watch::Sender<bool>, exchange: Exchange) {
    let local = match config.listen.ip() {
        IpAddr::V4(address) => address,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    };
    let parameters = Parameters {
        vrid: config.vrid,
        priority: config.priority,
        interval: config.interval,
        preempt: config.preempt,
        addresses: config.addresses.clone(),
        local,
    };
    let mut router = Router::new(parameters);
    let mut state = exchange.status();
    let mut buffer = [0; MAX_DATAGRAM];
    let mut event = Some(Event::Startup);
    loop {
        if let Some(event) = event.take() {
            let before = router.role();
            for Output::Send(advertisement) in router.handle(clock::now(), event) {
                send(&socket, &config.peers, &advertisement).await;
            }
            if router.role() != before {
                log!("vrrp {}: {:?}", config.vrid, router.role());
            }
            active.send_if_modified(|active| {
                std::mem::replace(active, router.role() == Role::Active) != *active
            });
        }
        if router.role() == Role::Initialize {
            return;
        }
        let wake = router.wakes_at().unwrap_or(clock::now() + config.interval);
        event = tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((n, from)) => heard(&config, &buffer[..n], from),
                // An earlier datagram's refusal comes back here where a peer is down.
                Err(_) => None,
            },
            () = clock::until(wake) => Some(Event::Tick),
            _ = state.wait_for(|state| state.draining.is_some()) => Some(Event::Shutdown),
        };
    }
}

/// What a datagram says, if it is an advertisement of this virtual router from one of its peers.
fn heard(config: &VrrpConfig, datagram: &[u8], from: SocketAddr) -> Option<Event> {
    if !config.peers.iter().any(|peer| peer.ip() == from.ip()) {
        log!("vrrp {}: dropped what {from} sent, which is no peer", config.vrid);
        return None;
    }
    let IpAddr::V4(sender) = from.ip() else { return None };
    match Advertisement::parse(datagram) {
        Ok(advertisement) if advertisement.vrid != config.vrid => {
            log!("vrrp {}: dropped an advertisement of router {}", config.vrid, advertisement.vrid);
            None
        }
        Ok(advertisement) => {
            if advertisement.addresses != config.addresses {
                log!("vrrp {}: {from} stands for other addresses than this router", config.vrid);
            }
            Some(Event::Advertised { from: sender, advertisement })
        }
        Err(problem) => {
            log!("vrrp {}: dropped what {from} sent: {problem}", config.vrid);
            None
        }
    }
}

async fn send(socket: &UdpSocket, peers: &[SocketAddr], advertisement: &Advertisement) {
    let bytes = advertisement.bytes();
    for peer in peers {
        if let Err(e) = socket.send_to(&bytes, peer).await {
            log!("vrrp {}: not sent to {peer}: {e}", advertisement.vrid);
        }
    }
}
