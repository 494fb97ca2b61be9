//! Defaults of keys whose tables have required keys beside them; serde takes these by function.

use std::collections::BTreeMap;

/// Cores of an interpreter.
const CORES: u32 = 2;
/// The speed of a fresh interpreter, as a fraction.
const WARM_FROM: f64 = 0.25;
/// How long an interpreter warms up, in seconds.
const WARM_S: f64 = 8.0;
/// The concurrency for each core past which less is done in total.
const THRASH_AT: f64 = 1.4;
/// The fraction that is done at twice that concurrency.
const THRASH: f64 = 0.7;
/// Memory of an interpreter, in KB.
const MEMORY_KB: f64 = 24_000.0;
/// Memory of a running request, as a multiple of one held.
const RUN_FACTOR: f64 = 8.0;
/// Time of a program after SIGTERM, in milliseconds.
const STOP_MS: u64 = 6_000;
/// Descriptors of a program.
const SOCKETS: u64 = 512;
/// Memory of a program, in MB.
const MEMORY_MB: u64 = 64;
/// The coefficient of variation of work.
const VARIATION: f64 = 0.5;
/// The standard deviation of the logarithm of hints.
const HINT_ERROR: f64 = 0.25;
/// When a repeat is sent, in milliseconds after the first: between these.
const REPEAT_AFTER_MS: [f64; 2] = [200.0, 3000.0];
/// The work of a costly request, as a multiple.
const COSTLY_FACTOR: f64 = 8.0;
/// What is left of a speed or of slots during a fault.
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
