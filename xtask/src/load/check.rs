//! Compares what callers were told with what the stand-ins recorded.

use std::collections::HashMap;

use serde::Serialize;

use crate::load::caller::{Caller, Outcome};

/// One write and what its caller was told.
#[derive(Clone, Debug)]
pub struct WriteRecord {
    /// Key, unique for each write.
    pub key: String,
    /// What was told.
    pub told: Outcome,
}

/// What the comparison found. Everything but `present` must be zero.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Audit {
    /// Acknowledged writes that the primary does not hold.
    pub lost: u64,
    /// Writes that stand more than once.
    pub doubled: u64,
    /// Writes refused as not run that were made.
    pub false_refusals: u64,
    /// Rows seen.
    pub present: u64,
}

/// Reads a member's own rows and compares them with what callers were told.
pub async fn audit(member: &str, table: &str, records: &[WriteRecord]) -> Result<Audit, String> {
    let pairs: Vec<(String, Outcome)> = records
        .iter()
        .map(|r| (r.key.clone(), r.told.clone()))
        .collect();
    audit_outcomes(member, table, &pairs).await
}

/// As `audit`, of keys with what their callers were told.
pub async fn audit_outcomes(
    member: &str,
    table: &str,
    records: &[(String, Outcome)],
) -> Result<Audit, String> {
    let caller = Caller::connect(member, "audit", "audit", "").await?;
    let Outcome::Answer(keys) = caller.simple_query(&format!("SELECT k FROM {table}")).await else {
        return Err(format!("{member} does not show its rows"));
    };
    let mut count: HashMap<&str, u64> = HashMap::new();
    for key in &keys {
        *count.entry(key).or_default() += 1;
    }
    let mut audit = Audit {
        present: keys.len() as u64,
        ..Audit::default()
    };
    for (key, told) in records {
        let found = count.get(key.as_str()).copied().unwrap_or(0);
        audit.doubled += found.saturating_sub(1);
        match told {
            Outcome::Answer(_) if found == 0 => audit.lost += 1,
            Outcome::NotRun { .. } | Outcome::Failed(_) if found > 0 => audit.false_refusals += 1,
            _ => {}
        }
    }
    Ok(audit)
}
