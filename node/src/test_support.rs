//! Helpers that several unit tests share: conversion of bytes to and from hexadecimal digits, for golden
//! tests, and folders.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::hexadecimal;

/// A folder for one test, removed after it.
pub(crate) struct TestFolder(pub(crate) PathBuf);

impl TestFolder {
    pub(crate) fn new() -> TestFolder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("oakwind-{}-{number}", std::process::id()));
        std::fs::create_dir(&path).unwrap();
        TestFolder(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Formats bytes as hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses bytes from hexadecimal digits, two for each byte.
pub(crate) fn bytes(hex: &str) -> Vec<u8> {
    let numbers = (0..hex.len()).step_by(2).map(|at| hexadecimal::parse(&hex[at..at + 2]).unwrap());
    numbers.map(|number| u8::try_from(number).unwrap()).collect()
}
