//! State and statistics of members and daemons, and fault injection into members.

use std::process::Command;

use serde_json::Value;

use super::{Cluster, target_dir};
use crate::load::{Caller, Outcome};

impl Cluster {
    /// Address of the member that reports itself primary in the newest term of a group.
    pub async fn primary_addr(&self, institution: &str, group: &str) -> Result<String, String> {
        let mut newest: Option<(u64, String)> = None;
        for member in self.group_members(institution, group) {
            let Some((term, is_primary)) = self.member_term(&member.addr).await else {
                continue;
            };
            if is_primary && newest.as_ref().is_none_or(|b| b.0 < term) {
                newest = Some((term, member.addr));
            }
        }
        newest
            .map(|b| b.1)
            .ok_or_else(|| format!("no member of {institution}/{group} reports itself primary"))
    }

    /// Term of a member and whether it reports itself primary; `None` without an answer within
    /// 500 ms.
    pub async fn member_term(&self, addr: &str) -> Option<(u64, bool)> {
        let connect = Caller::connect(addr, "look", "look", "");
        let caller = tokio::time::timeout(std::time::Duration::from_millis(500), connect)
            .await
            .ok()?
            .ok()?;
        let row = caller.first_row("SELECT hollyreach_status('')").await?;
        Some((row.get(1)?.parse().ok()?, row.get(2)? == "t"))
    }

    /// Sets a fault parameter of a member, such as `lag_ms`.
    pub async fn inject_fault(&self, addr: &str, fault: &str, val: u64) -> Result<(), String> {
        let caller = Caller::connect(addr, "fault", "fault", "").await?;
        match caller
            .simple_query(&format!("SELECT hollyreach_fault('', '{fault}', {val})"))
            .await
        {
            Outcome::Answer(_) => Ok(()),
            other => Err(format!("{other:?}")),
        }
    }

    /// Runs a `hollyreach` command and returns its exit code and its output, `stdout` first.
    pub fn run_cli(&self, args: &[&str]) -> Result<(i32, String), String> {
        let output = Command::new(target_dir().join("release/hollyreach"))
            .args(args)
            .output()
            .map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        Ok((output.status.code().unwrap_or(-1), text))
    }

    /// Statistics of all daemons, as JSON of the `status` command.
    pub fn stats(&self) -> Result<Value, String> {
        let file = self.operator_settings()?;
        let (code, text) = self.run_cli(&["status", "--config", &file, "--json"])?;
        if code != 0 {
            return Err(text);
        }
        serde_json::from_str(&text).map_err(|e| e.to_string())
    }

    /// Share of reads that replicas served, from 0 to 1, by the daemons' counters.
    pub fn replica_share(&self) -> Result<f64, String> {
        let (by_replicas, all) = self
            .reads_by_place()?
            .into_iter()
            .fold((0, 0), |(r, a), (place, count)| {
                (if place == "replica" { r + count } else { r }, a + count)
            });
        #[allow(clippy::cast_precision_loss)]
        Ok(if all == 0 {
            0.0
        } else {
            by_replicas as f64 / all as f64
        })
    }

    /// Number of reads by the place that served them, over all daemons.
    pub fn reads_by_place(&self) -> Result<std::collections::BTreeMap<String, u64>, String> {
        let stats = self.stats()?;
        let mut reads = std::collections::BTreeMap::new();
        for daemon in stats["daemons"].as_array().into_iter().flatten() {
            for window in daemon["windows"].as_array().into_iter().flatten() {
                for served in window["reads"].as_array().into_iter().flatten() {
                    let place = served["place"].as_str().unwrap_or_default().to_owned();
                    *reads.entry(place).or_default() += served["count"].as_u64().unwrap_or(0);
                }
            }
        }
        Ok(reads)
    }
}
