//! Claims: the votes of a key's replicas that a node collects before it runs a request, so that the key runs
//! at most once in the fleet.

pub mod coordinator;
