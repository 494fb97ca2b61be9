//! Records that are chained by digest: each names its number and a digest over itself and the one before, so that a record
//! that was changed, cut, left out or moved shows, and which one. A file goes on where the file before it ended.
//!
//! A line is the number, the digest and the record, with a space between. No secret is part of it: the chain shows
//! damage and edits, and not who made them.

use std::fmt;

use sha2::{Digest, Sha256};

/// A digest as it is written: so many hexadecimal digits.
const DIGITS: usize = 32;

/// What every chain begins with.
const BEGINNING: [u8; DIGITS] = [b'0'; DIGITS];

/// A chain that is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chain {
    number: u64,
    last: [u8; DIGITS],
    /// What came before is gone, so the next digest can't be checked.
    open: bool,
}

/// Where a chain is broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainBreak {
    /// The line of the text, from 1.
    pub line: usize,
    /// What is wrong there.
    pub what: ChainError,
}

/// What is wrong with a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChainError {
    /// It is no record.
    Unreadable,
    /// Records are missing before it, or stand elsewhere: this number was due, and that one came.
    Missing(u64, u64),
    /// It, or the one before it, is not as it was written.
    Changed,
    /// It has no end: the last one was being written.
    Unfinished,
    /// Records behind it are gone: this one was the last that was written.
    Cut(u64),
}

impl fmt::Display for ChainBreak {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        match self.what {
            ChainError::Unreadable => write!(f, "no record"),
            ChainError::Missing(due, came) => write!(f, "record {came} where {due} was due"),
            ChainError::Changed => write!(f, "not as it was written"),
            ChainError::Cut(due) => write!(f, "records are gone from the end: {due} was the last"),
            ChainError::Unfinished => write!(f, "not whole, as a process that ends in the middle leaves it"),
        }
    }
}

impl Default for Chain {
    fn default() -> Self {
        Chain { number: 0, last: BEGINNING, open: false }
    }
}

impl Chain {
    /// A chain that goes on behind the record of this number and digest.
    pub fn after(number: u64, digest: &str) -> Option<Chain> {
        let last = digest.as_bytes().try_into().ok()?;
        Some(Chain { number, last, open: false })
    }

    /// One whose next record has this number, and whose earlier ones are gone.
    pub fn before(number: u64) -> Chain {
        Chain { number: number.saturating_sub(1), last: BEGINNING, open: number > 1 }
    }

    /// The number of the last record, 0 before the first, and its digest.
    pub fn end(&self) -> (u64, &str) {
        (self.number, std::str::from_utf8(&self.last).unwrap_or_default())
    }

    fn digest(&self, number: u64, record: &str) -> [u8; DIGITS] {
        let mut digest = Sha256::new();
        digest.update(self.last);
        digest.update(number.to_be_bytes());
        digest.update(record.as_bytes());
        let (digest, mut written) = (digest.finalize(), BEGINNING);
        for (two, byte) in written.chunks_mut(2).zip(&digest) {
            const HEX: &[u8; 16] = b"0123456789abcdef";
            two[0] = HEX[usize::from(byte >> 4)];
            two[1] = HEX[usize::from(byte & 15)];
        }
        written
    }

    /// Appends a record, which holds no line end, as a line.
    pub fn seal(&mut self, record: &str, text: &mut String) {
        self.number += 1;
        self.last = self.digest(self.number, record);
        let (number, digest) = self.end();
        text.push_str(&format!("{number} {digest} {record}\n"));
    }

    /// Takes in a line that was read; its record, and what is wrong with it. After something wrong the chain goes on from
    /// what the line says, so that each fault is told once.
    fn take<'a>(&mut self, line: &'a str) -> (Option<&'a str>, Option<ChainError>) {
        let mut words = line.splitn(3, ' ');
        let parts = (words.next().and_then(|word| word.parse::<u64>().ok()), words.next(), words.next());
        let (Some(number), Some(digest), Some(record)) = parts else {
            return (None, Some(ChainError::Unreadable));
        };
        let Some(said) = Chain::after(number, digest) else { return (None, Some(ChainError::Unreadable)) };
        let as_written = self.open || self.digest(number, record) == said.last;
        let plain = number.to_string().len() == line.find(' ').unwrap_or(0);
        let wrong = if number != self.number + 1 {
            Some(ChainError::Missing(self.number + 1, number))
        } else {
            (!as_written || !plain).then_some(ChainError::Changed)
        };
        *self = said;
        (Some(record), wrong)
    }
}

/// What reading a chain came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Read<'a> {
    /// All records that could be read, with their numbers.
    pub records: Vec<(u64, &'a str)>,
    /// Where the chain is broken.
    pub breaks: Vec<ChainBreak>,
}

