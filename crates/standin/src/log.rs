//! Replicated log of a member and the tables built from it.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};

use serde::{Deserialize, Serialize};

/// A change to one row.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Op {
    Insert {
        table: Box<str>,
        key: Box<str>,
        val: Box<str>,
    },
    Update {
        table: Box<str>,
        key: Box<str>,
        val: Box<str>,
    },
    Delete {
        table: Box<str>,
        key: Box<str>,
    },
}

/// A committed transaction; an entry without `ops` marks the start of a term.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub ops: Vec<Op>,
}

/// Key-value rows by table name.
///
/// A table keeps rows with equal keys, so that a write that ran twice can be detected.
pub type Tables = BTreeMap<Box<str>, Vec<(Box<str>, Box<str>)>>;

/// Table of the idempotency keys, the only one with a uniqueness constraint.
pub const IDEMPOTENCY_KEYS_TABLE: &str = "hollyreach_keys";

/// Applies a change and returns the number of rows affected.
pub fn apply(tables: &mut Tables, op: &Op) -> usize {
    match op {
        Op::Insert { table, key, val } => {
            tables
                .entry(table.clone())
                .or_default()
                .push((key.clone(), val.clone()));
            1
        }
        Op::Update { table, key, val } => {
            let rows = tables.entry(table.clone()).or_default();
            let matching = rows.iter_mut().filter(|r| r.0 == *key);
            matching.map(|r| r.1 = val.clone()).count()
        }
        Op::Delete { table, key } => {
            let rows = tables.entry(table.clone()).or_default();
            let before = rows.len();
            rows.retain(|r| r.0 != *key);
            before - rows.len()
        }
    }
}

/// A record of the data file, which holds one JSON record per line.
#[derive(Serialize, Deserialize)]
enum LogRecord {
    Term(u64),
    Truncate(usize),
    Append(Entry),
}

/// Term and log, persisted if there is a data file.
pub struct Log {
    /// Never decreases.
    pub term: u64,
    pub entries: Vec<Entry>,
    /// Result of applying `entries` in order.
    pub tables: Tables,
    file: Option<std::fs::File>,
}

impl Log {
    /// Opens the log and replays the data file up to the first record that does not parse.
    pub fn open(path: Option<&str>) -> Log {
        let mut log = Log {
            term: 1,
            entries: Vec::new(),
            tables: Tables::new(),
            file: None,
        };
        let Some(path) = path else { return log };
        if let Ok(file) = std::fs::File::open(path) {
            for line in BufReader::new(file).lines().map_while(Result::ok) {
                match serde_json::from_str(&line) {
                    Ok(LogRecord::Term(t)) => log.term = t,
                    Ok(LogRecord::Truncate(n)) => log.truncate(n),
                    Ok(LogRecord::Append(e)) => log.append(e),
                    Err(_) => break,
                }
            }
        }
        log.file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .ok();
        log
    }

    fn persist(&mut self, record: &LogRecord) {
        if let Some(file) = &mut self.file {
            let mut line = serde_json::to_string(record).expect("log records serialize to JSON");
            line.push('\n');
            file.write_all(line.as_bytes())
                .expect("failed to write the data file");
        }
    }

    pub fn set_term(&mut self, term: u64) {
        assert!(term >= self.term, "the term must not decrease");
        self.term = term;
        self.persist(&LogRecord::Term(term));
    }

    pub fn append(&mut self, entry: Entry) {
        for op in &entry.ops {
            apply(&mut self.tables, op);
        }
        if self.file.is_some() {
            self.persist(&LogRecord::Append(entry.clone()));
        }
        self.entries.push(entry);
    }

    /// Keeps the first `len` entries and rebuilds the tables from them.
    pub fn truncate(&mut self, len: usize) {
        if len >= self.entries.len() {
            return;
        }
        self.entries.truncate(len);
        self.tables.clear();
        for entry in &self.entries {
            for op in &entry.ops {
                apply(&mut self.tables, op);
            }
        }
        self.persist(&LogRecord::Truncate(len));
    }

    /// Term of the last entry and length of the log.
    pub fn last_position(&self) -> (u64, u64) {
        (
            self.entries.last().map_or(0, |e| e.term),
            self.entries.len() as u64,
        )
    }

    /// Consecutive entries of one term as (term, end index); enough to find where two logs diverge,
    /// because entries with equal term and index are equal.
    pub fn term_runs(&self) -> Vec<(u64, usize)> {
        let mut runs: Vec<(u64, usize)> = Vec::new();
        for (i, entry) in self.entries.iter().enumerate() {
            match runs.last_mut() {
                Some(run) if run.0 == entry.term => run.1 = i + 1,
                _ => runs.push((entry.term, i + 1)),
            }
        }
        runs
    }

    /// Length of the prefix that this log shares with a log that has the given term runs.
    pub fn common_prefix(&self, runs: &[(u64, usize)]) -> usize {
        let mut len = 0;
        for (mine, theirs) in self.term_runs().iter().zip(runs) {
            if mine.0 != theirs.0 {
                break;
            }
            len = mine.1.min(theirs.1);
            if mine.1 != theirs.1 {
                break;
            }
        }
        len
    }
}
