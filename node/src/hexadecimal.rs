//! Parses hexadecimal numbers.

const RADIX: u32 = 16;

/// Parses a hexadecimal number; none if a digit is not hexadecimal or the number does not fit in 64 bits.
pub(crate) fn parse(digits: &str) -> Option<u64> {
    u64::from_str_radix(digits, RADIX).ok()
}
