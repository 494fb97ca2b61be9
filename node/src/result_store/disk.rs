//! Durable file operations of the segment log, as a trait so that tests can inject disk failures.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// Durable operations on files.
pub(crate) trait Disk {
    /// Creates a file with these bytes; fails if it exists. File and content survive a crash once this
    /// returns.
    fn create(&mut self, path: &Path, bytes: &[u8]) -> io::Result<File>;
    /// Appends bytes, which survive a crash once this returns.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
    /// Removes a file; after a crash it may be there again.
    fn remove(&mut self, path: &Path) -> io::Result<()>;
}

/// The disk of the operating system.
pub(crate) struct SystemDisk;

impl Disk for SystemDisk {
    fn create(&mut self, path: &Path, bytes: &[u8]) -> io::Result<File> {
        let mut file = File::options().append(true).create_new(true).open(path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        // The directory entry of the new file is durable only once the directory itself is synced.
        path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())?;
        Ok(file)
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }
}
