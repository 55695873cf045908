//! Planned restarts of daemons.

use std::time::Duration;

use crate::cluster::{Cluster, ClusterConfig, DATA_CENTERS};
use crate::load::Workload;
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness, sleep_ms};

/// Guards against requests that are interrupted by a planned stop of a daemon.
///
/// Every daemon in turn gets SIGTERM under load, drains, exits, and is restarted.
pub async fn rolling(ctx: CaseContext) -> Result<CaseReport, String> {
    let settings = "timing:\n  drain_ms: 700\n".to_owned();
    let mut harness = Harness::start(
        ctx,
        ClusterConfig {
            settings,
            ..ClusterConfig::default()
        },
    )
    .await?;
    let mut stopped = 0;
    let mut groups = Vec::new();
    // There is no load balancer that would take a daemon out of service before it stops; instead a
    // caller whose connection fails chooses a daemon at random again.
    for center in DATA_CENTERS {
        let workload = Workload {
            addrs: harness.caller_addrs(),
            callers: 4,
            roam_one_in: 60,
            seed: ctx.seed * 10 + u64::from(center),
            ..harness.default_workload()
        };
        groups.push(center);
        harness.spawn_callers(workload);
    }
    sleep_ms(1000).await;
    for center in DATA_CENTERS {
        for i in 1..=harness.cluster.config.daemons {
            if ctx.naive {
                harness.cluster.kill("naive");
                harness.cluster.start_naive_proxy(false)?;
                sleep_ms(500).await;
                continue;
            }
            let name = Cluster::daemon_name(center, i);
            let process = harness.cluster.process(&name).ok_or("no such daemon")?;
            process.terminate();
            let until = std::time::Instant::now() + Duration::from_secs(20);
            while std::time::Instant::now() < until && !harness.cluster.has_exited(&name) {
                sleep_ms(20).await;
            }
            stopped += 1;
            harness.cluster.start_daemon(center, i)?;
            while !harness.cluster.is_ready(&name) {
                sleep_ms(20).await;
            }
        }
    }
    let mut report = harness.finish().await?;
    report.check(report.unknown == 0, "a planned stop left outcomes unknown");
    report.record("stopped", stopped);
    Ok(report)
}
