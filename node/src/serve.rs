//! Puts a node together and runs it until it has drained.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use swiftwinch::Effect;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Semaphore;
use tokio::task::LocalSet;

use crate::backends::{index::Index, interpreter::Interpreter};
use crate::clock;
use crate::config::{Config, Uwsgi};
use crate::core::Core;
use crate::exchange::{self, Exchange};
use crate::fronts::jsonrpc;
use crate::{log, membership};

/// Descriptors kept for what is no client's connection: listeners, links, signals and the runtime's own.
const RESERVED: usize = 24;
/// The process ends by itself this long before it would be stopped.
const MARGIN: Duration = Duration::from_millis(100);

/// Serves until the notice to leave, then drains.
pub fn serve(config: Config, uwsgi: Option<Uwsgi>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    runtime.block_on(LocalSet::new().run_until(run(config, uwsgi)))
}

async fn run(config: Config, _uwsgi: Option<Uwsgi>) -> Result<(), String> {
    let (exchange, core, backends) = exchange::new();
    let listener = bind(config.listen).await?;
    let names = Rc::new(jsonrpc::Names {
        classes: config.settings.classes.clone(),
        keyed: config.settings.settings.classes.iter().map(|c| c.effect == Effect::Keyed).collect(),
        tenants: config.settings.tenants.clone(),
    });
    if let Some(vm) = config.vm {
        let classes = config.settings.classes.clone();
        tokio::task::spawn_local(Interpreter::new(vm, exchange.clone(), backends.runs, classes).run());
    }
    tokio::task::spawn_local(Index::new(config.index, exchange.clone(), backends.calls).run());
    if let Some(members) = config.members {
        tokio::task::spawn_local(membership::report(config.name.clone(), members, exchange.clone()));
    }
    tokio::task::spawn_local(Core::new(core, config.settings, config.seed).run());
    // Half the descriptors are a front's at most, so that a crowd of connections leaves room for the rest.
    let connections = config.sockets.saturating_sub(RESERVED).max(1);
    let room = Arc::new(Semaphore::new(connections));
    let front = {
        let exchange = exchange.clone();
        accept(listener, exchange.clone(), room.clone(), move |stream| {
            jsonrpc::serve(stream, exchange.clone(), names.clone())
        })
    };
    tokio::task::spawn_local(front);
    log!("{} serves JSON-RPC at {}", config.name, config.listen);
    notice().await.map_err(|e| format!("no signals: {e}"))?;
    let stop = clock::now() + config.stop;
    exchange.drain(stop).await;
    drained(&exchange, stop, room.acquire_many(connections as u32)).await;
    log!("{} has drained", config.name);
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("listen: {address}: {e}"))
}

/// Waits for the notice to leave.
async fn notice() -> io::Result<()> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Waits until nothing more comes in, all that was read is answered and every connection is closed, or the
/// time is up.
async fn drained(exchange: &Exchange, stop: clock::Unix, closed: impl Future) {
    let mut state = exchange.state();
    let over = async {
        let answered = state.wait_for(|state| !state.open && state.unanswered == 0).await;
        drop(answered);
        closed.await;
    };
    tokio::select! {
        () = clock::until(stop.saturating_sub(MARGIN)) => {}
        () = over => {}
    }
}

/// Accepts connections while requests are read, no more at a time than there is room for.
pub async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    exchange: Exchange,
    room: Arc<Semaphore>,
    serve: impl Fn(TcpStream) -> F,
) {
    let mut state = exchange.state();
    let start = |stream, room| {
        let served = serve(stream);
        tokio::task::spawn_local(async move {
            served.await;
            drop(room);
        });
    };
    loop {
        let accepted = async {
            let room = room.clone().acquire_owned().await.map_err(io::Error::other)?;
            Ok::<_, io::Error>((listener.accept().await?.0, room))
        };
        let accepted = tokio::select! {
            accepted = accepted => accepted,
            _ = state.wait_for(|state| !state.open) => break,
        };
        match accepted {
            Ok((stream, room)) => start(stream, room),
            Err(e) => {
                // Guards the core against spinning while the system has no descriptors left.
                log!("a connection was not accepted: {e}");
                clock::until(clock::now() + Duration::from_millis(20)).await;
            }
        }
    }
    // Guards requests on connections that the system took before the listener closes: they are still read.
    while let Ok(room) = room.clone().try_acquire_owned() {
        let Some(Ok((stream, _))) = listener.accept().now_or_never() else { return };
        start(stream, room);
    }
}