/// Reads a text that goes on behind a chain's end, and takes the chain to the text's end.
pub fn read<'a>(text: &'a str, chain: &mut Chain) -> Read<'a> {
    let mut read = Read::default();
    for (i, line) in text.split_inclusive('\n').enumerate() {
        let mut tell = |what| read.breaks.push(ChainBreak { line: i + 1, what });
        let Some(line) = line.strip_suffix('\n') else {
            // What was there goes on in the next file, or is missed in it.
            tell(ChainError::Unfinished);
            continue;
        };
        let (record, wrong) = chain.take(line);
        wrong.into_iter().for_each(&mut tell);
        if let Some(record) = record {
            read.records.push((chain.number, record));
        }
    }
    read
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sealed(records: &[&str]) -> String {
        let (mut chain, mut text) = (Chain::default(), String::new());
        records.iter().for_each(|record| chain.seal(record, &mut text));
        text
    }

    const THREE: [&str; 4] = ["{\"a\":1}", "{\"b\":\"x y\"}", "{}", "{\"c\":[1,2]}"];

    fn breaks(text: &str) -> Vec<ChainBreak> {
        read(text, &mut Chain::default()).breaks
    }

    #[test]
    fn what_was_sealed_is_read_as_it_was_over_several_files() {
        let text = sealed(&THREE);
        let whole = read(&text, &mut Chain::default());
        assert_eq!(whole.records.iter().map(|(_, record)| *record).collect::<Vec<_>>(), THREE);
        assert!(whole.breaks.is_empty());
        let cut = text.match_indices('\n').nth(1).unwrap().0 + 1;
        let mut chain = Chain::default();
        let (one, two) = (read(&text[..cut], &mut chain), read(&text[cut..], &mut chain));
        assert!(one.breaks.is_empty() && two.breaks.is_empty());
        assert_eq!(chain.end().0, 4);
        assert!(read(&text[cut..], &mut Chain::before(3)).breaks.is_empty(), "old files may be gone");
    }

    /// Every byte of a small file changed to every other value, taken out, or doubled.
    #[test]
    fn an_edit_of_any_byte_shows() {
        let text = sealed(&THREE);
        for at in 0..text.len() {
            for byte in 1..128_u8 {
                let mut edited = text.clone().into_bytes();
                if edited[at] == byte {
                    continue;
                }
                edited[at] = byte;
                let edited = String::from_utf8(edited).unwrap();
                assert!(!breaks(&edited).is_empty(), "byte {at} as {byte}");
            }
            let mut taken = text.clone();
            taken.remove(at);
            assert!(!breaks(&taken).is_empty(), "byte {at} taken out");
            let mut doubled = text.clone();
            doubled.insert(at, text.as_bytes()[at] as char);
            assert!(!breaks(&doubled).is_empty(), "byte {at} doubled");
        }
    }

    #[test]
    fn a_file_that_was_cut_shows_it_at_every_byte_but_between_records_at_its_end() {
        let text = sealed(&THREE);
        for at in 1..text.len() {
            let found = breaks(&text[..at]);
            let between = text.as_bytes()[at - 1] == b'\n';
            assert_eq!(found.is_empty(), between, "{at}: {found:?}");
            assert!(between || found[0].what == ChainError::Unfinished);
            // Where more files come behind it, that shows too.
            let mut chain = Chain::default();
            read(&text[..at], &mut chain);
            let mut next =
                Chain::after(4, sealed(&THREE).lines().last().unwrap().split(' ').nth(1).unwrap()).unwrap();
            let mut more = String::new();
            next.seal("{}", &mut more);
            assert!(!read(&more, &mut chain).breaks.is_empty(), "{at}");
        }
    }

    #[test]
    fn records_that_were_moved_left_out_or_taken_from_elsewhere_show() {
        let lines: Vec<String> = sealed(&THREE).split_inclusive('\n').map(String::from).collect();
        let of = |order: &[usize]| order.iter().map(|i| lines[*i].as_str()).collect::<String>();
        assert!(breaks(&of(&[0, 1, 2, 3])).is_empty());
        for order in [&[1, 0, 2, 3][..], &[0, 2, 3], &[0, 1, 1, 2, 3], &[0, 1, 3, 2], &[1, 2, 3]] {
            assert!(!breaks(&of(order)).is_empty(), "{order:?}");
        }
        let other = sealed(&["{\"a\":2}", "{\"b\":2}", "{}", "{}"]);
        let foreign = format!("{}{}{}", lines[0], other.split_inclusive('\n').nth(1).unwrap(), lines[2]);
        assert_eq!(breaks(&foreign)[0], ChainBreak { line: 2, what: ChainError::Changed });
    }
}
