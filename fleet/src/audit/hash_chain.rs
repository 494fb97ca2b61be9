//! Records that are chained by digest, so that a record that was changed, cut off, left out or moved is
//! detected, and at which line. A file continues the chain of the file before it.
//!
//! A line holds the record's number, the digest and the record, separated by spaces. The digest covers the
//! previous digest, the number and the record. It holds no secret: the chain shows damage and edits, not
//! who made them.

use std::fmt;

use sha2::{Digest, Sha256};
use thiserror::Error;

/// The length of a digest as it is written, in hexadecimal digits; the rest of the SHA-256 digest is dropped.
const DIGEST_DIGITS: usize = 32;

/// The digest before the first record.
const INITIAL_DIGEST: [u8; DIGEST_DIGITS] = [b'0'; DIGEST_DIGITS];

/// A chain that is being written or read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chain {
    /// The number of the last record.
    number: u64,
    digest: [u8; DIGEST_DIGITS],
    /// The records before are gone, so the digest of the next one can't be verified.
    unverifiable: bool,
}

/// A place at which a chain is broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainBreak {
    /// The line of the text, from 1.
    pub line: usize,
    /// What is wrong there.
    pub error: ChainError,
}

impl fmt::Display for ChainBreak {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.error)
    }
}

/// What is wrong with a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChainError {
    /// The line is not a record.
    #[error("no record")]
    Unreadable,
    /// Records before it are missing, or were moved.
    #[error("record {found} where {expected} was due")]
    Missing {
        /// The number of the record that was expected.
        expected: u64,
        /// The number of the record that was found.
        found: u64,
    },
    /// It, or the record before it, was changed.
    #[error("not as it was written")]
    Modified,
    /// The line does not end, as a process that is killed while it writes leaves it.
    #[error("not whole, as a process that ends in the middle leaves it")]
    Incomplete,
    /// Records behind it are gone.
    #[error("records are gone from the end: {last} was the last")]
    Truncated {
        /// The number of the last record that was written.
        last: u64,
    },
}

impl Default for Chain {
    fn default() -> Self {
        Chain { number: 0, digest: INITIAL_DIGEST, unverifiable: false }
    }
}

impl Chain {
    /// Continues behind the record of this number and digest; none if that is not a digest.
    pub fn after(number: u64, digest: &str) -> Option<Chain> {
        let digest = digest.as_bytes().try_into().ok()?;
        Some(Chain { number, digest, unverifiable: false })
    }

    /// Continues before the record of this number, when all records before it are gone.
    pub fn before(number: u64) -> Chain {
        Chain { number: number.saturating_sub(1), digest: INITIAL_DIGEST, unverifiable: number > 1 }
    }

    /// Returns the number of the last record, 0 before the first.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the digest of the last record.
    pub fn digest(&self) -> &str {
        // Only hexadecimal digits are written.
        std::str::from_utf8(&self.digest).unwrap_or_default()
    }

    fn digest_of(&self, number: u64, record: &str) -> [u8; DIGEST_DIGITS] {
        const HEX: &[u8; 16] = b"0123456789abcdef";
        let mut hasher = Sha256::new();
        hasher.update(self.digest);
        hasher.update(number.to_be_bytes());
        hasher.update(record.as_bytes());
        let mut digits = INITIAL_DIGEST;
        for (pair, byte) in digits.chunks_mut(2).zip(&hasher.finalize()) {
            pair[0] = HEX[usize::from(byte >> 4)];
            pair[1] = HEX[usize::from(byte & 15)];
        }
        digits
    }

    /// Appends a record, which must not hold a line end, as one line.
    pub fn append(&mut self, record: &str, text: &mut String) {
        self.number += 1;
        self.digest = self.digest_of(self.number, record);
        text.push_str(&format!("{} {} {record}\n", self.number, self.digest()));
    }

    /// Verifies the next line. Returns its record and what is wrong with it. After a fault the chain
    /// continues from what the line says, so that each fault is reported once.
    fn verify<'a>(&mut self, line: &'a str) -> (Option<&'a str>, Option<ChainError>) {
        let mut words = line.splitn(3, ' ');
        let number = words.next().and_then(|word| word.parse::<u64>().ok());
        let (Some(number), Some(digest), Some(record)) = (number, words.next(), words.next()) else {
            return (None, Some(ChainError::Unreadable));
        };
        let Some(next) = Chain::after(number, digest) else {
            return (None, Some(ChainError::Unreadable));
        };
        let digest_matches = self.unverifiable || self.digest_of(number, record) == next.digest;
        // A number may parse that was not written like this, such as one with a sign or leading zeros.
        let is_canonical = number.to_string().len() == line.find(' ').unwrap_or(0);
        let expected = self.number + 1;
        *self = next;
        let error = if number != expected {
            Some(ChainError::Missing { expected, found: number })
        } else if digest_matches && is_canonical {
            None
        } else {
            Some(ChainError::Modified)
        };
        (Some(record), error)
    }
}

/// The records of a text, and where its chain is broken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChainContents<'a> {
    /// All records that could be read, with their numbers.
    pub records: Vec<(u64, &'a str)>,
    /// Where the chain is broken.
    pub breaks: Vec<ChainBreak>,
}

/// Reads a text that continues a chain, and advances the chain to the end of the text.
pub fn read<'a>(text: &'a str, chain: &mut Chain) -> ChainContents<'a> {
    let mut contents = ChainContents::default();
    for (index, line) in text.split_inclusive('\n').enumerate() {
        let line_number = index + 1;
        let Some(line) = line.strip_suffix('\n') else {
            // A record that is missing because of this is reported when the next file is read.
            contents.breaks.push(ChainBreak { line: line_number, error: ChainError::Incomplete });
            continue;
        };
        let (record, error) = chain.verify(line);
        contents.breaks.extend(error.map(|error| ChainBreak { line: line_number, error }));
        contents.records.extend(record.map(|record| (chain.number, record)));
    }
    contents
}

#[cfg(test)]
mod tests;
