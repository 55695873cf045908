//! Faults found in settings and configuration objects.

use std::fmt;

/// One fault: where it is and what was expected.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Path of the value, such as `timing.suspect_ms`.
    pub path: Box<str>,
    /// What was found and what was expected.
    pub text: Box<str>,
}

impl Fault {
    /// Makes a fault.
    pub fn new(path: impl Into<Box<str>>, text: impl Into<Box<str>>) -> Fault {
        Fault {
            path: path.into(),
            text: text.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// Adds a fault when a number lies outside its range.
pub fn range(path: &str, val: u64, min: u64, max: u64, unit: &str, out: &mut Vec<Fault>) {
    if !(min..=max).contains(&val) {
        out.push(Fault::new(
            path,
            format!("is {val}, expected {min} to {max} {unit}"),
        ));
    }
}

/// Adds a fault when an address is not `IP:PORT`.
pub fn address(path: &str, addr: &str, out: &mut Vec<Fault>) {
    if addr.parse::<std::net::SocketAddr>().is_err() {
        out.push(Fault::new(path, format!("is {addr:?}, expected IP:PORT")));
    }
}

/// Adds a fault for each name that stands twice, or is empty.
pub fn names<'a>(path: &str, names: impl Iterator<Item = &'a str>, out: &mut Vec<Fault>) {
    let mut seen = std::collections::BTreeSet::new();
    for (i, name) in names.enumerate() {
        if name.is_empty() || name.contains('/') {
            out.push(Fault::new(
                format!("{path}[{i}].name"),
                "expected a name without slash",
            ));
        }
        if !seen.insert(name) {
            out.push(Fault::new(
                format!("{path}[{i}].name"),
                format!("{name:?} stands twice"),
            ));
        }
    }
}
