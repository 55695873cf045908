//! The catalogue of metrics and what is served agree.

use std::collections::BTreeSet;

use proxy::{Outcome, ReadLabels, StatementLabels, Stats};

/// Names and meanings in docs/METRICS.md.
fn catalogue() -> BTreeSet<(String, String)> {
    let page = include_str!("../../../docs/METRICS.md");
    let rows = page.lines().filter_map(|line| {
        let rest = line.strip_prefix("| `hollyreach_")?;
        let (name, doc) = rest.strip_suffix(" |")?.split_once("` | ")?;
        Some((name.to_owned(), doc.to_owned()))
    });
    rows.collect()
}

/// Names and meanings in the text that is served.
fn served() -> BTreeSet<(String, String)> {
    let stats = Stats::default();
    // Families without a member are not served.
    let labels = StatementLabels {
        group: "g".to_owned(),
        outcome: Outcome::Served,
        write: "false",
    };
    let place = ReadLabels {
        role: "replica",
        reason: "cheapest",
    };
    stats.statements.get_or_create(&labels).inc();
    stats.reads.get_or_create(&place).inc();
    let text = stats.text();
    let rows = text.lines().filter_map(|line| {
        let rest = line.strip_prefix("# HELP hollyreach_")?;
        let (name, help) = rest.split_once(' ')?;
        Some((name.to_owned(), help.trim_end_matches('.').to_owned()))
    });
    rows.collect()
}

#[test]
fn the_catalogue_lists_what_is_served() {
    assert!(!served().is_empty());
    assert_eq!(catalogue(), served());
}
