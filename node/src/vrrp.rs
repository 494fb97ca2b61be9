//! VRRP version 3 (RFC 9568) for IPv4, carried over UDP to configured peers. The uwsgi listener is open only
//! while this node has the active role.

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

/// Size of the receive buffer, which is larger than any advertisement. A longer datagram is truncated by the
/// system and then dropped as malformed.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Binds the socket on which advertisements are sent and received.
///
/// # Errors
///
/// If the configured address cannot be bound.
pub(crate) async fn bind(config: &VrrpConfig) -> io::Result<UdpSocket> {
    UdpSocket::bind(config.listen).await
}

/// Runs the virtual router until the shutdown notice. `active` is true while this node has the active role.
pub(crate) async fn run(
    config: VrrpConfig,
    socket: UdpSocket,
    active: watch::Sender<bool>,
    exchange: Exchange,
) {
    let mut router = Router::new(parameters(&config));
    let mut status = exchange.status();
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut event = Some(Event::Startup);
    loop {
        if let Some(event) = event.take() {
            let previous = router.role();
            for Output::Send(advertisement) in router.handle(clock::now(), event) {
                send(&socket, &config.peers, &advertisement).await;
            }
            if router.role() != previous {
                log!("vrrp: role changed: vrid={} role={:?}", config.vrid, router.role());
            }
            active.send_if_modified(|active| {
                std::mem::replace(active, router.role() == Role::Active) != *active
            });
        }
        if router.role() == Role::Initialize {
            return;
        }
        let timer = router.timer_expires_at().unwrap_or(clock::now() + config.interval);
        event = tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => decode_event(&config, &buffer[..length], from),
                // While a peer is down, the system reports the rejection of an earlier advertisement here.
                Err(_) => None,
            },
            () = clock::until(timer) => Some(Event::Tick),
            _ = status.wait_for(|status| status.draining.is_some()) => Some(Event::Shutdown),
        };
    }
}

/// Converts the configuration to the parameters of the state machine.
fn parameters(config: &VrrpConfig) -> Parameters {
    let local = match config.listen.ip() {
        IpAddr::V4(address) => address,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    };
    Parameters {
        vrid: config.vrid,
        priority: config.priority,
        interval: config.interval,
        preempt: config.preempt,
        addresses: config.addresses.clone(),
        local,
    }
}

/// Decodes a datagram to an event; none if it is not a valid advertisement of this virtual router from one of
/// the configured peers.
fn decode_event(config: &VrrpConfig, datagram: &[u8], from: SocketAddr) -> Option<Event> {
    if !config.peers.iter().any(|peer| peer.ip() == from.ip()) {
        log!("vrrp: datagram dropped, not from a peer: vrid={} from={from}", config.vrid);
        return None;
    }
    let IpAddr::V4(sender) = from.ip() else { return None };
    match Advertisement::decode(datagram) {
        Ok(advertisement) if advertisement.vrid != config.vrid => {
            log!(
                "vrrp: datagram dropped, for another virtual router: vrid={} from={from} received_vrid={}",
                config.vrid,
                advertisement.vrid
            );
            None
        }
        Ok(advertisement) => {
            if advertisement.addresses != config.addresses {
                log!(
                    "vrrp: advertised addresses differ from the configured ones: vrid={} from={from}",
                    config.vrid
                );
            }
            Some(Event::Advertised { from: sender, advertisement })
        }
        Err(error) => {
            log!("vrrp: datagram dropped, malformed: vrid={} from={from} error={error}", config.vrid);
            None
        }
    }
}

async fn send(socket: &UdpSocket, peers: &[SocketAddr], advertisement: &Advertisement) {
    let bytes = advertisement.encode();
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log!("vrrp: advertisement not sent: vrid={} peer={peer} error={error}", advertisement.vrid);
        }
    }
}
