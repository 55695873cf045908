//! What a daemon counts and measures, served as text.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets of times, in ms.
const BUCKETS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1500.0, 3000.0, 6000.0, 12000.0,
];

/// How a statement ended, as a label.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelValue)]
pub enum Outcome {
    /// Answered by a member.
    Served,
    /// Refused as not run.
    NotRun,
    /// Of unknown outcome.
    InDoubt,
    /// Failed at a member, or malformed.
    Failed,
}

/// Labels of a statement.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct StatementLabels {
    /// Group that it was for.
    pub group: String,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether it writes.
    pub write: &'static str,
}

/// Labels of a read that was served.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct ReadLabels {
    /// Part of the member that served it.
    pub role: &'static str,
    /// Why it went there.
    pub reason: &'static str,
}

/// Counters, gauges and histograms.
pub struct Stats {
    registry: Registry,
    /// Statements answered.
    pub statements: Family<StatementLabels, Counter>,
    /// Reads served, by place.
    pub reads: Family<ReadLabels, Counter>,
    /// Time from a statement's arrival to its answer, in ms.
    pub latency: Histogram,
    /// Time that a statement waited for a connection, in ms.
    pub wait: Histogram,
    /// Attempts that were followed by another.
    pub retries: Counter,
    /// Changes of primary that this daemon ran to their end.
    pub changes: Counter,
    /// Open sessions.
    pub sessions: Gauge,
    /// Version of the configuration in force.
    pub version: Gauge,
}

impl Default for Stats {
    fn default() -> Stats {
        let mut registry = Registry::with_prefix("hollyreach");
        let stats = Stats {
            registry: Registry::default(),
            statements: Family::default(),
            reads: Family::default(),
            latency: Histogram::new(BUCKETS_MS),
            wait: Histogram::new(BUCKETS_MS),
            retries: Counter::default(),
            changes: Counter::default(),
            sessions: Gauge::default(),
            version: Gauge::default(),
        };
        registry.register(
            "statements",
            "Statements answered, by group, outcome and whether they write",
            stats.statements.clone(),
        );
        let help = "Reads served, by the part of the member and the reason for it";
        registry.register("reads", help, stats.reads.clone());
        let help = "Time from arrival to answer, in ms";
        registry.register("latency_ms", help, stats.latency.clone());
        let help = "Time waited for a connection, in ms";
        registry.register("wait_ms", help, stats.wait.clone());
        let help = "Attempts followed by another";
        registry.register("retries", help, stats.retries.clone());
        let help = "Changes of primary run to their end";
        registry.register("changes", help, stats.changes.clone());
        registry.register("sessions", "Open sessions", stats.sessions.clone());
        let help = "Version of the configuration in force";
        registry.register("config_version", help, stats.version.clone());
        Stats { registry, ..stats }
    }
}

impl Stats {
    /// All of them, in the `OpenMetrics` text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
