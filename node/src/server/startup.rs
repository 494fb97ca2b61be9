//! Opens the listeners and links of a node and starts its tasks.

use std::convert::Infallible;
use std::path::PathBuf;
use std::rc::Rc;

use oakwind_fleet::replica_node::Event;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use super::accept::{accept_until, bind, local_address, FrontendListener};
use super::capacity::{share_during_upgrade, ConnectionCapacity};
use super::reload::Reloader;
use super::shutdown::{drain_on_notice, Signals};
use super::StartupError;
use crate::admin::{self, AdminServer};
use crate::backend::index::Index;
use crate::backend::interpreter::Interpreter;
use crate::backend::uwsgi::{run_requests, Servers};
use crate::backend::{make_calls, uwsgi as uwsgi_backend};
use crate::class_registry::ClassRegistry;
use crate::config::{self, ConfigFiles, Configuration, NodeConfig, UpstreamAddresses, UwsgiConfig};
use crate::decision_log::{settings_digest, DecisionLog};
use crate::dispatcher::Dispatcher;
use crate::exchange::{
    self, BackendEndpoints, DispatcherEndpoints, Endpoints, Exchange, HandoverState, NodeStatus, StartMode,
};
use crate::frontend::connection_limiter::{ConnectionLimiter, ConnectionLimits};
use crate::frontend::uwsgi::{RequestIds, UwsgiFrontend};
use crate::frontend::{jsonrpc, uwsgi as uwsgi_frontend};
use crate::result_store::ResultStore;
use crate::run_gate::RunGate;
use crate::sockets::AddressUse;
use crate::{clock, handover, heartbeat, log, peers, vrrp};

/// Divides the memory limit of the process; the quotient is the memory for stored results.
const RESULT_MEMORY_DIVISOR: usize = 8;
/// Divides the memory limit of the process; the quotient is the memory for the buffers of each frontend's connections.
const BUFFER_MEMORY_DIVISOR: usize = 8;
/// Divides the connections of a backend; the quotient is the maximum number of idle ones that are kept for
/// later calls.
const IDLE_CONNECTION_DIVISOR: usize = 4;

/// The parts of a node that its tasks share.
struct Node {
    config: NodeConfig,
    uwsgi: Option<UwsgiConfig>,
    exchange: Exchange,
    registry: Rc<ClassRegistry>,
    /// The addresses of the backends and services in the latest configuration.
    upstream_addresses: watch::Receiver<UpstreamAddresses>,
    jsonrpc_limiter: Rc<ConnectionLimiter>,
    uwsgi_limiter: Rc<ConnectionLimiter>,
    /// Maximum number of connections to each backend.
    backend_connections: usize,
    /// The path of the socket through which a successor takes over; none if upgrades in place are not
    /// possible.
    handover_socket: Option<PathBuf>,
    /// Whether this process takes over from a predecessor.
    is_upgrade: bool,
}

/// The result store at the start of a process.
#[derive(Default)]
struct StartingStore {
    /// The store; none if it is not configured.
    store: Option<ResultStore>,
    /// The state that was recovered from the store; none if there is no store, or the predecessor still has
    /// it open.
    recovered: Option<HandoverState>,
}

