//! Latency, throughput and memory of statements and connections through one daemon, with and
//! without a hop to a second one, compared with a direct connection to the member.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::cluster::{Cluster, ClusterConfig};
use crate::load::{Caller, MAX_LATENCY_US, Outcome};
use crate::measure::procfs::{cpu_us, resident_bytes};
use crate::prove::single_group;

/// Measured statements of each latency series.
const STATEMENTS: u32 = 4000;
/// Concurrent callers of the throughput series.
const CALLERS: usize = 16;
const THROUGHPUT_TIME: Duration = Duration::from_secs(4);
/// Numbers of idle connections at which memory is measured.
const IDLE_CONNECTIONS: [usize; 2] = [1000, 3000];

const LIST_SQL: &str = "SELECT v FROM catalogue WHERE k = 'all'";

/// Runs all series and prints their results.
pub async fn run() -> Result<(), String> {
    let config = ClusterConfig {
        delay_us: 0,
        work_us: 0,
        ..ClusterConfig::default()
    };
    let mut deployment = single_group();
    deployment.groups[0].connections = 40;
    deployment.groups[0].slots = 16;
    let mut cluster = Cluster::start(config, vec![deployment])?;
    let members = cluster.group_members("lakeshore", "slots");
    println!("commit {}", commit_hash());
    let direct = latency(&members[1].addr).await?;
    let owner = wait_for_owner(&mut cluster, 2).await?;
    let without_hop = latency(&cluster.caller_addr(&owner)).await?;
    let non_owner = cluster
        .daemon_names()
        .into_iter()
        .find(|d| d.contains("-2") && *d != owner && !is_owner(&cluster, d))
        .unwrap_or_else(|| "entry-11".to_owned());
    let one_hop = latency(&cluster.caller_addr(&non_owner)).await?;
    for (name, hist) in [
        ("directly to the member", &direct),
        ("through a daemon, no hop", &without_hop),
        ("through a daemon, one hop", &one_hop),
    ] {
        println!(
            "{name:<28} p50 {:>6} µs   p99 {:>6} µs",
            hist.value_at_quantile(0.5),
            hist.value_at_quantile(0.99)
        );
    }
    println!(
        "added at p50: {} µs without a hop, {} µs with one",
        without_hop
            .value_at_quantile(0.5)
            .saturating_sub(direct.value_at_quantile(0.5)),
        one_hop
            .value_at_quantile(0.5)
            .saturating_sub(direct.value_at_quantile(0.5))
    );
    throughput(
        &mut cluster,
        "directly to the member",
        &members[1].addr,
        None,
    )
    .await?;
    let addr = cluster.caller_addr(&owner);
    throughput(
        &mut cluster,
        "through a daemon, no hop",
        &addr,
        Some(&owner),
    )
    .await?;
    idle_memory(&mut cluster).await
}

/// Abbreviated hash of the commit that is measured, `?` without git.
pub fn commit_hash() -> String {
    let output = std::process::Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output();
    output.map_or_else(
        |_| "?".to_owned(),
        |o| String::from_utf8_lossy(&o.stdout).trim().to_owned(),
    )
}

/// Whether a daemon reports connections to the member of its data centre.
fn is_owner(cluster: &Cluster, daemon: &str) -> bool {
    let Ok(stats) = cluster.stats() else {
        return false;
    };
    let daemons = stats["daemons"].as_array().cloned().unwrap_or_default();
    let entry = daemons.iter().find(|d| d["name"] == daemon);
    let reports = entry
        .and_then(|d| d["groups"][0]["reports"].as_array().cloned())
        .unwrap_or_default();
    let center = &daemon[daemon.len() - 2..daemon.len() - 1];
    reports
        .iter()
        .any(|r| r["member"].as_str().is_some_and(|m| m.ends_with(center)))
}

/// Waits 1.5 s for the fleet to settle and returns the owner of the member in a data centre.
async fn wait_for_owner(cluster: &mut Cluster, center: u8) -> Result<String, String> {
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let candidates = cluster
        .daemon_names()
        .into_iter()
        .filter(|d| d.contains(&format!("-{center}")));
    let owners: Vec<String> = candidates.filter(|d| is_owner(cluster, d)).collect();
    owners
        .into_iter()
        .next()
        .ok_or_else(|| "no daemon owns the member of the data centre".to_owned())
}

/// Latency of list reads on one connection; the first 200 are not recorded.
async fn latency(addr: &str) -> Result<Histogram<u64>, String> {
    let caller = Caller::connect(addr, "slots", "lakeshore-desk", "").await?;
    let mut hist = Histogram::new_with_max(MAX_LATENCY_US, 3).map_err(|e| e.to_string())?;
    for i in 0..STATEMENTS + 200 {
        let begin = Instant::now();
        if !matches!(caller.simple_query(LIST_SQL).await, Outcome::Answer(_)) {
            return Err(format!("{addr} did not answer a read"));
        }
        if i >= 200 {
            hist.saturating_record(u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX));
        }
    }
    Ok(hist)
}

/// Prints the rate of list reads, and the daemon's processor time for each if there is a daemon.
async fn throughput(
    cluster: &mut Cluster,
    name: &str,
    addr: &str,
    daemon: Option<&str>,
) -> Result<(), String> {
    let pid = daemon.and_then(|d| cluster.process(d)).map(|p| p.id());
    let before = pid.map_or(0, cpu_us);
    let begin = Instant::now();
    let tasks: Vec<_> = (0..CALLERS)
        .map(|_| {
            let addr = addr.to_owned();
            tokio::task::spawn_local(async move {
                let caller = Caller::connect(&addr, "slots", "lakeshore-desk", "").await?;
                let mut count = 0_u64;
                while begin.elapsed() < THROUGHPUT_TIME {
                    caller.simple_query(LIST_SQL).await;
                    count += 1;
                }
                Ok::<u64, String>(count)
            })
        })
        .collect();
    let mut count = 0;
    for task in tasks {
        count += task.await.map_err(|e| e.to_string())??;
    }
    let rate = count * 1000 / u64::try_from(begin.elapsed().as_millis()).unwrap_or(1);
    match pid {
        Some(pid) => {
            let used = cpu_us(pid) - before;
            let tenths = used * 10 / count.max(1);
            println!(
                "{name:<28} {rate:>6} statements/s with {CALLERS} callers, {}.{} µs of processor time per statement",
                tenths / 10,
                tenths % 10
            );
        }
        None => println!("{name:<28} {rate:>6} statements/s with {CALLERS} callers"),
    }
    Ok(())
}

/// Prints a daemon's memory with each number of idle connections, and the mean of a connection.
async fn idle_memory(cluster: &mut Cluster) -> Result<(), String> {
    let daemon = "entry-33";
    let addr = cluster.caller_addr(daemon);
    let pid = cluster
        .process(daemon)
        .map(|p| p.id())
        .ok_or("no such daemon")?;
    let mut callers = Vec::new();
    let base = resident_bytes(pid);
    for count in IDLE_CONNECTIONS {
        while callers.len() < count {
            callers.push(Caller::connect(&addr, "slots", "lakeshore-desk", "").await?);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let each = resident_bytes(pid).saturating_sub(base) / count as u64;
        println!(
            "{count} idle connections: {} KiB resident, {each} bytes each",
            resident_bytes(pid) / 1024
        );
    }
    Ok(())
}
