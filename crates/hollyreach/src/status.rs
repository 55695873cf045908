//! The `status` and `report` commands.

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
pub fn burn(_to: &Target, _html: Option<&str>, _svg: Option<&str>) -> i32 {
    finish(Err("not built yet".to_owned()))
}
