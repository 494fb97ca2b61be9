//! The replicated state: what a replica knows of each key, how it votes on claims, and how the states of two
//! replicas are merged.

pub mod key_state;
pub mod replica_table;
