//! `record.txt`: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt")),
        }
    }

    pub fn line(&self, text: &str) {
        if crate::members::has_ended() {
            return;
        }
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.started.elapsed().as_secs_f64());
    }
}
