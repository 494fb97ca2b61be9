//! The operations of a disk that the segment log needs, so that tests can put a failing one in its place.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// Durable operations on files.
pub(crate) trait Disk {
    /// Creates a new file with these bytes; it survives a crash once this returns.
    fn create(&mut self, path: &Path, bytes: &[u8]) -> io::Result<File>;
    /// Appends bytes; they survive a crash once this returns.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, path: &Path) -> io::Result<()>;
}

/// The disk of the operating system.
pub(crate) struct SystemDisk;

impl Disk for SystemDisk {
    fn create(&mut self, path: &Path, bytes: &[u8]) -> io::Result<File> {
        let mut file = File::options().append(true).create_new(true).open(path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        // A new file name is durable only once its folder is.
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
