//! The directory for the files of a play.

use std::io;
use std::path::{Path, PathBuf};

use crate::play_context::unique_number;

/// The directory of one play. A temporary directory is removed when this is dropped.
pub(super) struct Workspace {
    /// The canonical path of the directory.
    pub(super) path: PathBuf,
    is_permanent: bool,
}

impl Workspace {
    /// Creates the given directory, which is kept, or a temporary one if none is given.
    pub(super) fn new(out: Option<&Path>) -> io::Result<Workspace> {
        let scratch = || format!("oakwind-fault-harness-{}-{}", std::process::id(), unique_number());
        let path = out.map_or_else(|| std::env::temp_dir().join(scratch()), Path::to_path_buf);
        std::fs::create_dir_all(&path)?;
        Ok(Workspace { path: path.canonicalize()?, is_permanent: out.is_some() })
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        if !self.is_permanent {
            // Files that cannot be removed stay in the system's temporary directory.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
