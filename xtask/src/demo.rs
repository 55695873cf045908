//! Demo: runs both deployments under load and kills a primary of each halfway.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cluster::{Cluster, ClusterConfig, Deployment, interrupted, lakeshore, oprawka};
use crate::load::{Audit, LoadStats, MAX_LATENCY_US, Workload, audit, run};

/// Command-line options of `demo`.
pub struct Options {
    pub seed: u64,
    pub seconds: u64,
    pub json: bool,
    pub keep: bool,
    pub report: Option<String>,
}

/// Concurrent callers of each service.
const CALLERS: usize = 8;

/// A service under load, with the group that serves it and the callers' statistics.
struct LoadedService {
    deployment: Deployment,
    /// Index in `deployment.groups`.
    group: usize,
    stats: Rc<LoadStats>,
}

/// Runs the demo and prints its report.
///
/// # Errors
///
/// The fleet did not start, the demo was interrupted, or a guarantee was violated.
pub fn demo(options: &Options) -> Result<(), String> {
    let mut cluster = Cluster::start(ClusterConfig::default(), vec![lakeshore(), oprawka()])?;
    if options.keep {
        cluster.keep_logs();
    }
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let summary = local.block_on(&runtime, run_load(&mut cluster, options))?;
    let violated = ["lost", "doubled", "stale", "crossed", "false_refusals"]
        .iter()
        .any(|k| summary[*k] != json!(0));
    if options.json {
        println!("{summary}");
    }
    if violated {
        Err(format!("a guarantee was violated: {summary}"))
    } else {
        Ok(())
    }
}

async fn run_load(cluster: &mut Cluster, options: &Options) -> Result<Value, String> {
    let services = loaded_services(cluster);
    let mut tasks = Vec::new();
    for (i, service) in services.iter().enumerate() {
        let workload = service_workload(cluster, service, options.seed.wrapping_add(i as u64));
        tasks.push(tokio::task::spawn_local(run(
            service.stats.clone(),
            workload,
        )));
    }
    let half = Duration::from_secs(options.seconds) / 2;
    sleep_unless_interrupted(half).await;
    // Kill the primary of each institution's first group.
    let killed_at = Instant::now();
    for service in services.iter().filter(|s| s.group == 0) {
        let group = &service.deployment.groups[0];
        let primary =
            &cluster.group_members(&service.deployment.name, &group.name)[group.initial_primary];
        cluster.kill(&primary.name);
    }
    sleep_unless_interrupted(half).await;
    for service in &services {
        service.stats.stop();
    }
    for task in tasks {
        let _ = task.await;
    }
    if interrupted() {
        return Err("interrupted; all processes were ended".to_owned());
    }
    print_report(cluster, &services, killed_at, options).await
}

async fn sleep_unless_interrupted(span: Duration) {
    let until = Instant::now() + span;
    while Instant::now() < until && !interrupted() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn loaded_services(cluster: &Cluster) -> Vec<LoadedService> {
    let each = |d: &Deployment| {
        let d = d.clone();
        (0..d.groups.len()).map(move |group| LoadedService {
            deployment: d.clone(),
            group,
            stats: LoadStats::new(),
        })
    };
    cluster.deployments.iter().flat_map(each).collect()
}

fn service_workload(cluster: &Cluster, service: &LoadedService, seed: u64) -> Workload {
    let group = &service.deployment.groups[service.group];
    Workload {
        service: group.name.clone(),
        user: service.deployment.users()[0].clone(),
        table: group.table.clone(),
        addrs: cluster
            .daemon_names()
            .iter()
            .map(|d| cluster.caller_addr(d))
            .collect(),
        callers: CALLERS,
        think_time: Duration::from_millis(10),
        write_percent: service.deployment.write_percent,
        list_percent: service.deployment.list_percent,
        roam_one_in: 40,
        present_token: seed.is_multiple_of(2),
        seed,
    }
}

/// Compares the outcomes reported to the service's callers with the rows of the current primary.
async fn audit_service(cluster: &Cluster, service: &LoadedService) -> Result<Audit, String> {
    let group = &service.deployment.groups[service.group];
    let primary_addr = cluster
        .primary_addr(&service.deployment.name, &group.name)
        .await?;
    let records = service.stats.write_records.borrow().clone();
    audit(&primary_addr, &group.table, &records).await
}

async fn print_report(
    cluster: &Cluster,
    services: &[LoadedService],
    killed_at: Instant,
    options: &Options,
) -> Result<Value, String> {
    if let Some(file) = &options.report {
        let config = cluster.operator_settings()?;
        let (_, text) = cluster.run_cli(&["report", "--config", &config, "burn", "--svg", file])?;
        println!("{text}");
    }
    let share = cluster.replica_share()?;
    let mut total = Audit::default();
    let mut gap = Duration::ZERO;
    let mut latency = hdrhistogram::Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3)
        .map_err(|e| e.to_string())?;
    println!(
        "{:<22}{:>9}{:>9}{:>8}{:>8}{:>6}{:>8}{:>7}{:>8}{:>9}",
        "service",
        "requests",
        "answered",
        "not run",
        "unknown",
        "lost",
        "doubled",
        "stale",
        "crossed",
        "p99 ms"
    );
    for service in services {
        let service_audit = audit_service(cluster, service).await?;
        let name = format!(
            "{}/{}",
            service.deployment.name, service.deployment.groups[service.group].name
        );
        let stats = &service.stats;
        let p99 = ms(stats.latency.borrow().value_at_quantile(0.99));
        println!(
            "{name:<22}{:>9}{:>9}{:>8}{:>8}{:>6}{:>8}{:>7}{:>8}{p99:>9.1}",
            stats.requests.get(),
            stats.answered.get(),
            stats.refused.get(),
            stats.unknown.get(),
            service_audit.lost,
            service_audit.doubled,
            stats.stale.get(),
            stats.crossed.get()
        );
        total.lost += service_audit.lost;
        total.doubled += service_audit.doubled;
        total.false_refusals += service_audit.false_refusals;
        latency
            .add(&*stats.latency.borrow())
            .map_err(|e| e.to_string())?;
        if service.group == 0 {
            gap = gap.max(stats.longest_write_gap(killed_at));
        }
    }
    let sum = |f: fn(&LoadStats) -> u64| services.iter().map(|s| f(&s.stats)).sum::<u64>();
    let gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
    println!(
        "failover gap {gap_ms} ms · reads served by replicas {:.1} %",
        share * 100.0
    );
    Ok(json!({
        "seed": options.seed,
        "requests": sum(|s| s.requests.get()),
        "answered": sum(|s| s.answered.get()),
        "refused_not_run": sum(|s| s.refused.get()),
        "unknown": sum(|s| s.unknown.get()),
        "lost": total.lost,
        "doubled": total.doubled,
        "false_refusals": total.false_refusals,
        "stale": sum(|s| s.stale.get()),
        "crossed": sum(|s| s.crossed.get()),
        "gap_ms": gap_ms,
        "replica_share": (share * 1000.0).round() / 1000.0,
        "p50_ms": ms(latency.value_at_quantile(0.5)),
        "p99_ms": ms(latency.value_at_quantile(0.99)),
    }))
}

#[allow(clippy::cast_precision_loss)]
fn ms(us: u64) -> f64 {
    us as f64 / 1000.0
}
