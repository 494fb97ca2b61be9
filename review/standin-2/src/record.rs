//! The record of a case: what was sent, answered and run, one line each, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};

use crate::unix_ms;

/// Writes `record.txt`. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: u64,
}

impl Record {
    /// Creates the file that the first argument of the program names.
    pub fn create() -> Record {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
        let file = File::create(path).expect("the record can be written");
        let record = Record { file: Arc::new(Mutex::new(file)), started_at: unix_ms() };
        record.line(&format!("start unix_ms={} trouble={}", record.started_at, crate::trouble()));
        record
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let ms = unix_ms().saturating_sub(self.started_at);
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{ms:>7} {text}").expect("the record can be written");
    }
}
