//! The services that a node connects to: its interpreter, the dependency and the registry. Each node reaches
//! them at its own addresses, through its own relays.

use std::cell::RefCell;
use std::io;
use std::net::Ipv4Addr;
use std::rc::Rc;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::Node;
use crate::history::Event;
use crate::model::registry::Registry;
use crate::relay::Direction;
use crate::settings::ServiceAddresses;
use crate::simulated::dependency::Dependency;

/// Maximum number of connections or datagrams queued for a service.
const SERVICE_QUEUE: usize = 64;

/// The sockets on which the services listen for one node.
struct ServiceListeners {
    interpreter: TcpListener,
    dependency: TcpListener,
    registry: UdpSocket,
}

impl ServiceListeners {
    async fn bind() -> io::Result<ServiceListeners> {
        let any_port = (Ipv4Addr::LOCALHOST, 0);
        Ok(ServiceListeners {
            interpreter: TcpListener::bind(any_port).await?,
            dependency: TcpListener::bind(any_port).await?,
            registry: UdpSocket::bind(any_port).await?,
        })
    }

    fn addresses(&self) -> io::Result<ServiceAddresses> {
        Ok(ServiceAddresses {
            interpreter: self.interpreter.local_addr()?,
            dependency: self.dependency.local_addr()?,
            registry: self.registry.local_addr()?,
        })
    }
}

impl Node {
    /// Runs the services that the node connects to until the end of the play.
    pub async fn serve_services(
        self: Rc<Self>,
        dependency: Option<Rc<Dependency>>,
        registry: Rc<RefCell<Registry>>,
    ) {
        let Ok(listeners) = ServiceListeners::bind().await else { return };
        let Ok(addresses) = listeners.addresses() else { return };
        self.service_addresses.set(Some(addresses));
        let (interpreter_sender, mut interpreter_links) = mpsc::channel(SERVICE_QUEUE);
        let (dependency_sender, mut dependency_links) = mpsc::channel(SERVICE_QUEUE);
        let (heartbeat_sender, mut heartbeats) = mpsc::channel(SERVICE_QUEUE);
        let heartbeat_socket = Rc::new(listeners.registry);
        spawn_local(self.relays.interpreter.clone().accept(listeners.interpreter, interpreter_sender));
        spawn_local(self.relays.dependency.clone().accept(listeners.dependency, dependency_sender));
        spawn_local(self.relays.registry.clone().datagrams(
            heartbeat_socket,
            Direction::From,
            heartbeat_sender,
        ));
        loop {
            tokio::select! {
                Some(link) = interpreter_links.recv() => {
                    spawn_local(self.interpreter.clone().serve(link));
                }
                Some(link) = dependency_links.recv() => {
                    if let Some(dependency) = &dependency {
                        spawn_local(dependency.clone().serve(self.index, self.interpreter.clone(), link));
                    }
                }
                Some(heartbeat) = heartbeats.recv() => self.on_heartbeat_datagram(&heartbeat, &registry),
                else => return,
            }
        }
    }

    /// Passes a heartbeat on to the registry. A datagram that is not a heartbeat of this node is recorded as
    /// corrupted.
    fn on_heartbeat_datagram(&self, heartbeat: &[u8], registry: &RefCell<Registry>) {
        let text = String::from_utf8_lossy(heartbeat);
        let words: Vec<&str> = text.split(' ').collect();
        let is_up = match words[..] {
            ["HB", name, "UP"] if name == self.name() => true,
            ["HB", name, "OUT"] if name == self.name() => false,
            _ => {
                let text =
                    format!("the registry got a datagram that is not a heartbeat of this node: {text}");
                return self.context.note(Event::Corrupted { node: self.index, text });
            }
        };
        registry.borrow_mut().on_heartbeat(self.context.now(), self.index, is_up);
    }
}
