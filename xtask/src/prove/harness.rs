//! A fleet with one database group under load, and what was found of it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::{Value, json};

use crate::cluster::{Cluster, ClusterConfig, Deployment, MemberRef, lakeshore};
use crate::load::{Caller, Load, Mix, Told, audit, run};
use crate::prove::CaseContext;

/// Time for a group to settle after a case; generous, since it only guards against hanging.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// What a case found.
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
    /// Acknowledged writes that are gone.
    pub lost: u64,
    /// Writes that stand twice.
    pub doubled: u64,
    /// Writes refused as not run that were made.
    pub false_refusals: u64,
    /// Reads that missed the session's own write.
    pub stale: u64,
    /// Answers to another request.
    pub crossed: u64,
    /// Other figures.
    #[serde(flatten)]
    pub more: BTreeMap<&'static str, Value>,
    /// What else did not hold.
    #[serde(skip)]
    complaints: Vec<String>,
}

impl CaseReport {
    /// Notes that something did not hold.
    pub fn add_violation(&mut self, text: impl Into<String>) {
        self.complaints.push(text.into());
    }

    /// Notes that something did not hold unless it does.
    pub fn check(&mut self, holds: bool, text: &str) {
        if !holds {
            self.add_violation(text);
        }
    }

    /// Adds a figure.
    pub fn record(&mut self, name: &'static str, val: impl Into<Value>) {
        self.more.insert(name, val.into());
    }

    /// Everything that did not hold.
    pub fn all_violations(&self) -> Vec<String> {
        let counts = [
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("false_refusals", self.false_refusals),
            ("stale", self.stale),
            ("crossed", self.crossed),
        ];
        let bad = counts
            .into_iter()
            .filter(|(_, n)| *n > 0)
            .map(|(name, n)| format!("{name}: {n}"));
        bad.chain(self.complaints.iter().cloned()).collect()
    }
}

/// A running case.
pub struct Harness {
    pub cluster: Cluster,
    pub ctx: CaseContext,
    /// What the callers saw.
    pub load: Rc<Load>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// The deployment of most cases: one group of Lakeshore.
pub fn single_group() -> Deployment {
    let mut deployment = lakeshore();
    deployment.groups.truncate(1);
    deployment
}

/// Waits while the callers go on.
pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

impl Harness {
    /// Starts the fleet, or the stand-ins and the naive proxy.
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
            load: Load::new(),
            tasks: Vec::new(),
        };
        harness.wait_for_primary().await?;
        Ok(harness)
    }

    /// The group's members; the first one leads at the beginning.
    pub fn members(&self) -> Vec<MemberRef> {
        self.cluster.group_members("lakeshore", "slots")
    }

    /// Name of the member that leads at the beginning.
    pub fn initial_primary(&self) -> String {
        self.members()[0].name.clone()
    }

    /// Addresses for callers.
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

    /// A mix of reads and writes that roams, without tokens.
    pub fn default_mix(&self) -> Mix {
        Mix {
            service: "slots".to_owned(),
            user: "lakeshore-desk".to_owned(),
            table: "bookings".to_owned(),
            addrs: self.caller_addrs(),
            callers: 10,
            pause: Duration::from_millis(5),
            writes: 50,
            lists: 10,
            roam: 15,
            token: false,
            seed: self.ctx.seed,
        }
    }

    /// Sets callers going.
    pub fn spawn_callers(&mut self, mix: Mix) {
        self.tasks
            .push(tokio::task::spawn_local(run(self.load.clone(), mix)));
    }

    /// A caller of the fleet.
    pub async fn connect(&self, addr: &str) -> Result<Caller, String> {
        Caller::connect(addr, "slots", "lakeshore-desk", "").await
    }

    /// Address of the member that leads, once one does.
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

    /// Term of the member that leads.
    pub async fn term(&self) -> Result<u64, String> {
        let primary_addr = self.wait_for_primary().await?;
        self.cluster
            .member_term(&primary_addr)
            .await
            .map(|t| t.0)
            .ok_or_else(|| "the leader does not answer".to_owned())
    }

    /// What a naive operator does: promotes the first other member, whatever it holds.
    pub async fn promote_unchecked(&self) -> Result<(), String> {
        let members = self.members();
        let order = |sql: String, addr: String| async move {
            Caller::connect(&addr, "op", "op", "")
                .await?
                .simple(&sql)
                .await;
            Ok::<(), String>(())
        };
        let addr = members[1].addr.clone();
        order(
            "SELECT hollyreach_raise('', 2, 'op')".to_owned(),
            addr.clone(),
        )
        .await?;
        order(
            "SELECT hollyreach_promote('', 2, 'op')".to_owned(),
            addr.clone(),
        )
        .await?;
        order(
            format!("SELECT hollyreach_follow('', 2, '{addr}')"),
            members[2].addr.clone(),
        )
        .await
    }

    /// Waits until a write is acknowledged that was begun after `from`.
    pub async fn wait_for_write(&self, from: Instant) -> bool {
        let until = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < until {
            if self
                .load
                .writes
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

    /// Ends the callers and compares what they were told with the records.
    pub async fn finish(&mut self) -> Result<CaseReport, String> {
        self.load.end();
        for task in self.tasks.drain(..) {
            let _ = task.await;
        }
        let primary_addr = self.wait_for_primary().await?;
        let records = self.load.records.borrow().clone();
        let found = audit(&primary_addr, "bookings", &records).await?;
        let l = &self.load;
        let mut report = CaseReport {
            requests: l.requests.get(),
            answered: l.answered.get(),
            refused_not_run: l.refused.get(),
            unknown: l.unknown.get(),
            lost: found.lost,
            doubled: found.doubled,
            false_refusals: found.false_refusals,
            stale: l.stale.get(),
            crossed: l.crossed.get(),
            ..CaseReport::default()
        };
        report.record("p99_ms", l.latency.borrow().value_at_quantile(0.99) / 1000);
        Ok(report)
    }

    /// Counts of a member: connections open, connections refused, statements served.
    pub async fn member_counters(&self, addr: &str) -> Result<[u64; 3], String> {
        let caller = Caller::connect(addr, "look", "look", "").await?;
        let row = caller
            .row("SELECT hollyreach_counts()")
            .await
            .ok_or("no counts")?;
        Ok(std::array::from_fn(|i| {
            row.get(i).and_then(|v| v.parse().ok()).unwrap_or(0)
        }))
    }
}

/// Milliseconds, for reports.
pub fn millis(span: Duration) -> Value {
    json!(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

/// Whether a caller was told that its request did not run.
pub fn is_not_run(told: &Told) -> bool {
    matches!(told, Told::NotRun { .. })
}
