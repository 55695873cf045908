//! The record of a run: what was sent, answered and run, with the time in ms.

use std::cell::RefCell;
use std::fs::File;
use std::io::Write;

use base::Ms;

pub struct Record(RefCell<File>);

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record(RefCell::new(File::create(path)?)))
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>6} {text}\n", Ms::now().0);
        let _ = self.0.borrow_mut().write_all(line.as_bytes());
    }
}
