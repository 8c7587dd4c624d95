//! The record of a run: one line for each thing that was sent, answered, run or measured.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A record that threads share.
#[derive(Clone)]
pub struct RunRecord(Arc<(Mutex<File>, Instant)>);

impl RunRecord {
    /// Creates the file, or empties it.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        });
        Self(Arc::new((Mutex::new(file), Instant::now())))
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.0 .1.elapsed()
    }

    /// Adds a line with the time since the start of the run.
    pub fn line(&self, text: &str) {
        let seconds = self.elapsed().as_secs_f64();
        let mut file = self.0 .0.lock().unwrap();
        writeln!(file, "{seconds:8.3} {text}").unwrap();
    }
}
