//! The record of a case: what was sent, answered and run, with the milliseconds since the case began.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { began_at: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:6} {text}", self.began_at.elapsed().as_millis());
    }
}
