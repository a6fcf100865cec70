//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

/// A file of lines, each with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("could not create the record");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock(), "{at:>6} ms  {text}");
    }
}
