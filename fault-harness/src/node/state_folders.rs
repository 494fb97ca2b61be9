//! The folders that persist a node's state across restarts: idempotency keys with their results, and votes.

use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};

use crate::scenario::StoredState;

/// The name of the folder for idempotency keys and results.
const RESULTS: &str = "remembered";
/// The name of the folder for votes.
const VOTES: &str = "votes";
/// The extension of record files.
const RECORDS_EXTENSION: &str = "log";

/// The state folders of one node.
#[derive(Debug)]
pub(super) struct StateFolders {
    root: PathBuf,
}

impl StateFolders {
    /// Creates both folders below `root`.
    pub(super) fn create(root: &Path) -> io::Result<StateFolders> {
        let folders = StateFolders { root: root.to_path_buf() };
        std::fs::create_dir_all(folders.results())?;
        std::fs::create_dir_all(folders.votes())?;
        Ok(folders)
    }

    /// The folder of idempotency keys and results.
    pub(super) fn results(&self) -> PathBuf {
        self.root.join(RESULTS)
    }

    /// The folder of votes.
    pub(super) fn votes(&self) -> PathBuf {
        self.root.join(VOTES)
    }

    fn copy_of(&self, name: &str) -> PathBuf {
        self.root.join(format!("{name}-copy"))
    }

    /// Copies both folders, for a later restart with stale state.
    pub(super) fn copy_state(&self) {
        for name in [RESULTS, VOTES] {
            let copy = self.copy_of(name);
            // If copying fails, the restart that restores the copy reports the error or lacks the file.
            let _ = std::fs::create_dir_all(&copy);
            let _ = copy_files(&self.root.join(name), &copy);
        }
    }

    /// Puts both folders into the state that a restarted node is to find. `draw` selects the byte at which a
    /// file is truncated.
    pub(super) fn prepare(&self, state: StoredState, draw: u64) -> io::Result<()> {
        for name in [RESULTS, VOTES] {
            let folder = self.root.join(name);
            match state {
                StoredState::Intact => {}
                StoredState::Erased => remove_files(&folder)?,
                StoredState::Stale => {
                    remove_files(&folder)?;
                    copy_files(&self.copy_of(name), &folder)?;
                }
                StoredState::Truncated => truncate_newest(&folder, draw)?,
            }
        }
        Ok(())
    }
}

/// The files of a folder, sorted by name.
fn files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder)?;
    let mut paths = entries.map(|entry| Ok(entry?.path())).collect::<io::Result<Vec<_>>>()?;
    paths.retain(|path| path.is_file());
    paths.sort();
    Ok(paths)
}

fn remove_files(folder: &Path) -> io::Result<()> {
    files(folder)?.iter().try_for_each(std::fs::remove_file)
}

fn copy_files(from: &Path, to: &Path) -> io::Result<()> {
    for path in files(from)? {
        if let Some(name) = path.file_name() {
            std::fs::copy(&path, to.join(name))?;
        }
    }
    Ok(())
}

/// Truncates the newest record file at a byte that `draw` selects.
fn truncate_newest(folder: &Path, draw: u64) -> io::Result<()> {
    let is_record = |path: &PathBuf| path.extension().is_some_and(|extension| extension == RECORDS_EXTENSION);
    let Some(path) = files(folder)?.into_iter().rfind(is_record) else { return Ok(()) };
    let length = std::fs::metadata(&path)?.len();
    let file = OpenOptions::new().write(true).open(&path)?;
    file.set_len(if length == 0 { 0 } else { draw % length })
}
