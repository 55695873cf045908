//! JSON Patches of configuration objects.

use std::fmt;

use schema::{Institution, PatchNote, ValidationError};
use serde_json::Value;

/// Maximum number of patch identifiers kept in an object.
const MAX_RECENT_PATCHES: usize = 32;

/// Reason why a patch cannot be applied.
#[derive(Debug)]
pub enum PatchError {
    /// The text cannot be parsed, the patch does not apply to the object or changes its name, or
    /// the result is not an institution.
    Malformed(Box<str>),
    /// The result fails validation.
    Invalid(Vec<ValidationError>),
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PatchError::Malformed(text) => write!(f, "{text}"),
            PatchError::Invalid(errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
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
/// `PatchError::Malformed` if the text is not a JSON Patch or does not apply to the object.
pub fn apply_patch(base: &Value, text: &str) -> Result<Value, PatchError> {
    let patch: json_patch::Patch = serde_json::from_str(text).map_err(|e| malformed(&e))?;
    let mut value = base.clone();
    json_patch::patch(&mut value, &patch).map_err(|e| malformed(&e))?;
    Ok(value)
}

/// Returns the JSON Patch that turns `old` into `new`.
pub fn create_patch(old: &Value, new: &Value) -> Box<str> {
    let patch = json_patch::diff(old, new);
    serde_json::to_string(&patch)
        .expect("a JSON Patch can be serialized")
        .into()
}

/// Creates the next version of an institution from a patch, or without `base` the first version
/// from a full object.
///
/// The fields `version` and `recent` are set by this function; values that `patch_or_object` gives
/// them are ignored.
///
/// # Errors
/// `PatchError::Malformed` if `patch_or_object` cannot be parsed or applied, or renames the
/// institution; `PatchError::Invalid` if the result fails validation.
pub fn next_version(
    base: Option<&Institution>,
    patch_id: &str,
    patch_or_object: &str,
) -> Result<Institution, PatchError> {
    let value = match base {
        Some(base) => apply_patch(
            &serde_json::to_value(base).map_err(|e| malformed(&e))?,
            patch_or_object,
        )?,
        None => serde_json::from_str(patch_or_object).map_err(|e| malformed(&e))?,
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
        id: patch_id.into(),
        version: next.version,
    });
    let excess = next.recent.len().saturating_sub(MAX_RECENT_PATCHES);
    next.recent.drain(..excess);
    let errors = next.validate();
    if errors.is_empty() {
        Ok(next)
    } else {
        Err(PatchError::Invalid(errors))
    }
}
