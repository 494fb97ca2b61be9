//! The folders that keep a node's state over restarts: idempotency keys with their results, and votes.

use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};

use crate::scenario::StoredState;

/// The folder of keys and results.
const RESULTS: &str = "remembered";
/// The folder of votes.
const VOTES: &str = "votes";
/// The extension of files of records.
const RECORDS_EXTENSION: &str = "log";

/// The state folders of one node.
#[derive(Debug)]
pub(super) struct StateFolders {
    root: PathBuf,
}

impl StateFolders {
    /// Makes both folders.
    pub(super) fn create(root: &Path) -> io::Result<StateFolders> {
        let folders = StateFolders { root: root.to_path_buf() };
        std::fs::create_dir_all(folders.results())?;
        std::fs::create_dir_all(folders.votes())?;
        Ok(folders)
    }

    /// Where keys and results are.
    pub(super) fn results(&self) -> PathBuf {
        self.root.join(RESULTS)
    }

    /// Where votes are.
    pub(super) fn votes(&self) -> PathBuf {
        self.root.join(VOTES)
    }

    fn copy_of(&self, name: &str) -> PathBuf {
        self.root.join(format!("{name}-copy"))
    }

    /// Keeps a copy of both, for a restart with old ones.
    pub(super) fn keep_copy(&self) {
        for name in [RESULTS, VOTES] {
            let copy = self.copy_of(name);
            // What can't be copied is missed when it is put back.
            let _ = std::fs::create_dir_all(&copy);
            let _ = copy_files(&self.root.join(name), &copy);
        }
    }

    /// Leaves both as a restarted node is to find them; the draw decides where a file is cut.
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
                StoredState::Truncated => cut_newest(&folder, draw)?,
            }
        }
        Ok(())
    }
}

/// The files of a folder by name.
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

/// Cuts the newest file of records at a byte that the draw decides.
fn cut_newest(folder: &Path, draw: u64) -> io::Result<()> {
    let is_record = |path: &PathBuf| path.extension().is_some_and(|extension| extension == RECORDS_EXTENSION);
    let Some(path) = files(folder)?.into_iter().rfind(is_record) else { return Ok(()) };
    let length = std::fs::metadata(&path)?.len();
    let file = OpenOptions::new().write(true).open(&path)?;
    file.set_len(if length == 0 { 0 } else { draw % length })
}
