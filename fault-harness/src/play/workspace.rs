//! The directory where a play keeps its files.

use std::io;
use std::path::{Path, PathBuf};

use crate::play_context::unique_number;

/// A directory of one play; removed at the end unless its files are to be kept.
pub(super) struct Workspace {
    /// Where it is.
    pub(super) path: PathBuf,
    is_permanent: bool,
}

impl Workspace {
    /// The given directory, which is kept, or a temporary one.
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
            // What can't be removed stays in the system's temporary directory.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
