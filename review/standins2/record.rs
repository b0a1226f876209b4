//! The record of a case: what was sent, answered and run, with the seconds since its start.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Instant;

/// Lines of a record, which are written to `record.txt` on drop.
pub struct Record {
    pub start: Instant,
    lines: Mutex<Vec<String>>,
    file: PathBuf,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
            file: folder.join("record.txt"),
        }
    }

    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let line = format!("{seconds:8.3} s  {text}");
        self.lines.lock().expect("a lock").push(line);
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let mut lines = self.lines.lock().expect("a lock");
        lines.sort();
        let _ = fs::write(&self.file, lines.join("\n") + "\n");
    }
}
