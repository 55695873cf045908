//! Growth of a daemon's resource use with the number of daemons, groups and configuration changes.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::cluster::{Cluster, ClusterConfig, lakeshore};
use crate::measure::procfs::{cpu_us, loopback_bytes, resident_bytes};
use crate::measure::statement_path::commit_hash;

/// Numbers of daemons in each data centre of the first series.
const DAEMONS_PER_CENTER: [u8; 3] = [3, 10, 33];
/// Numbers of groups of the second series, with three daemons in each data centre.
const GROUP_COUNTS: [usize; 3] = [1, 6, 18];
/// Time over which the use of an idle fleet is sampled.
const SAMPLE_TIME: Duration = Duration::from_secs(10);
/// Configuration patches that are measured with each number of daemons.
const PATCHES: u64 = 20;

/// Mean use of a daemon per second, and its resident memory.
///
/// `loopback_bytes` is the traffic of the whole machine divided by the number of daemons: it
/// includes headers, the stand-ins' replication and a second count of the bytes that the links
/// forward, so it is an upper bound.
struct Usage {
    cpu_us: f64,
    loopback_bytes: f64,
    resident_bytes: u64,
}

/// Runs all series and prints their results.
pub async fn run() -> Result<(), String> {
    println!("commit {}", commit_hash());
    for groups in [GROUP_COUNTS[0], GROUP_COUNTS[2]] {
        println!(
            "stand-ins alone with {groups} groups: {} bytes/s on loopback",
            standin_traffic(groups).await?
        );
    }
    println!("\nan idle fleet with one group, by daemons");
    for per_center in DAEMONS_PER_CENTER {
        let mut cluster = start_fleet(
            ClusterConfig {
                daemons: per_center,
                ..ClusterConfig::default()
            },
            1,
        )?;
        let idle = sample_usage(&mut cluster, SAMPLE_TIME).await;
        print_usage(
            &format!("{} daemons", 3 * u32::from(per_center)),
            &idle,
            &cluster,
        )?;
        measure_config_push(&mut cluster).await?;
    }
    println!("\nan idle fleet of 9 daemons, by groups of three members");
    for groups in GROUP_COUNTS {
        let mut cluster = start_fleet(ClusterConfig::default(), groups)?;
        let idle = sample_usage(&mut cluster, SAMPLE_TIME).await;
        print_usage(&format!("{groups} groups"), &idle, &cluster)?;
    }
    Ok(())
}

/// Bytes per second that the stand-ins exchange on loopback without any daemon.
async fn standin_traffic(groups: usize) -> Result<u64, String> {
    let _stand_ins = start_fleet(
        ClusterConfig {
            standins_only: true,
            ..ClusterConfig::default()
        },
        groups,
    )?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = loopback_bytes();
    tokio::time::sleep(SAMPLE_TIME).await;
    Ok((loopback_bytes() - before) / SAMPLE_TIME.as_secs())
}

/// Starts a fleet of one institution with `groups` equal groups, without delay between data
/// centres.
fn start_fleet(config: ClusterConfig, groups: usize) -> Result<Cluster, String> {
    let mut deployment = lakeshore();
    let first = deployment.groups[0].clone();
    deployment.groups = (0..groups)
        .map(|i| {
            let mut group = first.clone();
            group.name = format!("g{i:02}x");
            group.initial_primary = i % 3;
            group
        })
        .collect();
    Cluster::start(
        ClusterConfig {
            delay_us: 0,
            ..config
        },
        vec![deployment],
    )
}

/// Samples the daemons' mean usage over `span`, after 3 s in which the fleet settles.
#[allow(clippy::cast_precision_loss)]
async fn sample_usage(cluster: &mut Cluster, span: Duration) -> Usage {
    tokio::time::sleep(Duration::from_secs(3)).await;
    let names = cluster.daemon_names();
    let pids: Vec<u32> = names
        .iter()
        .filter_map(|n| cluster.process(n).map(|p| p.id()))
        .collect();
    let total = |f: fn(u32) -> u64| pids.iter().map(|p| f(*p)).sum::<u64>();
    let (cpu, loopback, begin) = (total(cpu_us), loopback_bytes(), Instant::now());
    tokio::time::sleep(span).await;
    let seconds = begin.elapsed().as_secs_f64() * pids.len() as f64;
    Usage {
        cpu_us: (total(cpu_us) - cpu) as f64 / seconds,
        loopback_bytes: (loopback_bytes() - loopback) as f64 / seconds,
        resident_bytes: total(resident_bytes) / pids.len() as u64,
    }
}

