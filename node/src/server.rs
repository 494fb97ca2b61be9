//! Puts a node together and runs it until it has drained.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oakwind_fleet::replica_node::Event;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};

use crate::admin::{self, AdminServer};
use crate::backend::call;
use crate::backend::index::Index;
use crate::backend::interpreter::Interpreter;
use crate::backend::uwsgi::{self as client, Servers};
use crate::class_registry::ClassRegistry;
use crate::config::{ConfigFiles, Configuration, NodeConfig, UpstreamAddresses};
use crate::decision_log::{settings_digest, DecisionLog};
use crate::dispatcher::Dispatcher;
use crate::exchange::{self, Endpoints, Exchange, HandoverState};
use crate::frontend::connection_limiter::{ConnectionGuard, ConnectionLimiter};
use crate::frontend::uwsgi::{self, Front, Ids};
use crate::frontend::{self, jsonrpc};
use crate::result_store::ResultStore;
use crate::run_gate::RunGate;
use crate::{clock, handover, heartbeat, log, peers, sockets, vrrp};

/// Between two attempts to open a listener.
const REBIND: Duration = Duration::from_millis(100);
/// Descriptors kept for what is no client's connection: listeners, links, signals and the runtime's own.
const RESERVED: usize = 24;
/// Kept results take one part in so many of the memory of the process.
const RESULTS: usize = 8;
/// The process ends by itself this long before it would be stopped.
const MARGIN: Duration = Duration::from_millis(100);

