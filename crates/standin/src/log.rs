//! The replicated log of a member and the tables it builds.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};

use serde::{Deserialize, Serialize};

/// One change to one row.
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

/// One committed transaction, or the marker of a new term when `ops` is empty.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub ops: Vec<Op>,
}

/// A row is a key and a value; a table keeps duplicates, so that doubled work can be seen.
pub type Tables = BTreeMap<Box<str>, Vec<(Box<str>, Box<str>)>>;

/// The only table whose keys are unique.
pub const KEYS_TABLE: &str = "hollyreach_keys";

/// Applies one change to the tables and returns how many rows it touched.
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
            let hits = rows.iter_mut().filter(|r| r.0 == *key);
            hits.map(|r| r.1 = val.clone()).count()
        }
        Op::Delete { table, key } => {
            let rows = tables.entry(table.clone()).or_default();
            let before = rows.len();
            rows.retain(|r| r.0 != *key);
            before - rows.len()
        }
    }
}

/// A line of the data file.
#[derive(Serialize, Deserialize)]
enum Line {
    Term(u64),
    Truncate(usize),
    Append(Entry),
}

/// Term and log, kept in a file when one is named.
pub struct Log {
    /// Never falls.
    pub term: u64,
    pub entries: Vec<Entry>,
    /// Always what `entries` builds.
    pub tables: Tables,
    file: Option<std::fs::File>,
}

impl Log {
    /// Opens the log and replays what the file holds.
    pub fn open(path: Option<&str>) -> Log {
        let mut log = Log {
            term: 1,
            entries: Vec::new(),
            tables: Tables::new(),
            file: None,
        };
        let Some(path) = path else { return log };
        if let Ok(file) = std::fs::File::open(path) {
            for text in BufReader::new(file).lines().map_while(Result::ok) {
                match serde_json::from_str(&text) {
                    Ok(Line::Term(t)) => log.term = t,
                    Ok(Line::Truncate(n)) => log.truncate(n),
                    Ok(Line::Append(e)) => log.append(e),
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

    fn write(&mut self, line: &Line) {
        if let Some(file) = &mut self.file {
            let mut text = serde_json::to_string(line).expect("a line is plain data");
            text.push('\n');
            file.write_all(text.as_bytes())
                .expect("the data file accepts writes");
        }
    }

    pub fn set_term(&mut self, term: u64) {
        assert!(term >= self.term, "a term never falls");
        self.term = term;
        self.write(&Line::Term(term));
    }

    pub fn append(&mut self, entry: Entry) {
        for op in &entry.ops {
            apply(&mut self.tables, op);
        }
        if self.file.is_some() {
            self.write(&Line::Append(entry.clone()));
        }
        self.entries.push(entry);
    }

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
        self.write(&Line::Truncate(len));
    }

    /// Term and length of the log: its last position.
    pub fn last(&self) -> (u64, u64) {
        (
            self.entries.last().map_or(0, |e| e.term),
            self.entries.len() as u64,
        )
    }

    /// Runs of equal terms as (term, end index), enough to find where two logs part.
    pub fn runs(&self) -> Vec<(u64, usize)> {
        let mut runs: Vec<(u64, usize)> = Vec::new();
        for (i, entry) in self.entries.iter().enumerate() {
            match runs.last_mut() {
                Some(run) if run.0 == entry.term => run.1 = i + 1,
                _ => runs.push((entry.term, i + 1)),
            }
        }
        runs
    }

    /// Length of the prefix that this log shares with one of the given runs.
    pub fn shared(&self, runs: &[(u64, usize)]) -> usize {
        let mut shared = 0;
        for (mine, theirs) in self.runs().iter().zip(runs) {
            if mine.0 != theirs.0 {
                break;
            }
            shared = mine.1.min(theirs.1);
            if mine.1 != theirs.1 {
                break;
            }
        }
        shared
    }
}
