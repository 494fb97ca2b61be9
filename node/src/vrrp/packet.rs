//! The advertisement, the only packet of VRRP version 3, for IPv4 (RFC 9568, section 5).

use std::net::Ipv4Addr;
use std::time::Duration;

use thiserror::Error;

const VERSION: u8 = 3;
const ADVERTISEMENT_TYPE: u8 = 1;
/// Position of the version in the first byte; the packet type is in the lower bits.
const VERSION_SHIFT: u32 = 4;
const TYPE_MASK: u8 = 0xf;
const VERSION_AND_TYPE: u8 = VERSION << VERSION_SHIFT | ADVERTISEMENT_TYPE;
/// Length of the header, which precedes the addresses.
const HEAD_BYTES: usize = 8;
/// Position of the checksum in the header.
const CHECKSUM_RANGE: std::ops::Range<usize> = 6..8;
/// Length of an IPv4 address.
const ADDRESS_BYTES: usize = 4;
/// Milliseconds in a centisecond, the unit of the interval field.
const CENTISECOND_MS: u64 = 10;
/// The lower 12 bits of the field hold the interval; the others are reserved.
const INTERVAL_MASK: u16 = 0xfff;

/// Mask of the lower 16 bits when the checksum is folded.
const WORD_MASK: u32 = 0xffff;

/// An advertisement of a virtual router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Advertisement {
    /// The number of the virtual router (VRID).
    pub(crate) vrid: u8,
    /// The sender's priority; 0 releases the active role.
    pub(crate) priority: u8,
    /// Interval between the sender's advertisements. It is encoded in centiseconds, at most 40.95 s.
    pub(crate) interval: Duration,
    /// The addresses of the virtual router.
    pub(crate) addresses: Vec<Ipv4Addr>,
}

/// Why a received packet is dropped.
#[derive(Debug, Error, PartialEq, Eq)]
pub(crate) enum Malformed {
    /// The packet is shorter than the header, or than the header and the announced number of addresses.
    #[error("packet is shorter than its header and addresses")]
    Short,
    /// The version in the packet is not 3.
    #[error("unsupported version {0}, expected {VERSION}")]
    Version(u8),
    /// The packet type is not that of an advertisement.
    #[error("unknown packet type {0}, expected {ADVERTISEMENT_TYPE}")]
    Kind(u8),
    /// The checksum does not match the packet.
    #[error("packet checksum mismatch")]
    Checksum,
    /// The packet announces no address, or has bytes after the last announced address.
    #[error("packet has no addresses, or bytes after the last address")]
    Addresses,
    /// The advertisement interval is 0.
    #[error("advertisement interval is 0")]
    Interval,
}

impl Advertisement {
    /// Encodes the packet with its checksum.
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

    /// Decodes a packet and performs the checks of section 7.1 that need no more than the packet itself.
    ///
    /// # Errors
    ///
    /// If a check fails, so that the packet must be dropped.
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
        // With an interval of 0 the active router would be considered down at once.
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

/// The one's complement of the one's complement sum over the packet. For IPv4 the RFC includes no
/// pseudo-header.
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
