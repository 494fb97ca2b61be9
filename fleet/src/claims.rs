//! Claims on idempotency keys. Before a node runs a request, it collects votes for its claim from the key's
//! replicas, so that a key runs at most once in the fleet.

pub mod coordinator;
