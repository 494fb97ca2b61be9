//! Numbers in hexadecimal digits.

const RADIX: u32 = 16;

/// The number that hexadecimal digits stand for; none if they are no such digits, or too many.
pub(crate) fn parse(digits: &str) -> Option<u64> {
    u64::from_str_radix(digits, RADIX).ok()
}