/// Prints the usage, and the platform's rate of reads over the following 2 s.
fn print_usage(name: &str, idle: &Usage, cluster: &Cluster) -> Result<(), String> {
    let before = cluster.admin(&json!({}))?;
    std::thread::sleep(Duration::from_secs(2));
    let after = cluster.admin(&json!({}))?;
    let reads = after["reads"].as_u64().unwrap_or(0) - before["reads"].as_u64().unwrap_or(0);
    println!(
        "{name:<14} {:>7.0} µs/s of processor time, {:>7.0} bytes/s on loopback, {:>6} KiB resident, per daemon; {:>5.1} reads/s at the platform",
        idle.cpu_us,
        idle.loopback_bytes,
        idle.resident_bytes / 1024,
        f64::from(u32::try_from(reads).unwrap_or(0)) / 2.0
    );
    Ok(())
}

/// Submits [`PATCHES`] patches one after another, and measures the time until the last one is in
/// force on every daemon, and the daemons' use of processor and loopback meanwhile.
#[allow(clippy::cast_precision_loss)]
async fn measure_config_push(cluster: &mut Cluster) -> Result<(), String> {
    let names = cluster.daemon_names();
    let pids: Vec<u32> = names
        .iter()
        .filter_map(|n| cluster.process(n).map(|p| p.id()))
        .collect();
    let total = |f: fn(u32) -> u64| pids.iter().map(|p| f(*p)).sum::<u64>();
    let (cpu, loopback) = (total(cpu_us), loopback_bytes());
    let begin = Instant::now();
    for version in 1..=PATCHES {
        submit_patch(cluster, version)?;
    }
    let submitted = begin.elapsed();
    let last = wait_in_force(cluster, PATCHES + 1, names.len()).await?;
    let (cpu, loopback) = (total(cpu_us) - cpu, loopback_bytes() - loopback);
    let daemon_patches = (pids.len() as u64 * PATCHES) as f64;
    println!(
        "               {PATCHES} changes in {} ms, the last in force everywhere after {} ms more; {:.0} bytes and {:.0} µs per daemon and change, idle use included",
        submitted.as_millis(),
        last.as_millis(),
        loopback as f64 / daemon_patches,
        cpu as f64 / daemon_patches
    );
    Ok(())
}

fn submit_patch(cluster: &Cluster, version: u64) -> Result<(), String> {
    use std::io::Write;
    let text = json!([{ "op": "replace", "path": "/callers", "value": 100 + version }]).to_string();
    let mut child = Command::new(cluster.daemon_binary())
        .args([
            "config",
            "--config",
            &cluster.settings_file("entry-11"),
            "patch",
            "--version",
            &version.to_string(),
            "lakeshore",
            "-",
        ])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .map_err(|e| e.to_string())?;
    child
        .stdin
        .take()
        .ok_or("the command has no standard input")?
        .write_all(text.as_bytes())
        .map_err(|e| e.to_string())?;
    let status = child.wait().map_err(|e| e.to_string())?;
    if status.success() {
        Ok(())
    } else {
        Err(format!("the patch of version {version} was refused"))
    }
}

/// Waits until the logs of `daemons` daemons say that a version is in force; returns the time.
async fn wait_in_force(
    cluster: &Cluster,
    version: u64,
    daemons: usize,
) -> Result<Duration, String> {
    let begin = Instant::now();
    let line = format!("H500 configuration in force name=lakeshore version={version}");
    while begin.elapsed() < Duration::from_secs(20) {
        let in_force = cluster.daemon_names().into_iter().filter(|d| {
            let log = std::fs::read_to_string(cluster.dir().join(format!("{d}.out")));
            log.is_ok_and(|text| text.contains(&line))
        });
        if in_force.count() == daemons {
            return Ok(begin.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Err(format!(
        "version {version} is not in force everywhere after 20 s"
    ))
}
