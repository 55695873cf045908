//! Test harness of the cases: a fleet with one database group, its callers and the case's report.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::{Value, json};

use crate::cluster::{Cluster, ClusterConfig, Deployment, MemberRef, lakeshore};
use crate::load::{Caller, LoadStats, Outcome, Workload, audit, run};
use crate::prove::CaseContext;

/// Maximum wait for a primary or an acknowledged write; long, because it only guards against hangs.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Counters, further figures and violated expectations of one case.
#[derive(Default)]
#[derive(Serialize)]
pub struct CaseReport {
    /// Requests of all callers.
    pub requests: u64,
    /// Requests answered by the database.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Acknowledged writes that the primary doesn't hold.
    pub lost: u64,
    /// Writes that were applied more than once.
    pub doubled: u64,
    /// Writes refused as not run that were applied nevertheless.
    pub false_refusals: u64,
    /// Reads that missed an acknowledged write that they had to see.
    pub stale: u64,
    /// Answers that belonged to another request.
    pub crossed: u64,
    /// Figures of this case alone, by JSON key.
    #[serde(flatten)]
    pub more: BTreeMap<&'static str, Value>,
    /// Violated expectations other than the counters above.
    #[serde(skip)]
    complaints: Vec<String>,
}

impl CaseReport {
    pub fn add_violation(&mut self, text: impl Into<String>) {
        self.complaints.push(text.into());
    }

    /// Adds a violation with this text unless the expectation `holds`.
    pub fn check(&mut self, holds: bool, text: &str) {
        if !holds {
            self.add_violation(text);
        }
    }

    /// Adds a figure under its JSON key.
    pub fn record(&mut self, name: &'static str, val: impl Into<Value>) {
        self.more.insert(name, val.into());
    }

    /// Returns the counters that must be zero and aren't, and all other violations.
    pub fn all_violations(&self) -> Vec<String> {
        let counts = [
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("false_refusals", self.false_refusals),
            ("stale", self.stale),
            ("crossed", self.crossed),
        ];
        let nonzero = counts
            .into_iter()
            .filter(|(_, n)| *n > 0)
            .map(|(name, n)| format!("{name}: {n}"));
        nonzero.chain(self.complaints.iter().cloned()).collect()
    }
}

/// Fleet and callers of a running case.
pub struct Harness {
    pub cluster: Cluster,
    pub ctx: CaseContext,
    /// Counters and records of all callers.
    pub stats: Rc<LoadStats>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// Returns the deployment of all cases: the first group of Lakeshore.
pub fn single_group() -> Deployment {
    let mut deployment = lakeshore();
    deployment.groups.truncate(1);
    deployment
}

pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

impl Harness {
    /// Starts the fleet, or only the stand-ins and the naive proxy, and waits for a primary.
    pub async fn start(ctx: CaseContext, mut config: ClusterConfig) -> Result<Harness, String> {
        config.standins_only = ctx.naive;
        let mut cluster = Cluster::start(config, vec![single_group()])?;
        if ctx.keep {
            cluster.keep_logs();
            eprintln!("logs: {}", cluster.dir().display());
        }
        if ctx.naive {
            cluster.start_naive_proxy(false)?;
        }
        let harness = Harness {
            cluster,
            ctx,
            stats: LoadStats::new(),
            tasks: Vec::new(),
        };
        harness.wait_for_primary().await?;
        Ok(harness)
    }

    /// Members of the group; the first one is the primary at the start.
    pub fn members(&self) -> Vec<MemberRef> {
        self.cluster.group_members("lakeshore", "slots")
    }

    /// Name of the member that is the primary at the start.
    pub fn initial_primary(&self) -> String {
        self.members()[0].name.clone()
    }

    /// Addresses that callers connect to, in the order of daemons; one for the naive proxy.
    pub fn caller_addrs(&self) -> Vec<String> {
        if self.ctx.naive {
            return vec![self.cluster.naive_proxy_addr()];
        }
        self.cluster
            .daemon_names()
            .iter()
            .map(|d| self.cluster.caller_addr(d))
            .collect()
    }

    /// Workload of ten callers that read, write and move between daemons, without session tokens.
    pub fn default_workload(&self) -> Workload {
        Workload {
            service: "slots".to_owned(),
            user: "lakeshore-desk".to_owned(),
            table: "bookings".to_owned(),
            addrs: self.caller_addrs(),
            callers: 10,
            think_time: Duration::from_millis(5),
            write_percent: 50,
            list_percent: 10,
            roam_one_in: 15,
            present_token: false,
            seed: self.ctx.seed,
        }
    }

