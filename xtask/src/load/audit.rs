//! Compares the outcomes reported to callers with the rows that a member holds.

use std::collections::HashMap;

use serde::Serialize;

use crate::load::caller::{Caller, Outcome};

/// A write and its outcome.
#[derive(Clone, Debug)]
pub struct WriteRecord {
    /// Unique for each write.
    pub key: String,
    pub outcome: Outcome,
}

/// Result of an audit; every count but `present` must be zero. A write with an unknown outcome
/// counts only in `doubled`, since it may or may not have been applied.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Audit {
    /// Acknowledged writes that the member does not hold.
    pub lost: u64,
    /// Superfluous rows of writes that were applied more than once.
    pub doubled: u64,
    /// Writes that were applied although they were reported as not run or failed.
    pub false_refusals: u64,
    /// Rows that the member holds.
    pub present: u64,
}

/// Compares the rows of a member, read from it directly, with the outcomes of writes.
///
/// The member must be the current primary, and all writes must have ended: a replica that lags
/// would show writes as lost.
pub async fn audit(
    member_addr: &str,
    table: &str,
    records: &[WriteRecord],
) -> Result<Audit, String> {
    let pairs: Vec<(String, Outcome)> = records
        .iter()
        .map(|r| (r.key.clone(), r.outcome.clone()))
        .collect();
    audit_outcomes(member_addr, table, &pairs).await
}

/// Like `audit`, for pairs of key and outcome.
pub async fn audit_outcomes(
    member_addr: &str,
    table: &str,
    records: &[(String, Outcome)],
) -> Result<Audit, String> {
    let caller = Caller::connect(member_addr, "audit", "audit", "").await?;
    let Outcome::Answer(keys) = caller.simple_query(&format!("SELECT k FROM {table}")).await else {
        return Err(format!("{member_addr} did not return the rows of {table}"));
    };
    let mut counts: HashMap<&str, u64> = HashMap::new();
    for key in &keys {
        *counts.entry(key).or_default() += 1;
    }
    let mut audit = Audit {
        present: keys.len() as u64,
        ..Audit::default()
    };
    for (key, outcome) in records {
        let rows = counts.get(key.as_str()).copied().unwrap_or(0);
        audit.doubled += rows.saturating_sub(1);
        match outcome {
            Outcome::Answer(_) if rows == 0 => audit.lost += 1,
            Outcome::NotRun { .. } | Outcome::Failed(_) if rows > 0 => audit.false_refusals += 1,
            _ => {}
        }
    }
    Ok(audit)
}
