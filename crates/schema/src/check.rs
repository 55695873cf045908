//! Validation of settings and configuration objects.

use std::fmt;

/// An invalid value in settings or in a configuration object.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationError {
    /// Path of the value, such as `timing.suspect_ms`.
    pub path: Box<str>,
    /// What was found and what was expected.
    pub text: Box<str>,
}

impl ValidationError {
    pub fn new(path: impl Into<Box<str>>, text: impl Into<Box<str>>) -> ValidationError {
        ValidationError {
            path: path.into(),
            text: text.into(),
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// Adds an error if a number is outside its range.
pub fn check_range(
    path: &str,
    val: u64,
    min: u64,
    max: u64,
    unit: &str,
    out: &mut Vec<ValidationError>,
) {
    if !(min..=max).contains(&val) {
        out.push(ValidationError::new(
            path,
            format!("is {val}, expected {min} to {max} {unit}"),
        ));
    }
}

/// Adds an error if an address is not `IP:PORT`.
pub fn check_address(path: &str, addr: &str, out: &mut Vec<ValidationError>) {
    if addr.parse::<std::net::SocketAddr>().is_err() {
        out.push(ValidationError::new(
            path,
            format!("is {addr:?}, expected IP:PORT"),
        ));
    }
}

/// Adds an error for each name that is empty, contains a slash or occurs more than once.
pub fn check_names<'a>(
    path: &str,
    names: impl Iterator<Item = &'a str>,
    out: &mut Vec<ValidationError>,
) {
    let mut seen = std::collections::BTreeSet::new();
    for (i, name) in names.enumerate() {
        if name.is_empty() || name.contains('/') {
            out.push(ValidationError::new(
                format!("{path}[{i}].name"),
                "expected a name without slash",
            ));
        }
        if !seen.insert(name) {
            out.push(ValidationError::new(
                format!("{path}[{i}].name"),
                format!("{name:?} stands twice"),
            ));
        }
    }
}
