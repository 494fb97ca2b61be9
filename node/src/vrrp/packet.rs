//! The one packet of VRRP version 3, for IPv4.

use std::fmt;
use std::net::Ipv4Addr;
use std::time::Duration;

const VERSION: u8 = 3;
const ADVERTISEMENT: u8 = 1;
const HEAD: usize = 8;
/// The unit of intervals.
const CENTISECOND: u64 = 10;

/// An advertisement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advertisement {
    /// The virtual router.
    pub vrid: u8,
    /// The sender's priority; 0 gives the role up.
    pub priority: u8,
    /// Between two of the sender's advertisements.
    pub interval: Duration,
    /// The addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

/// Why a packet is dropped.
#[derive(Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Shorter than its head or than its addresses need.
    Short,
    /// Not version 3.
    Version(u8),
    /// Not an advertisement.
    Kind(u8),
    /// Damaged on the way.
    Checksum,
    /// It stands for no address, or has bytes beyond its last one.
    Addresses,
    /// No time between two advertisements.
    Interval,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Short => write!(f, "a packet cut short"),
            Malformed::Version(version) => write!(f, "version {version}, not 3"),
            Malformed::Kind(kind) => write!(f, "a packet of the unknown type {kind}"),
            Malformed::Checksum => write!(f, "a wrong checksum"),
            Malformed::Interval => write!(f, "an interval of 0"),
            Malformed::Addresses => write!(f, "a wrong number of addresses"),
        }
    }
}

impl Advertisement {
    /// The packet's bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let centiseconds = (self.interval.as_millis() as u64 / CENTISECOND).min(0xfff) as u16;
        let mut bytes =
            vec![VERSION << 4 | ADVERTISEMENT, self.vrid, self.priority, self.addresses.len() as u8];
        bytes.extend(centiseconds.to_be_bytes());
        bytes.extend([0, 0]);
        for address in &self.addresses {
            bytes.extend(address.octets());
        }
        let sum = checksum(&bytes);
        bytes[6..8].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Reads a packet, as section 7.1 asks, so far as that can be seen in the packet itself.
    pub fn parse(bytes: &[u8]) -> Result<Self, Malformed> {
        let Some([first, vrid, priority, count, high, low, ..]) = bytes.first_chunk::<HEAD>().copied() else {
            return Err(Malformed::Short);
        };
        if first >> 4 != VERSION {
            return Err(Malformed::Version(first >> 4));
        }
        if first & 0xf != ADVERTISEMENT {
            return Err(Malformed::Kind(first & 0xf));
        }
        let addresses = &bytes[HEAD..];
        if addresses.len() < 4 * usize::from(count) {
            return Err(Malformed::Short);
        }
        if checksum(bytes) != 0 {
            return Err(Malformed::Checksum);
        }
        if count == 0 || addresses.len() > 4 * usize::from(count) {
            return Err(Malformed::Addresses);
        }
        let centiseconds = u64::from(u16::from_be_bytes([high, low]) & 0xfff);
        // Guards the timers of who believes it: after no time at all the active router would count as down.
        if centiseconds == 0 {
            return Err(Malformed::Interval);
        }
        let addresses = addresses.chunks_exact(4).map(|a| Ipv4Addr::new(a[0], a[1], a[2], a[3])).collect();
        Ok(Advertisement {
            vrid,
            priority,
            interval: Duration::from_millis(centiseconds * CENTISECOND),
            addresses,
        })
    }
}

/// The one's complement of the one's complement sum, over the message alone as the RFC has it for IPv4.
fn checksum(bytes: &[u8]) -> u16 {
    let words = bytes.chunks(2).map(|pair| u32::from(pair[0]) << 8 | u32::from(*pair.get(1).unwrap_or(&0)));
    let mut sum: u32 = words.sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

#[cfg(test)]
mod tests;
