//! The server side: what clients speak to.

pub mod jsonrpc;
