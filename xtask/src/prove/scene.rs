//! A fleet with one database group under load, and what was found of it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::{Value, json};

use crate::cluster::{Cluster, Deployment, MemberRef, Plan, lakeshore};
use crate::load::{Caller, LoadStats, Outcome, Workload, audit, run};
use crate::prove::Ctx;

/// Time for a group to settle after a case; generous, since it only guards against hanging.
const SETTLE: Duration = Duration::from_secs(20);

/// What a case found.
#[derive(Default)]
#[derive(Serialize)]
pub struct Facts {
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

impl Facts {
    /// Notes that something did not hold.
    pub fn complain(&mut self, text: impl Into<String>) {
        self.complaints.push(text.into());
    }

    /// Notes that something did not hold unless it does.
    pub fn expect(&mut self, holds: bool, text: &str) {
        if !holds {
            self.complain(text);
        }
    }

    /// Adds a figure.
    pub fn tell(&mut self, name: &'static str, val: impl Into<Value>) {
        self.more.insert(name, val.into());
    }

    /// Everything that did not hold.
    pub fn broken(&self) -> Vec<String> {
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
pub struct Scene {
    pub cluster: Cluster,
    pub ctx: Ctx,
    /// What the callers saw.
    pub load: Rc<LoadStats>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// The deployment of most cases: one group of Lakeshore.
pub fn one_group() -> Deployment {
    let mut deployment = lakeshore();
    deployment.groups.truncate(1);
    deployment
}

/// Waits while the callers go on.
pub async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

impl Scene {
    /// Starts the fleet, or the stand-ins and the naive proxy.
    pub async fn start(ctx: Ctx, mut plan: Plan) -> Result<Scene, String> {
        plan.bare = ctx.naive;
        let mut cluster = Cluster::start(plan, vec![one_group()])?;
        if ctx.keep {
            cluster.keep_logs();
            eprintln!("logs: {}", cluster.folder().display());
        }
        if ctx.naive {
            cluster.start_naive(false)?;
        }
        let scene = Scene {
            cluster,
            ctx,
            load: LoadStats::new(),
            tasks: Vec::new(),
        };
        scene.leader().await?;
        Ok(scene)
    }

    /// The group's members; the first one leads at the beginning.
    pub fn members(&self) -> Vec<MemberRef> {
        self.cluster.group_members("lakeshore", "slots")
    }

    /// Name of the member that leads at the beginning.
    pub fn primary(&self) -> String {
        self.members()[0].name.clone()
    }

    /// Addresses for callers.
    pub fn addrs(&self) -> Vec<String> {
        if self.ctx.naive {
            return vec![self.cluster.naive_addr()];
        }
        self.cluster
            .daemons()
            .iter()
            .map(|d| self.cluster.caller_addr(d))
            .collect()
    }

    /// A mix of reads and writes that roams, without tokens.
    pub fn mix(&self) -> Workload {
        Workload {
            service: "slots".to_owned(),
            user: "lakeshore-desk".to_owned(),
            table: "bookings".to_owned(),
            addrs: self.addrs(),
            callers: 10,
            think_time: Duration::from_millis(5),
            write_percent: 50,
            list_percent: 10,
            roam_one_in: 15,
            present_token: false,
            seed: self.ctx.seed,
        }
    }

    /// Sets callers going.
    pub fn go(&mut self, mix: Workload) {
        self.tasks
            .push(tokio::task::spawn_local(run(self.load.clone(), mix)));
    }

    /// A caller of the fleet.
    pub async fn caller(&self, addr: &str) -> Result<Caller, String> {
        Caller::connect(addr, "slots", "lakeshore-desk", "").await
    }

    /// Address of the member that leads, once one does.
    pub async fn leader(&self) -> Result<String, String> {
        let until = Instant::now() + SETTLE;
        loop {
            match self.cluster.leader("lakeshore", "slots").await {
                Ok(addr) => return Ok(addr),
                Err(e) if Instant::now() > until => return Err(e),
                Err(_) => pause(50).await,
            }
        }
    }

    /// Term of the member that leads.
    pub async fn term(&self) -> Result<u64, String> {
        let leader = self.leader().await?;
        self.cluster
            .member_term(&leader)
            .await
            .map(|t| t.0)
            .ok_or_else(|| "the leader does not answer".to_owned())
    }

    /// What a naive operator does: promotes the first other member, whatever it holds.
    pub async fn promote_naively(&self) -> Result<(), String> {
        let members = self.members();
        let order = |sql: String, addr: String| async move {
            Caller::connect(&addr, "op", "op", "")
                .await?
                .simple_query(&sql)
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
    pub async fn wait_served(&self, from: Instant) -> bool {
        let until = Instant::now() + SETTLE;
        while Instant::now() < until {
            if self
                .load
                .acked_writes
                .borrow()
                .iter()
                .any(|(begin, _)| *begin > from)
            {
                return true;
            }
            pause(20).await;
        }
        false
    }

    /// Ends the callers and compares what they were told with the records.
    pub async fn finish(&mut self) -> Result<Facts, String> {
        self.load.stop();
        for task in self.tasks.drain(..) {
            let _ = task.await;
        }
        let leader = self.leader().await?;
        let records = self.load.write_records.borrow().clone();
        let found = audit(&leader, "bookings", &records).await?;
        let l = &self.load;
        let mut facts = Facts {
            requests: l.requests.get(),
            answered: l.answered.get(),
            refused_not_run: l.refused.get(),
            unknown: l.unknown.get(),
            lost: found.lost,
            doubled: found.doubled,
            false_refusals: found.false_refusals,
            stale: l.stale.get(),
            crossed: l.crossed.get(),
            ..Facts::default()
        };
        facts.tell("p99_ms", l.latency.borrow().value_at_quantile(0.99) / 1000);
        Ok(facts)
    }

    /// Counts of a member: connections open, connections refused, statements served.
    pub async fn counts(&self, addr: &str) -> Result<[u64; 3], String> {
        let caller = Caller::connect(addr, "look", "look", "").await?;
        let row = caller
            .first_row("SELECT hollyreach_counts()")
            .await
            .ok_or("no counts")?;
        Ok(std::array::from_fn(|i| {
            row.get(i).and_then(|v| v.parse().ok()).unwrap_or(0)
        }))
    }
}

/// Milliseconds, for reports.
pub fn ms(span: Duration) -> Value {
    json!(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

/// Whether a caller was told that its request did not run.
pub fn is_not_run(told: &Outcome) -> bool {
    matches!(told, Outcome::NotRun { .. })
}
