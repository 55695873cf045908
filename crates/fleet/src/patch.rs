//! Patches of configuration objects.

use std::fmt;

use schema::{Fault, Institution, PatchNote};
use serde_json::Value;

/// Patches whose identifiers an object remembers.
const RECENT_MAX: usize = 32;

/// Why a patch cannot be applied.
#[derive(Debug)]
pub enum PatchError {
    /// It is not a JSON Patch, or does not fit the object.
    Malformed(Box<str>),
    /// The result does not pass the checks.
    Faults(Vec<Fault>),
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PatchError::Malformed(text) => write!(f, "{text}"),
            PatchError::Faults(faults) => {
                let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
                write!(f, "{}", texts.join("; "))
            }
        }
    }
}

fn malformed(e: &impl ToString) -> PatchError {
    PatchError::Malformed(e.to_string().into())
}

/// Applies a JSON Patch to an object.
///
/// # Errors
/// Fails when the text is no JSON Patch or does not fit.
pub fn apply_patch(base: &Value, text: &str) -> Result<Value, PatchError> {
    let patch: json_patch::Patch = serde_json::from_str(text).map_err(|e| malformed(&e))?;
    let mut value = base.clone();
    json_patch::patch(&mut value, &patch).map_err(|e| malformed(&e))?;
    Ok(value)
}

/// The JSON Patch that leads from one object to another.
pub fn delta(old: &Value, new: &Value) -> Box<str> {
    let patch = json_patch::diff(old, new);
    serde_json::to_string(&patch)
        .expect("a patch is plain data")
        .into()
}

/// Makes the next version of an institution from a patch, or the first one from a whole object.
///
/// # Errors
/// Fails when the patch does not fit or its result does not pass the checks.
pub fn next_version(
    base: Option<&Institution>,
    id: &str,
    text: &str,
) -> Result<Institution, PatchError> {
    let value = match base {
        Some(base) => apply_patch(
            &serde_json::to_value(base).map_err(|e| malformed(&e))?,
            text,
        )?,
        None => serde_json::from_str(text).map_err(|e| malformed(&e))?,
    };
    let mut next: Institution = serde_json::from_value(value).map_err(|e| malformed(&e))?;
    next.version = base.map_or(0, |b| b.version) + 1;
    next.recent = base.map_or_else(Vec::new, |b| b.recent.clone());
    if let Some(base) = base
        && base.name != next.name
    {
        return Err(PatchError::Malformed(
            "an institution keeps its name".into(),
        ));
    }
    next.recent.push(PatchNote {
        id: id.into(),
        version: next.version,
    });
    let extra = next.recent.len().saturating_sub(RECENT_MAX);
    next.recent.drain(..extra);
    let faults = next.faults();
    if faults.is_empty() {
        Ok(next)
    } else {
        Err(PatchError::Faults(faults))
    }
}
