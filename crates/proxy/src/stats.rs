//! Metrics of a daemon, served as text.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the histogram buckets, in ms.
const BUCKETS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1500.0, 3000.0, 6000.0, 12000.0,
];

/// How a statement ended, as a label.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelValue)]
pub enum Outcome {
    /// A member has run it and answered.
    Served,
    /// It has not run, or its transaction was aborted.
    NotRun,
    /// It may or may not have run.
    InDoubt,
    /// It failed in any other way.
    Failed,
}

/// Labels of the `statements` metric.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct StatementLabels {
    pub group: String,
    pub outcome: Outcome,
    /// Whether the statement writes: `true` or `false`; `false` for every commit.
    pub write: &'static str,
}

/// Labels of the `reads` metric.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct ReadLabels {
    /// Role of the member that served the read.
    pub role: &'static str,
    /// Why that member was chosen.
    pub reason: &'static str,
}

/// Labels of the metrics by client account.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
pub struct AccountLabels {
    /// Name of the account; `other` for those that are not among the busiest.
    pub account: String,
}

/// Labels of the `store_calls` metric.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct StoreCallLabels {
    /// Kind of the objects that the call is about.
    kind: String,
}

/// Labels of the `relay_left` metric.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct RelayLeftLabels {
    cause: &'static str,
}

/// Metrics of a daemon.
pub struct Stats {
    registry: Registry,
    /// Answered reads, writes and commits.
    pub statements: Family<StatementLabels, Counter>,
    /// Served reads.
    pub reads: Family<ReadLabels, Counter>,
    /// Time from the arrival of a statement to its answer, in ms.
    pub latency: Histogram,
    /// Time from the arrival of a statement until its last attempt got a connection, in ms; 0 if
    /// none did.
    pub wait: Histogram,
    /// Failed attempts that were followed by another, or could have been but for the deadline.
    pub retries: Counter,
    /// Statements that were given up because the daemon stops.
    pub given_up: Counter,
    /// Sessions served because no owner of their group answers.
    pub stood_in: Counter,
    /// Number of daemons that do not answer; set when the metrics are served.
    pub silent_daemons: Gauge,
    /// Number of records of other daemons that were not renewed in time; set at intervals.
    pub overdue_records: Gauge,
    /// Primary changes that this daemon has completed.
    pub changes: Counter,
    /// Number of groups whose change of primary is blocked; set when the metrics are served.
    pub blocked_groups: Gauge,
    /// Number of open sessions; set when the metrics are served.
    pub sessions: Gauge,
    /// Version of the configuration in force; set when the metrics are served.
    pub config_version: Gauge,
    /// Era of the platform's store; set when the metrics are served.
    pub store_era: Gauge,
    /// Operations admitted under a rate limit.
    pub quota_admitted: Family<AccountLabels, Counter>,
    /// Operations refused for the rate limit.
    pub quota_refused: Family<AccountLabels, Counter>,
    /// Number of shards of the rate limits that this daemon keeps.
    pub quota_shards: Gauge,
    /// Calls to the platform's store.
    store_calls: Family<StoreCallLabels, Counter>,
    /// 1 if this daemon is a relay of the store, otherwise 0.
    pub is_relay: Gauge,
    /// How often a relay was chosen as the source of a kind of objects.
    pub relay_chosen: Counter,
    /// How often a relay was left.
    relay_left: Family<RelayLeftLabels, Counter>,
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
            given_up: Counter::default(),
            stood_in: Counter::default(),
            silent_daemons: Gauge::default(),
            overdue_records: Gauge::default(),
            changes: Counter::default(),
            blocked_groups: Gauge::default(),
            sessions: Gauge::default(),
            config_version: Gauge::default(),
            store_era: Gauge::default(),
            quota_admitted: Family::default(),
            quota_refused: Family::default(),
            quota_shards: Gauge::default(),
            store_calls: Family::default(),
            is_relay: Gauge::default(),
            relay_chosen: Counter::default(),
            relay_left: Family::default(),
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
        let help = "Statements answered unserved because the daemon stops";
        registry.register("given_up", help, stats.given_up.clone());
        let help = "Sessions served because no owner of their group answers";
        registry.register("stood_in", help, stats.stood_in.clone());
        let help = "Other daemons that do not answer this one";
        registry.register("silent_daemons", help, stats.silent_daemons.clone());
        let help = "Records of other daemons that were not renewed in time";
        registry.register("overdue_records", help, stats.overdue_records.clone());
        let help = "Changes of primary run to their end";
        registry.register("changes", help, stats.changes.clone());
        let help =
            "Groups that stay without a primary until an operator or a returning member helps";
        registry.register("blocked_groups", help, stats.blocked_groups.clone());
        registry.register("sessions", "Open sessions", stats.sessions.clone());
        let help = "Version of the configuration in force";
        registry.register("config_version", help, stats.config_version.clone());
        let help = "Number of restores of the metadata store from a copy";
        registry.register("store_era", help, stats.store_era.clone());
        stats.register_quota(&mut registry);
        stats.register_relays(&mut registry);
        Stats { registry, ..stats }
    }
}

impl Stats {
    /// Registers the metrics of the rate limits.
    fn register_quota(&self, registry: &mut Registry) {
        let help = "Operations admitted under a rate limit, by account; the least busy accounts share a label";
        registry.register("quota_admitted", help, self.quota_admitted.clone());
        let help = "Operations refused for the rate limit, by account; the least busy accounts share a label";
        registry.register("quota_refused", help, self.quota_refused.clone());
        let help = "Number of shards of the rate limits that this daemon keeps";
        registry.register("quota_shards", help, self.quota_shards.clone());
    }

    fn register_relays(&self, registry: &mut Registry) {
        let help = "Calls to the metadata store, by kind of object";
        registry.register("store_calls", help, self.store_calls.clone());
        let help = "1 if this daemon is a relay of the metadata store, otherwise 0";
        registry.register("is_relay", help, self.is_relay.clone());
        let help = "Choices of a relay as the source of a kind of objects";
        registry.register("relay_chosen", help, self.relay_chosen.clone());
        let help = "Relays left, by cause";
        registry.register("relay_left", help, self.relay_left.clone());
    }

    /// Counts a call to the platform's store about objects of a kind.
    pub fn count_store_call(&self, kind: &str) {
        let kind = kind.to_owned();
        let labels = StoreCallLabels { kind };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Counts that a relay was left.
    pub fn count_relay_left(&self, cause: &'static str) {
        let labels = RelayLeftLabels { cause };
        self.relay_left.get_or_create(&labels).inc();
    }

    /// Encodes all metrics in the `OpenMetrics` text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
