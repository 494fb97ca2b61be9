use super::MemoryUse;
use crate::admission::requests::idempotency_keys::RetainedKeys;
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{at, queued, running, seconds, ServerState};
use crate::interface::{RequestId, Settings};

fn settings() -> Settings {
    Settings { memory_kb: 100.0, running_memory_factor: 3.0, key_memory_kb: 10.0, ..Settings::default() }
}

#[test]
fn memory_use_is_the_sum_of_queued_requests_runs_and_retained_keys() {
    let large = || Request { memory_kb: 20.0, ..queued() };
    let run = Request { memory_kb: 20.0, ..running() };
    let state = ServerState::with_requests(settings(), vec![large(), run]);
    let mut keys = RetainedKeys::default();
    keys.retain(RequestId(1), seconds(1.0), seconds(1.0), at(0.0));
    let memory = MemoryUse::of(&state.context(0.0), &keys);
    assert!(memory.fits(), "20 kB queued, 60 kB running and 10 kB of keys fit into the usable 90 kB");
    assert!(memory.with_additional(0.5).is_exceeded());
}
