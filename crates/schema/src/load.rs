//! Reads and checks a daemon's settings file.

use std::fmt;

use crate::check::{address, names};
use crate::{Fault, Gateway, Settings};

/// Shortest secret that is accepted, in characters.
const SECRET_LEN: usize = 16;

/// Why settings were not accepted.
#[derive(Debug)]
pub enum LoadError {
    /// The file cannot be read.
    Read(Box<str>, std::io::Error),
    /// The text does not fit the schema; the message holds line and column.
    Parse(Box<str>, serde_norway::Error),
    /// Values are out of range or contradict each other.
    Check(Box<str>, Vec<(Option<usize>, Fault)>),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LoadError::Read(file, e) => write!(f, "{file}: {e}"),
            LoadError::Parse(file, e) => match e.location() {
                Some(at) => write!(f, "{file}:{}:{}: {e}", at.line(), at.column()),
                None => write!(f, "{file}: {e}"),
            },
            LoadError::Check(file, faults) => {
                for (i, (line, fault)) in faults.iter().enumerate() {
                    let end = if i + 1 == faults.len() { "" } else { "\n" };
                    match line {
                        Some(line) => write!(f, "{file}:{line}: {fault}{end}")?,
                        None => write!(f, "{file}: {fault}{end}")?,
                    }
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for LoadError {}

/// Reads and checks a settings file before anything is opened.
///
/// # Errors
/// Names the file, the line where one is known, and what was expected.
pub fn load_settings(file: &str) -> Result<Settings, LoadError> {
    let text = std::fs::read_to_string(file).map_err(|e| LoadError::Read(file.into(), e))?;
    parse_settings(file, &text)
}

/// Reads and checks the settings of a daemon that serves on the platform.
///
/// # Errors
/// As `load_settings`.
pub fn load_gateway(file: &str) -> Result<Gateway, LoadError> {
    let text = std::fs::read_to_string(file).map_err(|e| LoadError::Read(file.into(), e))?;
    let settings: Gateway =
        serde_norway::from_str(&text).map_err(|e| LoadError::Parse(file.into(), e))?;
    let mut faults = Vec::new();
    settings.check("", &mut faults);
    settings.addresses(&mut faults);
    finish(file, &text, settings, faults)
}

/// As `load_settings`, from text.
pub(crate) fn parse_settings(file: &str, text: &str) -> Result<Settings, LoadError> {
    let settings: Settings =
        serde_norway::from_str(text).map_err(|e| LoadError::Parse(file.into(), e))?;
    let mut faults = Vec::new();
    settings.check("", &mut faults);
    settings.contradictions(&mut faults);
    finish(file, text, settings, faults)
}

/// Hands settings out when nothing is wrong with them.
fn finish<T>(file: &str, text: &str, settings: T, faults: Vec<Fault>) -> Result<T, LoadError> {
    if faults.is_empty() {
        return Ok(settings);
    }
    let lined = faults
        .into_iter()
        .map(|fault| (line_of(text, &fault.path), fault))
        .collect();
    Err(LoadError::Check(file.into(), lined))
}

/// Line on which the last key of a path first stands, looked for below its parents.
///
/// When a key cannot be found, as inside a mapping on one line, its parent's line is told.
fn line_of(text: &str, path: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let mut from = 0;
    let mut found = None;
    for part in path.split('.') {
        let (name, index) = part.split_once('[').map_or((part, None), |(name, rest)| {
            (name, rest.trim_end_matches(']').parse::<usize>().ok())
        });
        let wanted = format!("{name}:");
        let holds = |l: &&str| l.trim_start_matches([' ', '-', '{']).starts_with(&wanted);
        let Some(at) = lines.iter().skip(from).position(holds) else {
            return found;
        };
        (found, from) = (Some(from + at + 1), from + at + 1);
        if let Some(index) = index {
            let is_item = |i: &usize| lines[*i].trim_start().starts_with("- ");
            from = (from..lines.len())
                .filter(is_item)
                .nth(index)
                .unwrap_or(from);
            found = Some(from + 1);
        }
    }
    found
}

impl Gateway {
    fn addresses(&self, out: &mut Vec<Fault>) {
        address("listen", &self.listen, out);
        address("ready", &self.ready, out);
        address("store", &self.store, out);
        address("orders", &self.orders, out);
        if let Some(internal) = &self.internal {
            address("internal", internal, out);
        }
        if let Some(metrics) = &self.metrics {
            address("metrics", metrics, out);
        }
    }
}

impl Settings {
    /// Adds a fault for each pair of values that cannot both hold.
    fn contradictions(&self, out: &mut Vec<Fault>) {
        address("listen", &self.listen, out);
        address("internal", &self.internal, out);
        address("platform", &self.platform, out);
        if let Some(statsd) = &self.statsd {
            address("statsd", statsd, out);
        }
        for (i, seed) in self.seeds.iter().enumerate() {
            address(&format!("seeds[{i}].addr"), &seed.addr, out);
        }
        names("seeds", self.seeds.iter().map(|s| &*s.name), out);
        if self.listen == self.internal {
            out.push(Fault::new(
                "internal",
                "is the same as listen, expected another address",
            ));
        }
        if self.name.is_empty() || self.data_center.is_empty() {
            out.push(Fault::new("name", "expected a name and a data centre"));
        }
        if self.secret.len() < SECRET_LEN {
            let text = format!("expected {SECRET_LEN} characters at least");
            out.push(Fault::new("secret", text));
        }
        let t = &self.timing;
        if t.refused_ms >= t.suspect_ms {
            out.push(Fault::new(
                "timing.refused_ms",
                "expected less than suspect_ms",
            ));
        }
        if t.connect_ms > t.deadline_ms {
            out.push(Fault::new(
                "timing.connect_ms",
                "expected no more than deadline_ms",
            ));
        }
        if self.limits.message_bytes > self.limits.answer_bytes {
            out.push(Fault::new(
                "limits.message_bytes",
                "expected no more than answer_bytes",
            ));
        }
    }
}
