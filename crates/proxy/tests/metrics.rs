//! Guards against served metrics that are not documented, and the reverse.

use std::collections::BTreeSet;

use proxy::{AccountLabels, Outcome, ReadLabels, StatementLabels, Stats};

/// Names and descriptions in docs/METRICS.md.
fn documented() -> BTreeSet<(String, String)> {
    let page = include_str!("../../../docs/METRICS.md");
    let rows = page.lines().filter_map(|line| {
        let rest = line.strip_prefix("| `hollyreach_")?;
        let (name, doc) = rest.strip_suffix(" |")?.split_once("` | ")?;
        Some((name.to_owned(), doc.to_owned()))
    });
    rows.collect()
}

/// Names and descriptions in the served text.
fn served() -> BTreeSet<(String, String)> {
    let stats = Stats::default();
    // A metric with labels is served only once it has a value.
    let labels = StatementLabels {
        group: "g".to_owned(),
        outcome: Outcome::Served,
        write: "false",
    };
    let read_labels = ReadLabels {
        role: "replica",
        reason: "cheapest",
    };
    stats.statements.get_or_create(&labels).inc();
    stats.reads.get_or_create(&read_labels).inc();
    let account = || AccountLabels {
        account: "a".to_owned(),
    };
    stats.quota_admitted.get_or_create(&account()).inc();
    stats.quota_refused.get_or_create(&account()).inc();
    stats.count_store_call("config");
    stats.count_relay_left("silent");
    let text = stats.text();
    let rows = text.lines().filter_map(|line| {
        let rest = line.strip_prefix("# HELP hollyreach_")?;
        let (name, help) = rest.split_once(' ')?;
        Some((name.to_owned(), help.trim_end_matches('.').to_owned()))
    });
    rows.collect()
}

#[test]
fn the_documentation_lists_all_served_metrics() {
    assert!(!served().is_empty());
    assert_eq!(documented(), served());
}
