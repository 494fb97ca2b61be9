//! Encodes and decodes uwsgi packets.
//!
//! A packet is a head of four bytes (a modifier, the size of the variables in little-endian order, another
//! modifier) and the variables. Each variable is a name and a value, each preceded by its length in two
//! bytes. A body may follow the packet.

use bytes::{BufMut, Bytes, BytesMut};

/// Length of the head, in bytes.
pub(crate) const HEAD_BYTES: usize = 4;
/// Length of the length that precedes a name or a value, in bytes.
const LENGTH_BYTES: usize = 2;

/// The fields of the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PacketHead {
    /// The kind of packet; 0 for a request.
    pub(crate) modifier1: u8,
    /// Length of the variables, in bytes.
    pub(crate) size: usize,
    /// A further modifier, whose meaning depends on `modifier1`.
    pub(crate) modifier2: u8,
}

impl PacketHead {
    /// Decodes a head; none while it is incomplete.
    pub(crate) fn parse(bytes: &[u8]) -> Option<PacketHead> {
        let [modifier1, low, high, modifier2] = *bytes.first_chunk::<HEAD_BYTES>()?;
        Some(PacketHead { modifier1, size: usize::from(u16::from_le_bytes([low, high])), modifier2 })
    }
}

/// The variables of a packet. Each look-up searches the block that was read: a table of very short variables would take
/// many times the memory of the block, on every connection of a client that sends such packets.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Variables(Bytes);

/// A variable that was decoded.
#[derive(Debug, Clone, Copy)]
struct ReceivedVariable<'a> {
    name: &'a [u8],
    value: &'a [u8],
}

/// A variable that is to be encoded.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Variable<'a> {
    name: &'a str,
    value: &'a [u8],
}

impl<'a> Variable<'a> {
    /// Creates a variable with a name and a value.
    pub(crate) fn new(name: &'a str, value: &'a [u8]) -> Self {
        Variable { name, value }
    }
}

impl Variables {
    /// Decodes the variables of a packet; none if their lengths do not add up to that of the block.
    pub(crate) fn parse(block: Bytes) -> Option<Variables> {
        let mut rest = &block[..];
        while !rest.is_empty() {
            split_off_variable(&mut rest)?;
        }
        Some(Variables(block))
    }

    /// The value of a variable; the last one if the name occurs more than once.
    pub(crate) fn get(&self, name: &str) -> Option<&[u8]> {
        let mut rest = &self.0[..];
        let variables = std::iter::from_fn(|| split_off_variable(&mut rest));
        variables.filter(|variable| variable.name == name.as_bytes()).last().map(|variable| variable.value)
    }

    /// The value of a variable as text; none if it is absent, empty or not UTF-8.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().filter(|text| !text.is_empty())
    }
}

/// Removes a variable from the front of the block; none if the block is cut off.
fn split_off_variable<'a>(block: &mut &'a [u8]) -> Option<ReceivedVariable<'a>> {
    let name = split_off_text(block)?;
    let value = split_off_text(block)?;
    Some(ReceivedVariable { name, value })
}

/// Removes a name or a value from the front of the block.
fn split_off_text<'a>(block: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (length, rest) = block.split_first_chunk::<LENGTH_BYTES>()?;
    let (text, rest) = rest.split_at_checked(usize::from(u16::from_le_bytes(*length)))?;
    *block = rest;
    Some(text)
}

/// Encodes a request packet with these variables; none if they are too long for one.
pub(crate) fn encode_packet(variables: &[Variable]) -> Option<BytesMut> {
    let mut block = BytesMut::new();
    block.put_slice(&[0; HEAD_BYTES]);
    for Variable { name, value } in variables {
        for part in [name.as_bytes(), value] {
            block.put_u16_le(u16::try_from(part.len()).ok()?);
            block.put_slice(part);
        }
    }
    let size = u16::try_from(block.len() - HEAD_BYTES).ok()?;
    block[1..3].copy_from_slice(&size.to_le_bytes());
    Some(block)
}

#[cfg(test)]
mod tests;