    /// Starts callers in the background; they run until [`Harness::finish`].
    pub fn spawn_callers(&mut self, workload: Workload) {
        self.tasks
            .push(tokio::task::spawn_local(run(self.stats.clone(), workload)));
    }

    /// Connects a caller to a daemon.
    pub async fn connect(&self, addr: &str) -> Result<Caller, String> {
        Caller::connect(addr, "slots", "lakeshore-desk", "").await
    }

    /// Waits until a member is the primary and returns its address.
    pub async fn wait_for_primary(&self) -> Result<String, String> {
        let until = Instant::now() + SETTLE_TIMEOUT;
        loop {
            match self.cluster.primary_addr("lakeshore", "slots").await {
                Ok(addr) => return Ok(addr),
                Err(e) if Instant::now() > until => return Err(e),
                Err(_) => sleep_ms(50).await,
            }
        }
    }

    /// Waits for a primary and returns its term.
    pub async fn term(&self) -> Result<u64, String> {
        let primary_addr = self.wait_for_primary().await?;
        self.cluster
            .member_term(&primary_addr)
            .await
            .map(|t| t.0)
            .ok_or_else(|| "the primary does not report its term".to_owned())
    }

    /// Promotes the second member to the primary of term 2 without checking its log, as a naive
    /// manual failover does.
    pub async fn promote_unchecked(&self) -> Result<(), String> {
        let members = self.members();
        let execute = |sql: String, addr: String| async move {
            Caller::connect(&addr, "op", "op", "")
                .await?
                .simple_query(&sql)
                .await;
            Ok::<(), String>(())
        };
        let addr = members[1].addr.clone();
        execute(
            "SELECT hollyreach_raise('', 2, 'op')".to_owned(),
            addr.clone(),
        )
        .await?;
        execute(
            "SELECT hollyreach_promote('', 2, 'op')".to_owned(),
            addr.clone(),
        )
        .await?;
        execute(
            format!("SELECT hollyreach_follow('', 2, '{addr}')"),
            members[2].addr.clone(),
        )
        .await
    }

    /// Waits for the acknowledgement of a write that began after `from`; false after
    /// [`SETTLE_TIMEOUT`].
    pub async fn wait_for_write(&self, from: Instant) -> bool {
        let until = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < until {
            if self
                .stats
                .acked_writes
                .borrow()
                .iter()
                .any(|(begin, _)| *begin > from)
            {
                return true;
            }
            sleep_ms(20).await;
        }
        false
    }

    /// Stops the callers and compares the outcomes reported to them with the rows of the primary.
    pub async fn finish(&mut self) -> Result<CaseReport, String> {
        self.stats.stop();
        for task in self.tasks.drain(..) {
            let _ = task.await;
        }
        let primary_addr = self.wait_for_primary().await?;
        let records = self.stats.write_records.borrow().clone();
        let audit_result = audit(&primary_addr, "bookings", &records).await?;
        let stats = &self.stats;
        let mut report = CaseReport {
            requests: stats.requests.get(),
            answered: stats.answered.get(),
            refused_not_run: stats.refused.get(),
            unknown: stats.unknown.get(),
            lost: audit_result.lost,
            doubled: audit_result.doubled,
            false_refusals: audit_result.false_refusals,
            stale: stats.stale.get(),
            crossed: stats.crossed.get(),
            ..CaseReport::default()
        };
        report.record(
            "p99_ms",
            stats.latency.borrow().value_at_quantile(0.99) / 1000,
        );
        Ok(report)
    }

    /// Counters of a member: connections open, connections refused, statements served.
    pub async fn member_counters(&self, addr: &str) -> Result<[u64; 3], String> {
        let caller = Caller::connect(addr, "look", "look", "").await?;
        let row = caller
            .first_row("SELECT hollyreach_counts()")
            .await
            .ok_or("member does not report its counters")?;
        Ok(std::array::from_fn(|i| {
            row.get(i).and_then(|v| v.parse().ok()).unwrap_or(0)
        }))
    }
}

/// Converts a duration to milliseconds for a report.
pub fn millis(span: Duration) -> Value {
    json!(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

/// Whether a request was reported as not run.
pub fn is_not_run(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun { .. })
}
