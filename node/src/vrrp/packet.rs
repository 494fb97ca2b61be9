//! The advertisement, the only packet of VRRP version 3, for IPv4 (RFC 9568, section 5).

use std::net::Ipv4Addr;
use std::time::Duration;

use thiserror::Error;

/// The version of the protocol.
const VERSION: u8 = 3;
/// The packet type of an advertisement.
const ADVERTISEMENT_TYPE: u8 = 1;
/// The version and the packet type share the first byte.
const VERSION_SHIFT: u32 = 4;
const TYPE_MASK: u8 = 0xf;
const VERSION_AND_TYPE: u8 = VERSION << VERSION_SHIFT | ADVERTISEMENT_TYPE;
/// Bytes before the addresses.
const HEAD_BYTES: usize = 8;
/// Where the checksum stands in the head.
const CHECKSUM_RANGE: std::ops::Range<usize> = 6..8;
/// Bytes of an address.
const ADDRESS_BYTES: usize = 4;
/// The unit of intervals, in milliseconds.
const CENTISECOND_MS: u64 = 10;
/// The bits of the field that the interval takes.
const INTERVAL_MASK: u16 = 0xfff;

/// The lower 16 bits of a sum.
const WORD_MASK: u32 = 0xffff;

/// An advertisement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Advertisement {
    /// The number of the virtual router (VRID).
    pub(crate) vrid: u8,
    /// The sender's priority; 0 releases the active role.
    pub(crate) priority: u8,
    /// Between two of the sender's advertisements.
    pub(crate) interval: Duration,
    /// The addresses of the virtual router.
    pub(crate) addresses: Vec<Ipv4Addr>,
}

/// Why a packet is dropped.
#[derive(Debug, Error, PartialEq, Eq)]
pub(crate) enum Malformed {
    /// Shorter than its head, or than its addresses need.
    #[error("packet cut short")]
    Short,
    /// Not version 3.
    #[error("version {0}, not {VERSION}")]
    Version(u8),
    /// Not an advertisement.
    #[error("unknown packet type {0}")]
    Kind(u8),
    /// Damaged on the way.
    #[error("wrong checksum")]
    Checksum,
    /// It stands for no address, or has bytes after its last one.
    #[error("wrong number of addresses")]
    Addresses,
    /// No time between two advertisements.
    #[error("advertisement interval of 0")]
    Interval,
}

impl Advertisement {
    /// Encodes the packet.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let centiseconds =
            (self.interval.as_millis() as u64 / CENTISECOND_MS).min(u64::from(INTERVAL_MASK)) as u16;
        let mut bytes = vec![VERSION_AND_TYPE, self.vrid, self.priority, self.addresses.len() as u8];
        bytes.extend(centiseconds.to_be_bytes());
        bytes.extend([0, 0]);
        for address in &self.addresses {
            bytes.extend(address.octets());
        }
        let sum = checksum(&bytes);
        bytes[CHECKSUM_RANGE].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Decodes a packet and checks it as section 7.1 asks, as far as that is possible from the packet alone.
    ///
    /// # Errors
    ///
    /// Where the packet is to be dropped.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        let Some([first, vrid, priority, count, high, low, ..]) = bytes.first_chunk::<HEAD_BYTES>().copied()
        else {
            return Err(Malformed::Short);
        };
        let version = first >> VERSION_SHIFT;
        if version != VERSION {
            return Err(Malformed::Version(version));
        }
        let packet_type = first & TYPE_MASK;
        if packet_type != ADVERTISEMENT_TYPE {
            return Err(Malformed::Kind(packet_type));
        }
        let addresses = &bytes[HEAD_BYTES..];
        if addresses.len() < ADDRESS_BYTES * usize::from(count) {
            return Err(Malformed::Short);
        }
        if checksum(bytes) != 0 {
            return Err(Malformed::Checksum);
        }
        if count == 0 || addresses.len() > ADDRESS_BYTES * usize::from(count) {
            return Err(Malformed::Addresses);
        }
        let centiseconds = u64::from(u16::from_be_bytes([high, low]) & INTERVAL_MASK);
        // After an interval of 0 the active router would count as down at once.
        if centiseconds == 0 {
            return Err(Malformed::Interval);
        }
        let addresses = addresses
            .chunks_exact(ADDRESS_BYTES)
            .filter_map(|octets| octets.first_chunk::<ADDRESS_BYTES>())
            .map(|octets| Ipv4Addr::from(*octets))
            .collect();
        Ok(Advertisement {
            vrid,
            priority,
            interval: Duration::from_millis(centiseconds * CENTISECOND_MS),
            addresses,
        })
    }
}

/// The one's complement of the one's complement sum, over the packet alone as the RFC has it for IPv4.
fn checksum(bytes: &[u8]) -> u16 {
    let words = bytes.chunks(2).map(|pair| u16::from_be_bytes([pair[0], *pair.get(1).unwrap_or(&0)]));
    let mut sum: u32 = words.map(u32::from).sum();
    while sum > WORD_MASK {
        sum = (sum & WORD_MASK) + (sum >> u16::BITS);
    }
    !(sum as u16)
}

#[cfg(test)]
mod tests;
