//! What was sent, answered and run, in the order in which the harness saw it.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A log with the time of each line since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, line: impl Into<String>) {
        self.note_at(self.now(), line);
    }

    pub fn note_at(&self, at: Duration, line: impl Into<String>) {
        if let Ok(mut lines) = self.lines.lock() {
            lines.push((at, line.into()));
        }
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().map(|lines| lines.clone()).unwrap_or_default();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, line)| format!("{:9.3} {line}\n", at.as_secs_f64())).collect();
        fs::write(path, text)
    }
}
