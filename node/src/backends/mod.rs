//! The client side: what runs requests and what takes their calls.

pub mod index;
pub mod interpreter;
mod lines;
pub mod uwsgi;
