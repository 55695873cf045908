//! Times in milliseconds that may be written with a fraction.

use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// Reads a time in ms, which is rounded up: the platform may state its bounds as fractions.
///
/// # Errors
/// When the value is no number, or none that a time can have.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let ms = f64::deserialize(deserializer)?;
    if !ms.is_finite() || ms < 0.0 {
        return Err(D::Error::custom(format!("{ms}, expected a time in ms")));
    }
    Ok(ms.ceil() as u64)
}
