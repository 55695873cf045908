//! Connection limits of members, and load above capacity.

use std::time::{Duration, Instant};

use crate::cluster::ClusterConfig;
use crate::load::Workload;
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness, sleep_ms};

/// Guards against daemons that together open more connections than a member accepts.
///
/// Under load, a daemon of each data centre is killed and restarted, so that the ownership of
/// upstream connections changes.
pub async fn connection_limits(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let workload = Workload {
        callers: 60,
        ..harness.default_workload()
    };
    harness.spawn_callers(workload);
    sleep_ms(1000).await;
    let mut max_open = 0;
    for center in [1, 2, 3] {
        if !ctx.naive {
            harness.cluster.kill(&format!("entry-{center}1"));
            sleep_ms(700).await;
            harness.cluster.start_daemon(center, 1)?;
        }
        for _ in 0..7 {
            sleep_ms(100).await;
            for member in harness.members() {
                max_open = max_open.max(
                    harness
                        .member_counters(&member.addr)
                        .await
                        .map_or(0, |c| c[0]),
                );
            }
        }
    }
    let mut refused = 0;
    for member in harness.members() {
        refused += harness.member_counters(&member.addr).await?[1];
    }
    let mut report = harness.finish().await?;
    report.check(refused == 0, "a member refused connections");
    report.record("connections_most", max_open);
    report.record("connections_refused", refused);
    Ok(report)
}

/// Guards against answers that miss their deadline and outcomes that become unknown when requests
/// queue up under overload.
///
/// One user's six callers write at a normal rate; then 150 callers of a second user write without
/// a pause, together about three times the capacity of the primary.
pub async fn overload(ctx: CaseContext) -> Result<CaseReport, String> {
    let config = ClusterConfig {
        work_us: 4000,
        ..ClusterConfig::default()
    };
    let mut harness = Harness::start(ctx, config).await?;
    let normal = Workload {
        callers: 6,
        think_time: Duration::from_millis(10),
        write_percent: 100,
        list_percent: 0,
        roam_one_in: 0,
        ..harness.default_workload()
    };
    let excessive = Workload {
        user: "lakeshore-web".to_owned(),
        callers: 150,
        think_time: Duration::ZERO,
        ..normal.clone()
    };
    harness.spawn_callers(normal);
    sleep_ms(1500).await;
    let alone = write_rate(&harness, 1000).await;
    harness.spawn_callers(excessive);
    sleep_ms(1000).await;
    let overloaded = write_rate(&harness, 3000).await;
    let slowest = harness.stats.latency.borrow().max() / 1000;
    let mut report = harness.finish().await?;
    report.check(
        slowest <= 5500,
        "an answer came more than 0.5 s after its deadline of 5 s",
    );
    report.check(report.unknown == 0, "overload left outcomes unknown");
    report.record("writes_s_alone", alone);
    report.record("writes_s_overloaded", overloaded);
    report.record("slowest_ms", slowest);
    Ok(report)
}

/// Acknowledged writes per second over the next `ms`.
async fn write_rate(harness: &Harness, ms: u64) -> u64 {
    let from = Instant::now();
    sleep_ms(ms).await;
    let count = harness
        .stats
        .acked_writes
        .borrow()
        .iter()
        .filter(|(_, end)| *end >= from)
        .count() as u64;
    count * 1000 / ms
}
