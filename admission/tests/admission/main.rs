//! Regression tests of the admission module, with one small case for each known or anticipated fault. They
//! check its guarantees: one answer within the deadline, no effect twice, a safe drain and no overload
//! collapse.

mod calls;
mod common;
mod connections;
mod idempotency;
mod lifecycle;
mod permitted_rate;
mod random;
mod scheduling;
mod slow_start;
