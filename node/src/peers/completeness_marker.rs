//! The completeness marker, a file in the vote store's folder. It states that the vote store is complete, and
//! up to which position of this node's state. A process that finds the marker may rely on the votes, and
//! other nodes can tell from the position whether the folder is an outdated copy.

use std::fs;
use std::path::{Path, PathBuf};

use oakwind_fleet::ids::Incarnation;
use oakwind_fleet::recovery::staleness::StatePosition;

use crate::log;

const MARKER_FILE: &str = "sound";
/// Name under which the marker is written before it replaces the previous one.
const TEMPORARY_FILE: &str = "sound-new";

/// Writes and reads the marker of one folder.
pub(crate) struct CompletenessMarker {
    folder: PathBuf,
    /// Whether the vote store is complete, which permits writing the marker.
    is_complete: bool,
    written: Option<StatePosition>,
}

impl CompletenessMarker {
    /// Creates the marker for a folder. `is_complete` tells whether the vote store in it is complete.
    pub(crate) fn new(folder: &Path, is_complete: bool) -> CompletenessMarker {
        CompletenessMarker { folder: folder.into(), is_complete, written: None }
    }

    /// Reads the position that the previous process reached; none if there is no valid marker.
    pub(crate) fn read(&self) -> Option<StatePosition> {
        let text = fs::read_to_string(self.folder.join(MARKER_FILE)).ok()?;
        let (incarnation, seconds) = text.trim_end().split_once(' ')?;
        Some(StatePosition {
            incarnation: Incarnation(incarnation.parse().ok()?),
            uptime_seconds: seconds.parse().ok()?,
        })
    }

    /// Declares the vote store complete from this position on and writes the marker.
    pub(crate) fn set_complete(&mut self, position: StatePosition) {
        self.is_complete = true;
        self.advance(position);
    }

    /// Writes the position that this process has reached, if it differs from the written one. The file is not
    /// synced: if a crash of the machine loses it, either other nodes know a later position, or no node is
    /// left that knows one.
    pub(crate) fn advance(&mut self, position: StatePosition) {
        if !self.is_complete || self.written == Some(position) {
            return;
        }
        let temporary = self.folder.join(TEMPORARY_FILE);
        let written =
            fs::write(&temporary, format!("{} {}\n", position.incarnation, position.uptime_seconds))
                .and_then(|()| fs::rename(&temporary, self.folder.join(MARKER_FILE)));
        match written {
            Ok(()) => self.written = Some(position),
            Err(error) => {
                log!("fleet: completeness marker not written, retrying at the next tick: error={error}");
            }
        }
    }

    /// Declares the vote store incomplete and removes the marker.
    pub(crate) fn invalidate(&mut self) {
        self.is_complete = false;
        // If the removal fails, the next start detects the same damage or staleness as this one.
        let _ = fs::remove_file(self.folder.join(MARKER_FILE));
    }

    /// Stops writing the marker, as another process now owns the folder and writes the marker.
    pub(crate) fn release(&mut self) {
        self.is_complete = false;
    }
}

#[cfg(test)]
mod tests;
