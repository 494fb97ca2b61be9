//! The errors that end the adapter.

use oakwind_settings::SettingsError;

/// An error in the input, or a failure to read the input or to write a reply. I/O errors are held as text, because
/// `io::Error` cannot be compared.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AdapterError {
    /// The input ends inside the four bytes that give the length of a frame.
    #[error("input ends inside the length field of a frame")]
    TruncatedLength,
    /// The input ends inside the body of a frame.
    #[error("input ends inside the body of a frame")]
    TruncatedFrame,
    /// The length of a frame, here in bytes, exceeds the maximum.
    #[error("frame length of {0} bytes exceeds the maximum")]
    FrameTooLong(usize),
    /// The body of a frame ends inside a record.
    #[error("body of a frame ends inside a record")]
    TruncatedRecord,
    /// The body of a frame has this number of bytes after its last record.
    #[error("body of a frame has {0} bytes after its last record")]
    TrailingBytes(usize),
    /// The code of a record is unknown.
    #[error("unknown record code {0}")]
    UnknownRecord(u8),
    /// The outcome code of a run or a call is unknown.
    #[error("unknown outcome code {0}")]
    UnknownOutcome(u16),
    /// The settings of a backend are not valid UTF-8.
    #[error("settings of a backend are not valid UTF-8")]
    SettingsNotUtf8,
    /// The settings of a backend are rejected.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A record that applies to a backend precedes the first record that selects one.
    #[error("record for a backend received before any backend was selected")]
    NoBackendSelected,
    /// An event is addressed to a backend that is not running.
    #[error("event received for backend {0}, which is not running")]
    UnknownBackend(u16),
    /// The input cannot be read.
    #[error("cannot read the input: {0}")]
    Read(String),
    /// A reply cannot be written.
    #[error("cannot write a reply: {0}")]
    Write(String),
}
