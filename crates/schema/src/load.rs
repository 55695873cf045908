//! Reads and validates a daemon's settings file.

use std::fmt;

use crate::check::{check_address, check_names};
use crate::{Gateway, Settings, ValidationError};

/// Minimum length of the fleet's secret.
const MIN_SECRET_BYTES: usize = 16;

/// Reason why settings were rejected.
#[derive(Debug)]
pub enum LoadError {
    /// The file cannot be read.
    Read(Box<str>, std::io::Error),
    /// The text does not match the schema; the error gives line and column.
    Parse(Box<str>, serde_norway::Error),
    /// Values are out of range or contradict each other; each error has a line number, if its line
    /// was found.
    Check(Box<str>, Vec<(Option<usize>, ValidationError)>),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LoadError::Read(file, e) => write!(f, "{file}: {e}"),
            LoadError::Parse(file, e) => match e.location() {
                Some(at) => write!(f, "{file}:{}:{}: {e}", at.line(), at.column()),
                None => write!(f, "{file}: {e}"),
            },
            LoadError::Check(file, errors) => {
                for (i, (line, error)) in errors.iter().enumerate() {
                    let end = if i + 1 == errors.len() { "" } else { "\n" };
                    match line {
                        Some(line) => write!(f, "{file}:{line}: {error}{end}")?,
                        None => write!(f, "{file}: {error}{end}")?,
                    }
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for LoadError {}

/// Reads and validates a settings file.
///
/// # Errors
/// The file cannot be read, does not match the schema, or holds invalid values. The error names the
/// file, the line if it is known, and the expected value.
pub fn load_settings(file: &str) -> Result<Settings, LoadError> {
    let text = std::fs::read_to_string(file).map_err(|e| LoadError::Read(file.into(), e))?;
    parse_settings(file, &text)
}

/// Reads and validates a settings file of the `gateway` command, whose daemon takes its
/// configuration and its members from the platform's metadata store.
///
/// # Errors
/// As `load_settings`.
pub fn load_gateway(file: &str) -> Result<Gateway, LoadError> {
    let text = std::fs::read_to_string(file).map_err(|e| LoadError::Read(file.into(), e))?;
    let settings: Gateway =
        serde_norway::from_str(&text).map_err(|e| LoadError::Parse(file.into(), e))?;
    let mut errors = Vec::new();
    settings.check("", &mut errors);
    settings.check_addresses(&mut errors);
    settings.check_quota(&mut errors);
    into_result(file, &text, settings, errors)
}

/// Parses and validates settings; `file` is used in errors only.
pub(crate) fn parse_settings(file: &str, text: &str) -> Result<Settings, LoadError> {
    let settings: Settings =
        serde_norway::from_str(text).map_err(|e| LoadError::Parse(file.into(), e))?;
    let mut errors = Vec::new();
    settings.check("", &mut errors);
    settings.check_consistency(&mut errors);
    into_result(file, text, settings, errors)
}

/// Returns the settings, or the errors with their line numbers if there are any.
fn into_result<T>(
    file: &str,
    text: &str,
    settings: T,
    errors: Vec<ValidationError>,
) -> Result<T, LoadError> {
    if errors.is_empty() {
        return Ok(settings);
    }
    let located = errors
        .into_iter()
        .map(|error| (line_of(text, &error.path), error))
        .collect();
    Err(LoadError::Check(file.into(), located))
}

/// Returns the line (from 1) of the last key of a path, searching each key below its parent.
///
/// If a key is not found, such as in a mapping written on one line, returns the line of its parent.
fn line_of(text: &str, path: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let mut from = 0;
    let mut found = None;
    for part in path.split('.') {
        let (name, index) = part.split_once('[').map_or((part, None), |(name, rest)| {
            (name, rest.trim_end_matches(']').parse::<usize>().ok())
        });
        let key = format!("{name}:");
        let is_key = |l: &&str| l.trim_start_matches([' ', '-', '{']).starts_with(&key);
        let Some(at) = lines.iter().skip(from).position(is_key) else {
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
    fn check_addresses(&self, out: &mut Vec<ValidationError>) {
        check_address("listen", &self.listen, out);
        check_address("ready", &self.ready, out);
        check_address("store", &self.store, out);
        check_address("orders", &self.orders, out);
        if let Some(internal) = &self.internal {
            check_address("internal", internal, out);
        }
        if let Some(metrics) = &self.metrics {
            check_address("metrics", metrics, out);
        }
    }

    fn check_quota(&self, out: &mut Vec<ValidationError>) {
        let is_amount = |n: f64| n.is_finite() && n >= 0.0;
        if !is_amount(self.quota_window_s) || self.quota_window_s == 0.0 {
            out.push(ValidationError::new(
                "quota_window_s",
                "expected a time above 0 s",
            ));
        }
        if !is_amount(self.quota_overage) {
            out.push(ValidationError::new("quota_overage", "expected 0 or more"));
        }
        if !is_amount(self.quota_slack) {
            out.push(ValidationError::new("quota_slack", "expected 0 or more"));
        }
        let centers = self.quota_data_centers.as_deref();
        let centers = centers.filter(|list| !list.trim().is_empty());
        let is_listed = |list: &str| {
            list.split_whitespace()
                .any(|name| name == &*self.data_center)
        };
        if centers.is_some_and(|list| !is_listed(list)) {
            out.push(ValidationError::new(
                "quota_data_centers",
                "expected the data centre of this VM among them",
            ));
        }
    }
}

impl Settings {
    /// Adds an error for each invalid address, name or secret, and for each pair of contradictory
    /// values.
    fn check_consistency(&self, out: &mut Vec<ValidationError>) {
        check_address("listen", &self.listen, out);
        check_address("internal", &self.internal, out);
        check_address("platform", &self.platform, out);
        if let Some(statsd) = &self.statsd {
            check_address("statsd", statsd, out);
        }
        for (i, seed) in self.seeds.iter().enumerate() {
            check_address(&format!("seeds[{i}].addr"), &seed.addr, out);
        }
        check_names("seeds", self.seeds.iter().map(|s| &*s.name), out);
        if self.listen == self.internal {
            out.push(ValidationError::new(
                "internal",
                "is the same as listen, expected another address",
            ));
        }
        if self.name.is_empty() || self.data_center.is_empty() {
            out.push(ValidationError::new(
                "name",
                "expected a name and a data centre",
            ));
        }
        if self.secret.len() < MIN_SECRET_BYTES {
            let text = format!("expected at least {MIN_SECRET_BYTES} characters");
            out.push(ValidationError::new("secret", text));
        }
        let t = &self.timing;
        if t.refused_ms >= t.suspect_ms {
            out.push(ValidationError::new(
                "timing.refused_ms",
                "expected less than suspect_ms",
            ));
        }
        if t.connect_ms > t.deadline_ms {
            out.push(ValidationError::new(
                "timing.connect_ms",
                "expected no more than deadline_ms",
            ));
        }
        if self.limits.message_bytes > self.limits.answer_bytes {
            out.push(ValidationError::new(
                "limits.message_bytes",
                "expected no more than answer_bytes",
            ));
        }
    }
}
