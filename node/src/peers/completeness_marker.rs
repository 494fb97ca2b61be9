//! The marker in the folder of votes. It says that what the folder holds is complete, and up to which position of this
//! node's state: a process that finds it may rely on the folder, and other nodes can tell whether the folder is an old copy.

use std::fs;
use std::path::{Path, PathBuf};

use oakwind_fleet::ids::Incarnation;
use oakwind_fleet::recovery::staleness::StatePosition;

use crate::log;

const MARKER_FILE: &str = "sound";
/// The name of the marker while it is written.
const TEMPORARY_FILE: &str = "sound-new";

/// Writes and reads the marker of one folder.
pub(crate) struct CompletenessMarker {
    folder: PathBuf,
    /// Whether the folder is complete, so that the marker may be written.
    is_complete: bool,
    written: Option<StatePosition>,
}

impl CompletenessMarker {
    /// The marker of a folder that is complete or not.
    pub(crate) fn new(folder: &Path, is_complete: bool) -> CompletenessMarker {
        CompletenessMarker { folder: folder.into(), is_complete, written: None }
    }

    /// The position that the last process reached; none if the folder is not complete.
    pub(crate) fn read(&self) -> Option<StatePosition> {
        let text = fs::read_to_string(self.folder.join(MARKER_FILE)).ok()?;
        let (incarnation, seconds) = text.trim_end().split_once(' ')?;
        Some(StatePosition {
            incarnation: Incarnation(incarnation.parse().ok()?),
            uptime_seconds: seconds.parse().ok()?,
        })
    }

    /// The folder is complete from now on.
    pub(crate) fn set_complete(&mut self, position: StatePosition) {
        self.is_complete = true;
        self.advance(position);
    }

    /// This process has reached a position, which is written if it is another one. It need not survive a crash of the
    /// machine: if it does not, other nodes know a later position, or no node is left that does.
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
                log!("fleet: the completeness marker of the vote store is not written: error={error}");
            }
        }
    }

    /// The folder is not complete any more.
    pub(crate) fn invalidate(&mut self) {
        self.is_complete = false;
        // If the marker cannot be removed, the next start finds out what this one did.
        let _ = fs::remove_file(self.folder.join(MARKER_FILE));
    }

    /// Another process has the folder from now on and writes its marker.
    pub(crate) fn release(&mut self) {
        self.is_complete = false;
    }
}

#[cfg(test)]
mod tests;
