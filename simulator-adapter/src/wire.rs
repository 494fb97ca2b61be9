//! The simulator's wire protocol: little-endian frames of packed records.

mod codes;
mod decode;
mod encode;

pub(crate) use decode::{decode, read_frame, Record};
pub(crate) use encode::Reply;

#[cfg(test)]
mod tests;
