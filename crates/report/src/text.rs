//! The report as plain text and as an HTML page.

use std::fmt::Write;

use schema::Change;

use crate::burn::BurnReport;
use crate::plot::svg;

/// Alarm level for the burn rates over 5 min, 1 h and 24 h.
///
/// `PAGE` requires a high rate over both 5 min and 1 h, so that neither a short peak nor a fault
/// that is over causes it.
fn alarm_level(burn: [f64; 3]) -> &'static str {
    match burn {
        [m5, h1, _] if m5 > 14.0 && h1 > 14.0 => "PAGE",
        [_, h1, h24] if h1 > 6.0 || h24 > 3.0 => "ticket",
        [.., h24] if h24 > 1.0 => "overdrawn",
        _ => "ok",
    }
}

fn format_change(change: &Change) -> String {
    let kind = if change.planned {
        "planned"
    } else {
        "failover"
    };
    let gap_ms = change.silent_ms + change.check_ms + change.grant_ms + change.promote_ms;
    format!(
        "{} {kind} to term {}, primary {}: {} ms = silent {} + check {} + grant {} + promote {}; {}; by {}",
        change.group,
        change.term,
        change.winner,
        gap_ms,
        change.silent_ms,
        change.check_ms,
        change.grant_ms,
        change.promote_ms,
        change.evidence,
        change.warden
    )
}

/// Renders the report as plain text, with the objectives of the highest burn first.
pub fn text(report: &BurnReport) -> String {
    let mut out = String::new();
    if report.silent.is_empty() {
        let _ = writeln!(out, "all {} daemons heard", report.heard);
    } else {
        let _ = writeln!(
            out,
            "NOT HEARD: {} ({} daemons heard; counts of the others are missing)",
            report.silent.join(" "),
            report.heard
        );
    }
    let _ = writeln!(
        out,
        "\n{:<10}{:<14}{:<12}{:>9}{:>9}{:>10}{:>9}{:>9}{:>9}{:>13}",
        "alarm",
        "institution",
        "objective",
        "target",
        "good",
        "requests",
        "5 min",
        "1 h",
        "24 h",
        "budget left"
    );
    for objective in &report.lines {
        let _ = writeln!(
            out,
            "{:<10}{:<14}{:<12}{:>8.2}%{:>8.2}%{:>10}{:>9.2}{:>9.2}{:>9.2}{:>12.1}%",
            alarm_level(objective.burn),
            objective.institution,
            objective.objective,
            objective.target,
            objective.good,
            objective.count,
            objective.burn[0],
            objective.burn[1],
            objective.burn[2],
            objective.budget_left
        );
    }
    let _ = writeln!(out, "\nlatency of answers");
    for (name, (p50, p99, count)) in &report.latency {
        let ms = |us: u64| format!("{}.{:03} ms", us / 1000, us % 1000);
        let _ = writeln!(
            out,
            "  {name}: p50 {}, p99 {}, {count} answers",
            ms(*p50),
            ms(*p99)
        );
    }
    let _ = writeln!(out, "\nreads");
    for reads in &report.reads {
        let _ = writeln!(
            out,
            "  {}: {:.1}% on replicas",
            reads.institution, reads.replica_percent
        );
        for (place, count) in &reads.places {
            let _ = writeln!(out, "    {count:>10}  {place}");
        }
    }
    let _ = writeln!(out, "\nchanges of primary, newest first");
    for change in &report.changes {
        let _ = writeln!(out, "  {}", format_change(change));
        for step in &change.steps {
            let _ = writeln!(out, "      {step}");
        }
    }
    if report.changes.is_empty() {
        let _ = writeln!(out, "  none");
    }
    out
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Renders the report as one HTML page, with the chart above the text.
pub fn html(report: &BurnReport) -> String {
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>Service-level burn</title>\n<body style=\"font-family:sans-serif\"><h1>Service-level burn</h1>\n{}\n<pre>{}</pre></body>\n",
        svg(report).unwrap_or_default(),
        escape(&text(report))
    )
}
