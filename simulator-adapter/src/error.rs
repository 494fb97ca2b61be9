//! Why the adapter ends with an error.

use oakwind_settings::SettingsError;

/// Input that cannot be decoded or applied, or a failure of the pipes. The texts of I/O errors stand for the errors
/// themselves, so that values can be compared.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AdapterError {
    /// The input ends within the four bytes that give the length of a frame.
    #[error("input ends inside a frame's length")]
    TruncatedLength,
    /// The input ends within the body of a frame.
    #[error("input ends inside a frame")]
    TruncatedFrame,
    /// A frame exceeds the maximum length; its length in bytes.
    #[error("frame of {0} bytes is too long")]
    FrameTooLong(usize),
    /// A frame ends within a record.
    #[error("a record is cut short")]
    TruncatedRecord,
    /// A frame continues after its last record; the number of these bytes.
    #[error("{0} bytes follow a frame's last record")]
    TrailingBytes(usize),
    /// A record has a code that is not known.
    #[error("unknown record code {0}")]
    UnknownRecord(u8),
    /// A run or a call has an outcome that is not known.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// The settings of a backend are not UTF-8.
    #[error("settings are not UTF-8")]
    SettingsNotUtf8,
    /// The settings of a backend cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A record needs a backend, and none is selected yet.
    #[error("a record comes before any that names its backend")]
    NoBackendSelected,
    /// An event is for a backend that has not started.
    #[error("event for backend {0}, which has not started")]
    UnknownBackend(u16),
    /// The input cannot be read.
    #[error("reading input: {0}")]
    Read(String),
    /// A reply cannot be written.
    #[error("writing a reply: {0}")]
    Write(String),
}