/// Serves until the notice to leave, then drains.
pub fn serve(files: &ConfigFiles) -> Result<(), String> {
    let told = files.load_for_startup().map_err(|e| e.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    runtime.block_on(LocalSet::new().run_until(run(files, told)))
}

async fn run(files: &ConfigFiles, told: Configuration) -> Result<(), String> {
    let Configuration { node: config, uwsgi, result_store: remembered, fleet, decision_log: records } = told;
    // Comes first: a signal that nobody hears yet would end the process.
    let (notice, hangup) = signals().map_err(|e| format!("no signals: {e}"))?;
    let place = handover::socket_path(config.listen);
    let upgrade = handover::has_predecessor(place.as_deref()).await;
    // One that takes over is where the process before it was.
    let Endpoints { exchange, dispatcher: dispatcher_endpoints, backend: backends } =
        exchange::new(upgrade, fleet.is_some() && !upgrade);
    let (changed, links) = watch::channel(config.upstreams.clone());
    // With a folder that a next process finds it by, both may listen at once.
    let shared = place.is_some();
    let names = Rc::new(ClassRegistry::new(config.settings.clone()));
    if let Some(ops) = config.ops {
        let listener = bind("ops", ops, false)?;
        log!("operators call at {}", address(&listener));
        let office = Rc::new(AdminServer { exchange: exchange.clone(), names: names.clone() });
        let answer = move |stream, guest| admin::serve(stream, guest, office.clone());
        spawn_local(accept(listener, std::future::pending(), ConnectionLimiter::new(admin::ROOM), answer));
    }
    let linked = fleet.as_ref().map_or(0, |fleet| fleet.max_links);
    let own = RESERVED + linked + if config.ops.is_some() { admin::ROOM } else { 0 };
    let Room { platform, second, backends: each } =
        Room::new(config.max_descriptors.saturating_sub(own), uwsgi.is_some());
    let (platform, second) = (ConnectionLimiter::new(platform), ConnectionLimiter::new(second));
    let (told, active) = watch::channel(false);
    if let Some(vrrp) = uwsgi.as_ref().and_then(|uwsgi| uwsgi.vrrp.as_ref()) {
        let socket = vrrp::bind(vrrp).await.map_err(|e| format!("vrrp.listen: {}: {e}", vrrp.listen))?;
        spawn_local(vrrp::run(vrrp.clone(), socket, told, exchange.clone()));
    }
    let begun = links.borrow().clone();
    if begun.uwsgi_run_servers.is_empty() {
        let names = names.clone();
        spawn_local(Interpreter::new(links.clone(), exchange.clone(), backends.runs, names).run());
    } else {
        let servers = Servers::new(links.clone(), |upstreams| &upstreams.uwsgi_run_servers, names.clone());
        spawn_local(client::run(servers, exchange.clone(), backends.runs, each));
    }
    if begun.uwsgi_call_servers.is_empty() {
        let idle = each / 4;
        let index = Index::new(links.clone(), idle);
        spawn_local(call(index, exchange.clone(), backends.calls, each - idle));
    } else {
        let servers = Servers::new(links.clone(), |upstreams| &upstreams.uwsgi_call_servers, names.clone());
        spawn_local(call(servers, exchange.clone(), backends.calls, each));
    }
    let mut dispatcher = Dispatcher::new(
        dispatcher_endpoints,
        config.settings.clone(),
        config.seed,
        config.max_memory_bytes / RESULTS,
    );
    let (mut folder, mut left) = (None, None);
    if let Some(remembered) = remembered {
        let mut remembrance = ResultStore::closed(remembered, config.max_idempotency_window());
        // The process before has the folder until it has handed over.
        if !upgrade {
            let recovered = remembrance.open().map_err(|e| format!("remembered file, {e}"))?;
            left = Some(HandoverState { digest_seed: recovered.seed, records: recovered.keys });
        }
        folder = Some(remembrance);
    }
    let (mut peers, mut lists) = (None, None);
    if let Some(fleet) = fleet {
        let (asked, driver) =
            peers::new(fleet, config.seed, upgrade, exchange.clone()).map_err(|e| e.to_string())?;
        lists = Some(asked.event_sender());
        peers = Some(asked);
        spawn_local(driver.run());
    }
    dispatcher.set_run_gate(RunGate::new(folder, peers), left);
    if let Some(records) = records {
        dispatcher.set_decision_log(DecisionLog::start(
            &records,
            &config.name,
            settings_digest(&config.json["settings"]),
        )?);
    }
    spawn_local(dispatcher.run());
    let front = {
        let (exchange, names) = (exchange.clone(), names.clone());
        move |stream, guest| jsonrpc::serve(stream, guest, exchange.clone(), names.clone())
    };
    let second_names = names.clone();
    let second_front = uwsgi.as_ref().map(|uwsgi| {
        let ids = Ids::new(config.seed ^ u64::from(clock::now().subsec_nanos()));
        let front = Rc::new(Front { exchange: exchange.clone(), names: second_names, ids });
        let serve = move |stream, guest| uwsgi::serve(stream, guest, front.clone());
        (uwsgi.listen, uwsgi.vrrp.is_some(), serve)
    });
    let serving = async {
        if upgrade {
            // Nothing comes here before it can be served. One that is to leave before that takes nothing over.
            let mut state = exchange.status();
            let up = state.wait_for(|state| state.health.is_some() && state.draining.is_none()).await.is_ok();
            if up {
                log!("handover: takes over");
            }
        }
        let listener = bind("listen", config.listen, shared)?;
        let always = watch::channel(true).1;
        let listening = Listening { what: "JSON-RPC", listen: config.listen, shared, active: always.clone() };
        spawn_local(listening.keep(Some(listener), exchange.clone(), platform.clone(), front));
        if let Some((listen, routed, serve)) = second_front {
            // A front that can't open is found out now.
            let first = if routed { None } else { Some(bind("uwsgi listen", listen, shared)?) };
            let active = if routed { active } else { always };
            let listening = Listening { what: "uwsgi", listen, shared, active };
            spawn_local(listening.keep(first, exchange.clone(), second.clone(), serve));
        }
        spawn_local(heartbeat::report(config.name.clone(), links, exchange.clone()));
        if let Some(place) = &place {
            if upgrade {
                spawn_local(handover::take_over(place.clone(), exchange.clone()));
                if exchange.status().wait_for(|state| !state.awaiting_state).await.is_ok() {
                    log!("handover: has taken over");
                }
            }
            handover::serve_successors(place, exchange.clone()).await;
        }
        std::future::pending::<Result<Infallible, String>>().await
    };
    let draining = async {
        notice.await;
        let stop = clock::now() + config.stop_timeout;
        exchange.drain(stop).await;
        let closed = async { tokio::join!(platform.all_gone(), second.all_gone()) };
        let paid = async { tokio::join!(platform.all_paid(), second.all_paid()) };
        drained(&exchange, stop, closed, paid).await;
    };
    tokio::select! {
        () = draining => {}
        () = reloads(files, hangup, &config, changed, &names, &exchange, lists) => {}
        () = share(&exchange, [&platform, &second]) => {}
        failed = serving => return failed.map(|never| match never {}),
    }
    log!("{} has drained", config.name);
    Ok(())
}

/// How the descriptors are shared out, so that neither front can use up what the other and the backends need.
struct Room {
    /// Connections of front ends.
    platform: usize,
    /// Connections of uwsgi clients.
    second: usize,
    /// Connections of each of the backends.
    backends: usize,
}

impl Room {
    fn new(connections: usize, uwsgi: bool) -> Self {
        let connections = connections.max(8);
        if uwsgi {
            Room { platform: connections / 2, second: connections / 4, backends: connections / 8 }
        } else {
            // Front ends open half of all descriptors at the most.
            Room { platform: connections * 2 / 3, second: 0, backends: connections / 3 }
        }
    }
}

/// Leaves half of the fronts' room to the other process, while there is one.
async fn share(exchange: &Exchange, fronts: [&ConnectionLimiter; 2]) {
    let mut state = exchange.status();
    loop {
        let shares = state.borrow_and_update().shares_node();
        fronts.iter().for_each(|guests| guests.share(shares));
        if state.wait_for(|state| state.shares_node() != shares).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Reads the files again at each hang-up. A bad file changes nothing; of a good one the links and the settings
/// are taken over.
async fn reloads(
    files: &ConfigFiles,
    mut hangup: Signal,
    begun: &NodeConfig,
    links: watch::Sender<UpstreamAddresses>,
    names: &ClassRegistry,
    exchange: &Exchange,
    lists: Option<mpsc::Sender<Event>>,
) {
    let mut newest = None;
    let mut state = exchange.status();
    let mut succeeds = state.borrow().predecessor_alive;
    loop {
        let told = tokio::select! {
            heard = hangup.recv() => match heard {
                Some(()) => true,
                None => std::future::pending().await,
            },
            // Guards against a hang-up that only the process before heard: the files are looked at again.
            _ = state.wait_for(|state| !state.predecessor_alive), if succeeds => {
                succeeds = false;
                false
            }
        };
        let before = newest.as_ref().unwrap_or(begun);
        let taken =
            files.load().map_err(|e| e.to_string()).and_then(|Configuration { node: new, fleet, .. }| {
                if let Some(key) = new.upstreams.first_incompatible_key(&before.upstreams) {
                    return Err(format!(
                        "{key}: what does this job, or that anything does, changes with a restart only"
                    ));
                }
                if let Some(key) = new.first_missing_key(before) {
                    return Err(format!("{key}: missing, the configuration before had it"));
                }
                let settings =
                    names.settings().followed_by(new.settings.clone()).map_err(|e| e.to_string())?;
                Ok((new, settings, fleet))
            });
        if told {
            exchange.metrics().configuration_reloaded(taken.is_ok());
        }
        let (new, settings, fleet) = match taken {
            Ok(taken) => taken,
            Err(e) => {
                log!("not reloaded: {e}");
                continue;
            }
        };
        let moved =
            links.send_if_modified(|links| std::mem::replace(links, new.upstreams.clone()) != new.upstreams);
        let retuned = settings != names.settings();
        if retuned {
            // The decisions know a class before any front does.
            let digest = settings_digest(&new.json["settings"]);
            exchange.reconfigure(settings.clone(), digest).await;
            names.replace_settings(settings, clock::now());
        }
        newest = Some(new);
        // Whether it is taken is decided where the lists are, by its number.
        if let (Some(lists), Some(fleet)) = (&lists, fleet) {
            if lists.try_send(Event::ConfigProposed(fleet.membership)).is_err() {
                log!("not reloaded: no room to tell of another list");
            }
        }
        if !told && !moved && !retuned {
            continue;
        }
        let links = if moved { "links go to new addresses" } else { "the links are the same" };
        log!(
            "reloaded: {links}, {}",
            if retuned { "other settings hold" } else { "and so are the settings" }
        );
    }
}

/// Opens a listener; the error names the key.
fn bind(key: &str, address: SocketAddr, shared: bool) -> Result<TcpListener, String> {
    sockets::listen(address, shared).map_err(|e| format!("{key}: {address}: {e}"))
}

/// Where a listener listens, with the port that the system chose for 0.
fn address(listener: &TcpListener) -> String {
    listener.local_addr().map_or_else(|e| e.to_string(), |address| address.to_string())
}

/// A listener that is open while clients are taken.
struct Listening {
    /// What is served there.
    what: &'static str,
    listen: SocketAddr,
    shared: bool,
    /// Whether this node has the role of its virtual router, if there is one.
    active: watch::Receiver<bool>,
}

impl Listening {
    /// Serves whenever this node is active and no new process has taken over. What was read by then is still
    /// answered.
    async fn keep<F: Future<Output = ()> + 'static>(
        mut self,
        mut first: Option<TcpListener>,
        exchange: Exchange,
        guests: Rc<ConnectionLimiter>,
        serve: impl Fn(TcpStream, ConnectionGuard) -> F,
    ) {
        let mut state = exchange.status();
        let what = self.what;
        loop {
            // The state lasts as long as the process.
            if state
                .wait_for(|state| !state.handed_over || !state.accepting)
                .await
                .map_or(true, |state| !state.accepting)
            {
                return;
            }
            tokio::select! {
                _ = state.wait_for(|state| !state.accepts_clients()) => continue,
                became = self.active.wait_for(|active| *active) => if became.is_err() { return },
            }
            let listener = match first.take() {
                Some(listener) => Ok(listener),
                None => bind(what, self.listen, self.shared),
            };
            let Ok(listener) = listener.inspect_err(|e| log!("{e}")) else {
                // Who was active before may hold the address for a moment.
                clock::until(clock::now() + REBIND).await;
                continue;
            };
            log!("{what} is served at {}", address(&listener));
            let until = async {
                tokio::select! {
                    _ = state.wait_for(|state| !state.accepts_clients()) => {}
                    // An error means that there is no virtual router to lose the role.
                    Ok(_) = self.active.wait_for(|active| !*active) => {}
                }
            };
            accept(listener, until, guests.clone(), &serve).await;
            log!("{what} is no longer served at {}", self.listen);
        }
    }
}

/// From now on hears the notice to leave, which the first ends at, and the notices to reload.
fn signals() -> io::Result<(impl Future<Output = ()>, Signal)> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let notice = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    Ok((notice, signal(SignalKind::hangup())?))
}

/// Waits until nothing more comes in, all that was read is answered and every connection is closed; or until the time is
/// up and every client has its answers. Guards those against an end of its own accord that comes before the stop.
async fn drained(exchange: &Exchange, stop: clock::Unix, closed: impl Future, paid: impl Future) {
    let (mut over, mut late) = (exchange.status(), exchange.status());
    let over = async {
        let answered = over.wait_for(|state| !state.accepts_clients() && state.drained).await;
        drop(answered);
        closed.await;
    };
    let late = async {
        clock::until(stop.saturating_sub(MARGIN)).await;
        let answered = late.wait_for(|state| state.drained).await;
        drop(answered);
        paid.await;
    };
    tokio::select! {
        () = late => {}
        () = over => {}
    }
}

/// Accepts connections until then; one for which no other makes room is closed at once.
async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    until: impl Future<Output = ()>,
    guests: Rc<ConnectionLimiter>,
    serve: impl Fn(TcpStream, ConnectionGuard) -> F,
) {
    tokio::pin!(until);
    let start = |stream| match guests.seat() {
        Some(guest) => drop(spawn_local(serve(stream, guest))),
        None => {
            log!("a connection was closed at once: every other one is busy");
            spawn_local(frontend::turn_away(stream));
        }
    };
    loop {
        let accepted = tokio::select! {
            accepted = sockets::accept(&listener) => accepted,
            () = &mut until => break,
        };
        match accepted {
            Ok(stream) => {
                start(stream);
                // Who was asked to leave does so first: guards the number of descriptors.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                // Guards the core against spinning while the system has no descriptors left.
                log!("a connection was not accepted: {e}");
                clock::until(clock::now() + Duration::from_millis(20)).await;
            }
        }
    }
    // Guards requests on connections that the system took before the listener closes: they are still read.
    sockets::close(listener).into_iter().for_each(start);
}
