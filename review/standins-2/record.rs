//! The record of a run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// `Record` writes lines with their times. Clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Writes a line with the time since the start, in seconds.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with the time of an event.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written ends no run.
        let _ = writeln!(file, "{seconds:9.3} s  {text}");
    }
}
