//! Loopback addresses that no other process of the harness or of the tests uses at the same time.
//!
//! Ports that a program is to listen on have to be known before it starts, and a free port of a shared address can be
//! taken by another process meanwhile. Therefore each process claims a block of 127.0.0.0/8 for itself: it holds a
//! socket at the block's lock address, so that the system keeps two processes apart and frees the block however the
//! process ends.

use std::io;
use std::net::{Ipv4Addr, UdpSocket};
use std::ops::RangeInclusive;
use std::sync::OnceLock;

/// The second octets of the blocks: far from the addresses near 127.0.0.1 that programs use by default.
const BLOCKS: RangeInclusive<u8> = 100..=249;
/// The third and fourth octet of a block's lock address, which no caller is given.
const LOCK_HOST: [u8; 2] = [255, 254];
/// The port of the lock: below the ports that the system hands out by itself.
const LOCK_PORT: u16 = 4109;

/// The networks of a block that callers may use are numbered below this.
pub const MAX_NETWORKS: u32 = 250;

/// A block of loopback addresses that belongs to this process until it is dropped.
#[derive(Debug)]
pub struct LoopbackBlock {
    second_octet: u8,
    _lock: UdpSocket,
}

impl LoopbackBlock {
    /// Claims a block that no other process holds.
    ///
    /// # Errors
    ///
    /// If all blocks are held, or sockets can't be opened.
    pub fn claim() -> io::Result<LoopbackBlock> {
        for second_octet in BLOCKS {
            let [third_octet, fourth_octet] = LOCK_HOST;
            let host = Ipv4Addr::new(127, second_octet, third_octet, fourth_octet);
            match UdpSocket::bind((host, LOCK_PORT)) {
                Ok(lock) => return Ok(LoopbackBlock { second_octet, _lock: lock }),
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "all blocks of loopback addresses are held"))
    }

    /// An address of the block. What belongs together, such as the nodes of one play, has one `network`, which is below
    /// [`MAX_NETWORKS`].
    pub fn address(&self, network: u8, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second_octet, network, host)
    }
}

/// The block of this process, which is claimed at the first call.
///
/// # Errors
///
/// As [`LoopbackBlock::claim`].
pub fn process_block() -> io::Result<&'static LoopbackBlock> {
    static BLOCK: OnceLock<LoopbackBlock> = OnceLock::new();
    if let Some(block) = BLOCK.get() {
        return Ok(block);
    }
    let claimed = LoopbackBlock::claim()?;
    Ok(BLOCK.get_or_init(|| claimed))
}

#[cfg(test)]
mod tests;
