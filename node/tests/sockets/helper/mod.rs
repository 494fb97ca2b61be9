//! Starts the program as a process and stands in for its clients, backends and services. Every wait is for an
//! event; the time limit only makes a test fail that would otherwise hang.

mod node;
mod peer;
mod random;
mod store_folder;
mod upgrade_fixture;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU8, Ordering};
use std::time::Duration;

pub(crate) use oakwind_fault_harness::wire::DRAINING;
use oakwind_fault_harness::{loopback, wire};

pub(crate) use node::Node;
pub(crate) use peer::{Peer, Server};
pub(crate) use random::Random;
pub(crate) use store_folder::StoreFolder;
pub(crate) use upgrade_fixture::{UpgradeFixture, BANNER};

pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// An address on which nothing listens: port 1 is never assigned to a test that binds port 0.
pub(crate) const UNREACHABLE: &str = "127.0.0.1:1";

/// Settings with two classes whose runs make calls. Their times are too long to have an effect in a test that
/// does not change them.
const SETTINGS: &str = r#"{"services": [
    {"name": "quote", "slo": 60000000, "deadline": 120000000, "effect": "repeatable"},
    {"name": "book", "slo": 60000000, "deadline": 120000000, "effect": "by_key", "window": 120000000,
     "worth": 2.0, "lateWorth": 0.2}],
  "specifics": {"cores": 2, "memoryKb": 100000.0, "runFactor": 8.0, "entryKb": 1.0, "dependsOn": "tier",
     "classCalls": [true, true], "classSkipWorth": [0.5, 0.0], "idle": 30000000, "passesDeadline": true,
     "preemption": "pause", "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]},
  "safety": {"drainGrace": 200000, "fallMultiple": 8.0},
  "limits": {"maxRetryAfter": 1000000, "retryAfter": true},
  "tenants": [{"name": "acme", "quotaPerS": 100.0}], "servers": 1, "tick": 4000}"#;

pub(crate) fn now_ms() -> u64 {
    oakwind_fault_harness::clock::unix_now().as_millis() as u64
}

/// Writes a file for one test to cargo's temporary folder and returns its path.
pub(crate) fn file(name: &str, text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// The text of a configuration with the further keys `links`, each followed by a comma.
pub(crate) fn config(links: &str) -> String {
    format!(
        r#"{{"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f", "stop_ms": 30000, {links} "settings": {SETTINGS}}}"#
    )
}

pub(crate) fn oakwind(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakwind"));
    command.args(arguments).env_remove("BALANCER_CONFIG").env_remove("TMPDIR").stdin(Stdio::null());
    command
}

pub(crate) fn output(arguments: &[&str]) -> Output {
    oakwind(arguments).output().unwrap()
}

/// The JSON-RPC line of a request of any class.
pub(crate) fn request(id: u32, txn: &str, class: &str, key: Option<&str>, limit_ms: u32) -> String {
    let request = wire::Request {
        id: id.into(),
        txn,
        class,
        received_at: now_ms(),
        frontend: 1,
        tenant: "acme",
        time_limit_ms: limit_ms.into(),
        cost_hint_ms: 1.5,
        memory_kb: 24.5,
        idempotency_key: key,
        content: "Ym9keQ==",
    };
    request.to_string()
}

/// Changes the text of a configuration so that the grace period of a drain lasts this many microseconds.
pub(crate) fn with_drain_grace(us: u64) -> impl Fn(String) -> String {
    move |text| text.replace("\"drainGrace\": 200000", &format!("\"drainGrace\": {us}"))
}

/// The text of a uwsgi file that configures only the frontend.
pub(crate) const UWSGI: &str = "listen = '127.0.0.1:0'\n";

/// Makes a call to the admin interface on a connection of its own and returns the complete response.
pub(crate) fn admin_call(ops: SocketAddr, call: &str) -> String {
    let mut peer = Peer::connect(ops);
    peer.send(format!("{call} HTTP/1.1\r\nHost: node\r\n\r\n"));
    peer.read_to_end()
}

/// The bytes of a complete uwsgi request.
pub(crate) fn packet(vars: &[(&str, &str)], body: &str) -> Vec<u8> {
    let length = body.len().to_string();
    let mut block = Vec::new();
    for (name, value) in vars.iter().chain([&("CONTENT_LENGTH", &length[..])]) {
        for part in [name, value] {
            block.extend((part.len() as u16).to_le_bytes());
            block.extend(part.as_bytes());
        }
    }
    let [low, high] = (block.len() as u16).to_le_bytes();
    [&[0, low, high, 0], &block[..], body.as_bytes()].concat()
}

/// A loopback address that only the caller uses: neither another test of this process nor a second run of the tests on the
/// same machine gets it. A port that is free there stays free.
pub(crate) fn unique_host() -> Ipv4Addr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    assert_ne!(host, u8::MAX, "all host addresses of this process are in use");
    loopback::process_block().unwrap().address(0, host)
}

pub(crate) fn bind_udp(address: &str) -> UdpSocket {
    let socket = UdpSocket::bind(address).unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    socket
}

/// Receives the next datagram.
pub(crate) fn next_datagram(socket: &UdpSocket) -> Vec<u8> {
    let mut bytes = [0; 2048];
    let length = uninterrupted(|| socket.recv(&mut bytes)).unwrap();
    bytes[..length].to_vec()
}

/// Repeats a read that fails with `Interrupted`, as reads with a time limit do when the machine is suspended.
fn uninterrupted<T>(mut read: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match read() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

pub(crate) const LONG_LIMIT_MS: u32 = 100_000;
