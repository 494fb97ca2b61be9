//! Stand-ins of the second review, with the standard library alone: front ends and uwsgi clients, the interpreter, the
//! membership service, and what starts and ends the nodes under test.

pub mod bench;
pub mod client;
pub mod config;
pub mod interpreter;
pub mod node;
pub mod ops;
pub mod record;
pub mod uwsgi;
pub mod verdict;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time of the system's Unix clock, in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Waits for this many milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Addresses that were given out, so that none is given out twice.
static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// A loopback address of this process's own, with a port that is free now. Another case that runs beside this one
/// takes its ports from another loopback address.
pub fn free_address() -> SocketAddr {
    let pid = std::process::id();
    let part = |divisor: u32| (pid / divisor % 250 + 1) as u8;
    let host = Ipv4Addr::new(127, part(1), part(250), part(62_500));
    loop {
        let bound = TcpListener::bind((host, 0)).or_else(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)));
        let listener = bound.expect("a free port on loopback");
        let address = listener.local_addr().expect("the address of a listener");
        if GIVEN.lock().expect("addresses").insert(address) {
            return address;
        }
    }
}

/// Waits until a condition holds; false if it does not within `ms` milliseconds.
pub fn wait_until(ms: u64, mut condition: impl FnMut() -> bool) -> bool {
    let end = unix_ms() + ms;
    loop {
        if condition() {
            return true;
        }
        if unix_ms() >= end {
            return false;
        }
        sleep_ms(2);
    }
}

/// Whether the disruption of the case is played; not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
