//! Reading and parsing of configuration files, and checks of addresses, ranges and paths in them.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::Deserialize;

use super::error::{first_line, ConfigError};

/// Bytes in a mebibyte, the unit of the keys that end in `_mb`.
pub(super) const MEBIBYTE: u64 = 1024 * 1024;

/// Reads a file as text.
pub(super) fn read_text(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Unreadable { path: path.to_path_buf(), source })
}

/// A TOML file that is written by operators.
pub(super) trait OperatorsFile: Sized {
    /// The kind of file, as error messages name it.
    const FILE: &'static str;
    /// The keys and unchecked values of the file.
    type Raw: DeserializeOwned;

    /// Checks the values of the keys.
    ///
    /// # Errors
    ///
    /// If a value is not valid.
    fn from_raw(raw: Self::Raw) -> Result<Self, ConfigError>;

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    ///
    /// If the text is not valid TOML, or a key or value is not valid.
    fn parse(text: &str) -> Result<Self, ConfigError> {
        Self::from_raw(parse_toml(Self::FILE, text)?)
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is not valid.
    fn read(path: &Path) -> Result<Self, ConfigError> {
        Self::parse(&read_text(path)?)
    }
}

/// Parses a file in TOML. An error names the line and the key.
fn parse_toml<'a, T: Deserialize<'a>>(file: &'static str, text: &'a str) -> Result<T, ConfigError> {
    let malformed = |key: String, error: &toml::de::Error| {
        let line = error.span().map_or(0, |span| line_at(text, span.start));
        let message = first_line(&error.message());
        ConfigError::MalformedOperatorsFile { file, line, key, message }
    };
    let table = toml::Deserializer::parse(text).map_err(|error| malformed(String::new(), &error))?;
    serde_path_to_error::deserialize(table)
        .map_err(|error| malformed(format!(", {}", error.path()), error.inner()))
}

/// The number, from 1, of the line that contains a byte of a text.
fn line_at(text: &str, byte: usize) -> usize {
    text[..byte.min(text.len())].lines().count().max(1)
}

/// Parses an IP address with a port.
pub(super) fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Invalid {
        key: key.into(),
        value: text.into(),
        expected: "an IP address with a port",
    })
}

/// Parses a list of IP addresses with ports.
pub(super) fn parse_addresses(key: &str, texts: &[String]) -> Result<Vec<SocketAddr>, ConfigError> {
    texts.iter().map(|text| parse_address(key, text)).collect()
}

/// Checks that a value is within its range.
pub(super) fn check_range(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), ConfigError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(ConfigError::OutOfRange { key: key.into(), value, range })
}

/// Checks that a path is absolute: a relative one would depend on the directory in which the process was
/// started.
pub(super) fn check_absolute(key: &str, path: &Path) -> Result<(), ConfigError> {
    if path.is_absolute() {
        return Ok(());
    }
    Err(ConfigError::Invalid {
        key: key.into(),
        value: path.display().to_string(),
        expected: "an absolute path",
    })
}
