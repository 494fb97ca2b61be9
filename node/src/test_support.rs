//! What several unit tests share: bytes in hexadecimal, as golden tests have them.

use crate::hexadecimal;

/// Bytes as hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes that hexadecimal digits stand for.
pub(crate) fn bytes(hex: &str) -> Vec<u8> {
    let numbers = (0..hex.len()).step_by(2).map(|at| hexadecimal::parse(&hex[at..at + 2]).unwrap());
    numbers.map(|number| u8::try_from(number).unwrap()).collect()
}
