//! Helpers that several unit tests share: conversion of bytes to and from hexadecimal digits, for golden
//! tests.

use crate::hexadecimal;

/// Formats bytes as hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses bytes from hexadecimal digits, two for each byte.
pub(crate) fn bytes(hex: &str) -> Vec<u8> {
    let numbers = (0..hex.len()).step_by(2).map(|at| hexadecimal::parse(&hex[at..at + 2]).unwrap());
    numbers.map(|number| u8::try_from(number).unwrap()).collect()
}
