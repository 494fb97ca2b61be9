//! Regression tests of the admission module, one small case for each fault that was found or foreseen: one answer
//! within the deadline, no effect twice, a safe drain and no overload collapse.

mod calls;
mod common;
mod connections;
mod idempotency;
mod lifecycle;
mod permitted_rate;
mod random;
mod scheduling;
mod slow_start;
