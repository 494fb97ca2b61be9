//! Loopback addresses that no other process of the harness or of the tests uses concurrently.
//!
//! The port that a program will listen on has to be known before the program starts. On a shared address,
//! another process could take a free port in the meantime. Therefore each process claims a block of
//! 127.0.0.0/8 for itself by binding a socket to the block's lock address. The operating system refuses a
//! second bind, and releases the block however the process ends.

use std::io;
use std::net::{Ipv4Addr, UdpSocket};
use std::ops::RangeInclusive;
use std::sync::OnceLock;

/// The second octets of the blocks. They do not include the addresses near 127.0.0.1, which programs use by
/// default.
const BLOCKS: RangeInclusive<u8> = 100..=249;
/// The third and fourth octet of a block's lock address, which is above [`MAX_NETWORKS`] and so never given
/// to a caller.
const LOCK_HOST: [u8; 2] = [255, 254];
/// The port of the lock socket, below the range of ephemeral ports.
const LOCK_PORT: u16 = 4109;

/// Upper bound, exclusive, of the network numbers that callers may use within a block.
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
    /// If all blocks are claimed, or the lock socket cannot be opened.
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
        let message = "every block of loopback addresses is claimed by another process";
        Err(io::Error::new(io::ErrorKind::AddrInUse, message))
    }

    /// Returns an address of the block. Addresses that belong together, such as those of the nodes of one
    /// play, have the same `network`, which has to be below [`MAX_NETWORKS`].
    pub fn address(&self, network: u8, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second_octet, network, host)
    }
}

/// Returns the block of this process, which is claimed at the first call and held until the process ends.
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
