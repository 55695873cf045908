//! The `status` and `report` commands.

use std::collections::BTreeSet;

use crate::args::Target;
use crate::operator::{FleetClient, block_on};
use crate::report_result;

/// Prints the daemons and groups of the fleet.
pub fn status(target: &Target) -> i32 {
    report_result(block_on(async {
        let fleet = FleetClient::open(target)?.collect_stats().await?;
        if target.json {
            let silent: Vec<&str> = fleet.unreachable.iter().map(|(n, _)| &**n).collect();
            println!(
                "{}",
                serde_json::json!({ "daemons": fleet.stats, "silent": silent })
            );
            return Ok(());
        }
        for (name, error) in &fleet.unreachable {
            println!("daemon {name}: not heard ({error})");
        }
        for s in &fleet.stats {
            let state = if s.leaving { "stopping" } else { "live" };
            println!(
                "daemon {} in {}: {state}, {} callers",
                s.name, s.data_center, s.callers
            );
        }
        let mut groups = std::collections::BTreeMap::new();
        for g in fleet.stats.iter().flat_map(|s| &s.groups) {
            let newest = groups.entry(g.group.clone()).or_insert((0, Box::from("")));
            *newest = newest.clone().max((g.term, g.leader.clone()));
        }
        for (name, (term, leader)) in groups {
            println!(
                "group {name}: term {term}, primary {}",
                if leader.is_empty() {
                    "not known"
                } else {
                    &leader
                }
            );
        }
        Ok(())
    }))
}

/// Prints the burn report and writes it to the given files.
pub fn burn(target: &Target, html: Option<&str>, svg: Option<&str>) -> i32 {
    report_result(block_on(async {
        let client = FleetClient::open(target)?;
        let fleet = client.collect_stats().await?;
        let mut institutions = Vec::new();
        let names: BTreeSet<_> = fleet
            .stats
            .iter()
            .flat_map(|s| &s.versions)
            .map(|k| k.name.clone())
            .collect();
        for name in names.iter().filter(|n| !n.starts_with('@')) {
            let value = client.object(name).await?.unwrap_or_default();
            institutions.push(serde_json::from_value(value).map_err(|e| e.to_string())?);
        }
        let silent = fleet.unreachable.into_iter().map(|(n, _)| n).collect();
        let burn = report::build(&report::Input {
            stats: fleet.stats,
            silent,
            institutions,
        });
        let write = |file: &str, text: String| {
            std::fs::write(file, text).map_err(|e| format!("{file}: {e}"))
        };
        if let Some(file) = html {
            write(file, report::html(&burn))?;
        }
        if let Some(file) = svg {
            write(file, report::svg(&burn)?)?;
        }
        if target.json {
            println!(
                "{}",
                serde_json::to_string(&burn).map_err(|e| e.to_string())?
            );
        } else {
            print!("{}", report::text(&burn));
        }
        Ok(())
    }))
}
