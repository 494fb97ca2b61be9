//! A hash chain over records, which detects and locates records that were changed, truncated, removed or
//! reordered. Each file continues the chain of the previous file.
//!
//! A line holds the record's number, its digest and the record, separated by spaces. The digest covers the
//! previous record's digest, the number and the record. It is not keyed: anyone can compute a valid chain, so
//! the chain detects damage and edits but does not authenticate their author.

use std::fmt;

use sha2::{Digest, Sha256};
use thiserror::Error;

/// Length of a written digest in hexadecimal digits; the rest of the SHA-256 digest is dropped.
const DIGEST_DIGITS: usize = 32;

/// The digest that precedes the first record.
const INITIAL_DIGEST: [u8; DIGEST_DIGITS] = [b'0'; DIGEST_DIGITS];

/// The state of a chain while it is written or read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chain {
    /// Number of the last record; 0 before the first.
    number: u64,
    digest: [u8; DIGEST_DIGITS],
    /// Whether the previous records are missing, so that the digest of the next record can't be verified.
    unverifiable: bool,
}

/// A line at which a chain is broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainBreak {
    /// Line number in the text, counted from 1.
    pub line: usize,
    /// The fault in the line.
    pub error: ChainError,
}

impl fmt::Display for ChainBreak {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.error)
    }
}

/// A fault in a line of a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChainError {
    /// The line is not a record.
    #[error("no record")]
    Unreadable,
    /// Records before the line are missing or were moved.
    #[error("record {found} where {expected} was due")]
    Missing {
        /// The record number that follows the previous line.
        expected: u64,
        /// The record number in the line.
        found: u64,
    },
    /// The record, or the one before it, was changed.
    #[error("not as it was written")]
    Modified,
    /// The line has no line end, as when the process is killed while it writes the line.
    #[error("not whole, as a process that ends in the middle leaves it")]
    Incomplete,
    /// Records after the line are missing.
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
    /// Returns a chain that continues after the record with this number and digest, or `None` if the digest
    /// has the wrong length.
    pub fn after(number: u64, digest: &str) -> Option<Chain> {
        let digest = digest.as_bytes().try_into().ok()?;
        Some(Chain { number, digest, unverifiable: false })
    }

    /// Returns a chain whose next record has this number, for when all earlier records were deleted. The
    /// digest of that record can't be verified.
    pub fn before(number: u64) -> Chain {
        Chain { number: number.saturating_sub(1), digest: INITIAL_DIGEST, unverifiable: number > 1 }
    }

    /// Returns the number of the last record; 0 before the first.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the digest of the last record.
    pub fn digest(&self) -> &str {
        // `digest_of` writes only hexadecimal digits, and a digest that was read comes from a `str`.
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

    /// Appends a record to the text as one line. The record must not contain a line end.
    pub fn append(&mut self, record: &str, text: &mut String) {
        self.number += 1;
        self.digest = self.digest_of(self.number, record);
        text.push_str(&format!("{} {} {record}\n", self.number, self.digest()));
    }

    /// Verifies the next line. Returns its record, if it can be read, and the fault, if there is one. After a
    /// fault the chain continues from the number and the digest in the line, so that each fault is reported
    /// once.
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
        // `parse` also accepts a sign and leading zeros, which `append` never writes.
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

/// The records of a text and the faults in its chain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChainContents<'a> {
    /// Each readable record with its number.
    pub records: Vec<(u64, &'a str)>,
    /// The lines at which the chain is broken.
    pub breaks: Vec<ChainBreak>,
}

/// Reads a text that continues a chain and advances the chain to the end of the text.
pub fn read<'a>(text: &'a str, chain: &mut Chain) -> ChainContents<'a> {
    let mut contents = ChainContents::default();
    for (index, line) in text.split_inclusive('\n').enumerate() {
        let line_number = index + 1;
        let Some(line) = line.strip_suffix('\n') else {
            // The chain does not advance, so the missing record is reported when the next file is read.
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