/// Runs a node until it has drained.
pub(super) async fn run(files: &ConfigFiles, loaded: Configuration) -> Result<(), StartupError> {
    // The handlers are installed first, as a signal without a handler ends the process.
    let Signals { shutdown, hangup } = Signals::install().map_err(StartupError::Signals)?;
    let handover_socket = handover::socket_path(loaded.node.listen);
    let is_upgrade = handover::has_predecessor(handover_socket.as_deref()).await;
    // A process that takes over inherits the recovery state of its predecessor and starts no recovery of its
    // own.
    let recovering = loaded.fleet.is_some() && !is_upgrade;
    let mode = StartMode { awaiting_state: is_upgrade, recovering };
    let Endpoints { exchange, dispatcher, backend } = exchange::new(mode);
    let capacity = ConnectionCapacity::new(&loaded);
    let Configuration { node: config, uwsgi, result_store, fleet, decision_log } = loaded;
    let (address_publisher, upstream_addresses) = watch::channel(config.upstreams.clone());
    let node = Node {
        registry: Rc::new(ClassRegistry::new(config.settings.clone())),
        jsonrpc_limiter: limiter(capacity.jsonrpc, &config),
        uwsgi_limiter: limiter(capacity.uwsgi, &config),
        config,
        uwsgi,
        exchange,
        upstream_addresses,
        backend_connections: capacity.per_backend,
        handover_socket,
        is_upgrade,
    };
    node.start_admin()?;
    let active = node.start_vrrp().await?;
    node.start_backends(backend);
    let fleet_events = node.start_dispatcher(dispatcher, result_store, fleet, decision_log)?;
    let limiters = [&*node.jsonrpc_limiter, &*node.uwsgi_limiter];
    let reloader = Reloader {
        files,
        hangup,
        exchange: &node.exchange,
        registry: &node.registry,
        initial: &node.config,
        applied: None,
        upstream_addresses: address_publisher,
        fleet_events,
    };
    tokio::select! {
        () = drain_on_notice(shutdown, &node.exchange, node.config.stop_timeout, limiters) => {}
        () = reloader.run() => {}
        () = share_during_upgrade(&node.exchange, limiters) => {}
        failed = node.serve_clients(active) => return failed.map(|never| match never {}),
    }
    log!("server: drained: node={}", node.config.name);
    Ok(())
}

impl Node {
    /// Opens the admin interface, if it is configured. It has connections of its own, so that it responds
    /// under any load.
    fn start_admin(&self) -> Result<(), StartupError> {
        let Some(address) = self.config.ops else { return Ok(()) };
        let listener = bind("ops", address, AddressUse::Exclusive)?;
        log!("admin: listening: address={}", local_address(&listener));
        let server =
            Rc::new(AdminServer { exchange: self.exchange.clone(), registry: self.registry.clone() });
        let limiter = ConnectionLimiter::new(admin::CONNECTION_LIMITS);
        let serve = move |stream, guard| admin::serve(stream, guard, server.clone());
        spawn_local(accept_until(std::future::pending(), listener, limiter, serve));
        Ok(())
    }

    /// Starts the virtual router, if one is configured. The returned receiver holds true while this
    /// node has the active role.
    async fn start_vrrp(&self) -> Result<Option<watch::Receiver<bool>>, StartupError> {
        let Some(vrrp) = self.uwsgi.as_ref().and_then(|uwsgi| uwsgi.vrrp.as_ref()) else { return Ok(None) };
        let socket = vrrp::bind(vrrp).await.map_err(|source| StartupError::Bind {
            key: "vrrp.listen",
            address: vrrp.listen,
            source,
        })?;
        let (publisher, active) = watch::channel(false);
        spawn_local(vrrp::run(vrrp.clone(), socket, publisher, self.exchange.clone()));
        Ok(Some(active))
    }

    /// Starts the client of the backend that runs requests, the interpreter or uwsgi servers, and the client
    /// of the backend that answers their calls, the index or uwsgi servers.
    fn start_backends(&self, endpoints: BackendEndpoints) {
        let addresses = &self.upstream_addresses;
        let exchange = &self.exchange;
        let connections = self.backend_connections;
        let initial = addresses.borrow().clone();
        if initial.uwsgi_run_servers.is_empty() {
            let interpreter =
                Interpreter::new(addresses.clone(), exchange.clone(), endpoints.runs, self.registry.clone());
            spawn_local(interpreter.run());
        } else {
            let servers = self.uwsgi_servers(|addresses| &addresses.uwsgi_run_servers);
            spawn_local(run_requests(servers, exchange.clone(), endpoints.runs, connections));
        }
        if initial.uwsgi_call_servers.is_empty() {
            let max_idle = connections / IDLE_CONNECTION_DIVISOR;
            let index = Index::new(addresses.clone(), max_idle);
            spawn_local(make_calls(index, exchange.clone(), endpoints.calls, connections - max_idle));
        } else {
            let servers = self.uwsgi_servers(|addresses| &addresses.uwsgi_call_servers);
            spawn_local(make_calls(servers, exchange.clone(), endpoints.calls, connections));
        }
    }

