//! The replicated state of idempotency keys: the state of each key, voting on claims, and the merge of the
//! states of two replicas.

pub mod key_state;
pub mod replica_table;
