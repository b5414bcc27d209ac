//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `CaseRecord` writes `record.txt`; its clones write to the same file.
#[derive(Clone)]
pub struct CaseRecord {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl CaseRecord {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { started: Instant::now(), file })
    }

    /// Returns the time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        // A record that can't be written must not end the case half way.
        let _ = writeln!(file, "{seconds:9.4} s  {}", text.as_ref());
    }
}