    fn uwsgi_servers(&self, select: uwsgi_backend::SelectAddresses) -> Rc<Servers> {
        Servers::new(self.upstream_addresses.clone(), select, self.registry.clone())
    }

    /// Starts the dispatcher, together with the result store, the fleet and the decision log if they are
    /// configured. Returns the channel for events of the fleet.
    fn start_dispatcher(
        &self,
        endpoints: DispatcherEndpoints,
        result_store: Option<config::ResultStoreConfig>,
        fleet: Option<config::FleetConfig>,
        decision_log: Option<config::DecisionLogConfig>,
    ) -> Result<Option<mpsc::Sender<Event>>, StartupError> {
        let config = &self.config;
        let result_memory = config.max_memory_bytes / RESULT_MEMORY_DIVISOR;
        let mut dispatcher = Dispatcher::new(endpoints, config.settings.clone(), config.seed, result_memory);
        let StartingStore { store, recovered } = self.open_result_store(result_store)?;
        let mut peers = None;
        let mut fleet_events = None;
        if let Some(fleet) = fleet {
            let (handle, driver) = peers::new(fleet, config.seed, self.is_upgrade, self.exchange.clone())
                .map_err(StartupError::Peers)?;
            fleet_events = Some(handle.event_sender());
            peers = Some(handle);
            spawn_local(driver.run());
        }
        dispatcher.set_run_gate(RunGate::new(store, peers), recovered);
        if let Some(log_config) = decision_log {
            let settings_digest = settings_digest(&config.json["settings"]);
            let log = DecisionLog::start(&log_config, &config.name, settings_digest)
                .map_err(StartupError::DecisionLog)?;
            dispatcher.set_decision_log(log);
        }
        spawn_local(dispatcher.run());
        Ok(fleet_events)
    }

    /// Opens the result store, if one is configured, and recovers its state. In an upgrade in place the
    /// predecessor has the store open until the handover, so it is not opened yet.
    fn open_result_store(
        &self,
        store_config: Option<config::ResultStoreConfig>,
    ) -> Result<StartingStore, StartupError> {
        let Some(store_config) = store_config else { return Ok(StartingStore::default()) };
        let mut store = ResultStore::closed(store_config, self.config.settings.max_idempotency_window());
        if self.is_upgrade {
            return Ok(StartingStore { store: Some(store), recovered: None });
        }
        let recovered = store.open().map_err(StartupError::ResultStore)?;
        let recovered = HandoverState {
            digest_seed: recovered.seed,
            records: recovered.keys,
            ..HandoverState::default()
        };
        Ok(StartingStore { store: Some(store), recovered: Some(recovered) })
    }

    /// Opens the frontends, reports to the membership service, and takes part in upgrades in place. Returns
    /// only if a frontend can't be opened.
    async fn serve_clients(
        &self,
        vrrp_active: Option<watch::Receiver<bool>>,
    ) -> Result<Infallible, StartupError> {
        let (listening, is_listening) = watch::channel(false);
        if let Some(socket) = &self.handover_socket {
            let exchange = self.exchange.clone();
            spawn_local(take_part_in_upgrades(socket.clone(), exchange, is_listening, self.is_upgrade));
        }
        if self.is_upgrade {
            self.wait_until_servable().await;
        }
        self.open_jsonrpc_frontend()?;
        if let Some(uwsgi) = &self.uwsgi {
            self.open_uwsgi_frontend(uwsgi, vrrp_active)?;
        }
        let name = self.config.name.clone();
        spawn_local(heartbeat::report(name, self.upstream_addresses.clone(), self.exchange.clone()));
        listening.send_replace(true);
        if self.is_upgrade && self.exchange.status().wait_for(|status| !status.awaiting_state).await.is_ok() {
            log!("handover: completed");
        }
        std::future::pending().await
    }

