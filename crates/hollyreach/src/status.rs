//! The `status` and `report` commands.

use std::collections::BTreeSet;

use crate::args::Target;
use crate::finish;
use crate::operator::{Fleet, block_on};

/// Shows daemons and groups.
pub fn status(to: &Target) -> i32 {
    finish(block_on(async {
        let heard = Fleet::open(to)?.hear_all().await?;
        if to.json {
            let silent: Vec<&str> = heard.silent.iter().map(|(n, _)| &**n).collect();
            println!(
                "{}",
                serde_json::json!({ "daemons": heard.stats, "silent": silent })
            );
            return Ok(());
        }
        for (name, why) in &heard.silent {
            println!("daemon {name}: not heard ({why})");
        }
        for s in &heard.stats {
            let state = if s.leaving { "stopping" } else { "live" };
            println!(
                "daemon {} in {}: {state}, {} callers",
                s.name, s.data_center, s.callers
            );
        }
        let mut groups = std::collections::BTreeMap::new();
        for g in heard.stats.iter().flat_map(|s| &s.groups) {
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

/// Makes the burn report.
pub fn burn(to: &Target, html: Option<&str>, svg: Option<&str>) -> i32 {
    finish(block_on(async {
        let fleet = Fleet::open(to)?;
        let heard = fleet.hear_all().await?;
        let mut institutions = Vec::new();
        let names: BTreeSet<_> = heard
            .stats
            .iter()
            .flat_map(|s| &s.versions)
            .map(|k| k.name.clone())
            .collect();
        for name in names.iter().filter(|n| !n.starts_with('@')) {
            let value = fleet.object(name).await?.unwrap_or_default();
            institutions.push(serde_json::from_value(value).map_err(|e| e.to_string())?);
        }
        let silent = heard.silent.into_iter().map(|(n, _)| n).collect();
        let burn = report::build(&report::Input {
            stats: heard.stats,
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
        if to.json {
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
