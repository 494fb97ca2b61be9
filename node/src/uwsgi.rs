//! The uwsgi packet: a head of four bytes (a modifier, the size of the variables in little-endian, another
//! modifier), then the variables, each a name and a value with their lengths before them. A body may follow.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Bytes of the head.
pub const HEAD_BYTES: usize = 4;

/// The head's fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// 0 for a request.
    pub modifier1: u8,
    /// Bytes of variables that follow.
    pub size: usize,
    /// Depends on the first.
    pub modifier2: u8,
}

impl Head {
    /// Reads a head, once it is there.
    pub fn parse(bytes: &[u8]) -> Option<Head> {
        let [modifier1, low, high, modifier2] = *bytes.first_chunk::<HEAD_BYTES>()?;
        Some(Head { modifier1, size: usize::from(u16::from_le_bytes([low, high])), modifier2 })
    }
}

/// The variables of a packet, slices of what was read.
#[derive(Debug, Default, PartialEq)]
pub struct Vars(Vec<(Bytes, Bytes)>);

impl Vars {
    /// Reads the variables of a packet, or nothing if their lengths do not add up.
    pub fn parse(mut block: Bytes) -> Option<Vars> {
        let mut vars = Vec::new();
        while !block.is_empty() {
            let name = take_part(&mut block)?;
            vars.push((name, take_part(&mut block)?));
        }
        Some(Vars(vars))
    }

    /// The value of a variable. Of several with one name the last counts.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.0.iter().rev().find(|(n, _)| n == name.as_bytes()).map(|(_, value)| value)
    }

    /// The value of a variable as text, unless it is absent or empty.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().filter(|text| !text.is_empty())
    }
}

fn take_part(block: &mut Bytes) -> Option<Bytes> {
    if block.remaining() < 2 {
        return None;
    }
    let length = usize::from(block.get_u16_le());
    (block.remaining() >= length).then(|| block.split_to(length))
}

/// Writes a request packet with these variables, or nothing if they are too long for one.
pub fn packet(vars: &[(&str, &[u8])]) -> Option<BytesMut> {
    let mut block = BytesMut::new();
    block.put_slice(&[0; HEAD_BYTES]);
    for (name, value) in vars {
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