    /// Waits until the backend is up. The predecessor serves until then, and a process that receives the
    /// shutdown notice before that, or has handed over itself, does not take over.
    async fn wait_until_servable(&self) {
        let is_servable =
            |status: &NodeStatus| status.health.is_some() && status.draining.is_none() && !status.handed_over;
        if self.exchange.status().wait_for(is_servable).await.is_ok() {
            log!("handover: taking over");
        }
    }

    fn open_jsonrpc_frontend(&self) -> Result<(), StartupError> {
        let listener = bind("listen", self.config.listen, self.address_use())?;
        let frontend = FrontendListener {
            protocol: "JSON-RPC",
            address: self.config.listen,
            address_use: self.address_use(),
            active: always_active(),
        };
        let exchange = self.exchange.clone();
        let registry = self.registry.clone();
        let serve = move |stream, guard| jsonrpc::serve(stream, guard, exchange.clone(), registry.clone());
        let limiter = self.jsonrpc_limiter.clone();
        spawn_local(frontend.run(Some(listener), self.exchange.clone(), limiter, serve));
        Ok(())
    }

    /// Opens the uwsgi frontend. With a virtual router, it is open only while this node has the active role.
    fn open_uwsgi_frontend(
        &self,
        uwsgi: &UwsgiConfig,
        vrrp_active: Option<watch::Receiver<bool>>,
    ) -> Result<(), StartupError> {
        // Without a virtual router the listener is open from the start, and startup fails if it can't be
        // opened.
        let listener = match vrrp_active {
            Some(_) => None,
            None => Some(bind("uwsgi listen", uwsgi.listen, self.address_use())?),
        };
        let frontend = FrontendListener {
            protocol: "uwsgi",
            address: uwsgi.listen,
            address_use: self.address_use(),
            active: vrrp_active.unwrap_or_else(always_active),
        };
        let context = Rc::new(UwsgiFrontend {
            exchange: self.exchange.clone(),
            registry: self.registry.clone(),
            ids: RequestIds::new(self.config.seed ^ u64::from(clock::now().subsec_nanos())),
        });
        let serve = move |stream, guard| uwsgi_frontend::serve(stream, guard, context.clone());
        let limiter = self.uwsgi_limiter.clone();
        spawn_local(frontend.run(listener, self.exchange.clone(), limiter, serve));
        Ok(())
    }

    /// Whether a successor may listen at the same addresses while this process serves.
    fn address_use(&self) -> AddressUse {
        if self.handover_socket.is_some() {
            AddressUse::Shared
        } else {
            AddressUse::Exclusive
        }
    }
}

/// Takes over from the predecessor, if there is one, and then waits for successors. A process that has the keys
/// waits for a successor even if it can't serve yet.
async fn take_part_in_upgrades(
    socket: PathBuf,
    exchange: Exchange,
    mut listening: watch::Receiver<bool>,
    is_upgrade: bool,
) {
    if is_upgrade {
        spawn_local(handover::take_over(socket.clone(), exchange.clone(), listening));
        let mut status = exchange.status();
        // An error can't occur in practice: the status is published for as long as the process lasts.
        let _ = status.wait_for(|status| !status.awaiting_state).await;
    } else if listening.wait_for(|listening| *listening).await.is_err() {
        return;
    }
    handover::serve_successors(&socket, exchange).await;
}

/// A limiter of this many connections of a frontend, whose buffers have their part of the memory.
fn limiter(connections: usize, config: &NodeConfig) -> Rc<ConnectionLimiter> {
    let buffer_bytes = config.max_memory_bytes / BUFFER_MEMORY_DIVISOR;
    ConnectionLimiter::new(ConnectionLimits { connections, buffer_bytes })
}

/// The role of a node without a virtual router: always active.
fn always_active() -> watch::Receiver<bool> {
    watch::channel(true).1
}
