//! Defaults of optional keys in tables that also have required keys. Serde needs a function for each; the
//! other tables implement `Default`.

use std::collections::BTreeMap;

/// Number of cores of an interpreter.
const CORES: u32 = 2;
/// Speed of a newly started interpreter, as a fraction of its full speed.
const WARM_FROM: f64 = 0.25;
/// Warm-up time of an interpreter, in seconds.
const WARM_S: f64 = 8.0;
/// Runnable tasks per core above which the total throughput falls.
const THRASH_AT: f64 = 1.4;
/// Efficiency of a core at twice the concurrency of `THRASH_AT`.
const THRASH: f64 = 0.7;
/// Memory of an interpreter, in KB.
const MEMORY_KB: f64 = 24_000.0;
/// Memory of a running request, as a multiple of that of a held one.
const RUN_FACTOR: f64 = 8.0;
/// Time between SIGTERM and SIGKILL, in milliseconds.
const STOP_MS: u64 = 6_000;
/// Maximum number of open descriptors of a program.
const SOCKETS: u64 = 512;
/// Maximum memory of a program, in MB.
const MEMORY_MB: u64 = 64;
/// Coefficient of variation of the work of a request, and of the duration of a call to the dependency.
const VARIATION: f64 = 0.5;
/// Standard deviation of the logarithm of hint over work.
const HINT_ERROR: f64 = 0.25;
/// Range of the delay of a repeat after the original, in milliseconds.
const REPEAT_AFTER_MS: [f64; 2] = [200.0, 3000.0];
/// Work of a costly request, as a multiple of the work drawn for it.
const COSTLY_FACTOR: f64 = 8.0;
/// Remaining fraction of the speed or of the slots during a fault.
const FAULT_FACTOR: f64 = 0.5;

pub(super) fn seed() -> u64 {
    1
}

pub(super) fn zones() -> Vec<String> {
    vec!["here".into()]
}

pub(super) fn cores() -> u32 {
    CORES
}

pub(super) fn speed() -> [f64; 2] {
    [1.0, 1.0]
}

pub(super) fn warm_from() -> f64 {
    WARM_FROM
}

pub(super) fn warm_s() -> f64 {
    WARM_S
}

pub(super) fn thrash_at() -> f64 {
    THRASH_AT
}

pub(super) fn thrash() -> f64 {
    THRASH
}

pub(super) fn memory_kb() -> f64 {
    MEMORY_KB
}

pub(super) fn run_factor() -> f64 {
    RUN_FACTOR
}

pub(super) fn stop_ms() -> u64 {
    STOP_MS
}

pub(super) fn sockets() -> u64 {
    SOCKETS
}

pub(super) fn memory_mb() -> u64 {
    MEMORY_MB
}

pub(super) fn variation() -> f64 {
    VARIATION
}

pub(super) fn weight() -> f64 {
    1.0
}

pub(super) fn tenants() -> BTreeMap<String, f64> {
    BTreeMap::from([("acme".into(), 1.0)])
}

pub(super) fn hint_error() -> f64 {
    HINT_ERROR
}

pub(super) fn repeat_after_ms() -> [f64; 2] {
    REPEAT_AFTER_MS
}

pub(super) fn rate_factor() -> f64 {
    1.0
}

pub(super) fn costly_factor() -> f64 {
    COSTLY_FACTOR
}

pub(super) fn waves() -> usize {
    1
}

pub(super) fn wave_interval_s() -> f64 {
    1.0
}

pub(super) fn fault_factor() -> f64 {
    FAULT_FACTOR
}
