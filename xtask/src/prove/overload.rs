//! Limits: connections of members, and offered load above capacity.

use std::time::{Duration, Instant};

use crate::cluster::ClusterConfig;
use crate::load::Mix;
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness, sleep_ms};

/// Daemons are killed and started again under load; no member may refuse a connection.
pub async fn connection_limits(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let mix = Mix {
        callers: 60,
        ..harness.default_mix()
    };
    harness.spawn_callers(mix);
    sleep_ms(1000).await;
    let mut most = 0;
    for center in [1, 2, 3] {
        if !ctx.naive {
            harness.cluster.kill(&format!("entry-{center}1"));
            sleep_ms(700).await;
            harness.cluster.start_daemon(center, 1)?;
        }
        for _ in 0..7 {
            sleep_ms(100).await;
            for member in harness.members() {
                most = most.max(
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
    report.check(refused == 0, "a member had to refuse connections");
    report.record("connections_most", most);
    report.record("connections_refused", refused);
    Ok(report)
}

/// Three times the capacity of the primary, from two users of which one misbehaves.
pub async fn overload(ctx: CaseContext) -> Result<CaseReport, String> {
    let config = ClusterConfig {
        work_us: 4000,
        ..ClusterConfig::default()
    };
    let mut harness = Harness::start(ctx, config).await?;
    let polite = Mix {
        callers: 6,
        pause: Duration::from_millis(10),
        writes: 100,
        lists: 0,
        roam: 0,
        ..harness.default_mix()
    };
    let rude = Mix {
        user: "lakeshore-web".to_owned(),
        callers: 150,
        pause: Duration::ZERO,
        ..polite.clone()
    };
    harness.spawn_callers(polite);
    sleep_ms(1500).await;
    let alone = write_rate(&harness, 1000).await;
    harness.spawn_callers(rude);
    sleep_ms(1000).await;
    let together = write_rate(&harness, 3000).await;
    let slowest = harness.load.latency.borrow().max() / 1000;
    let mut report = harness.finish().await?;
    report.check(slowest <= 5500, "an answer came after its deadline");
    report.check(report.unknown == 0, "overload left outcomes unknown");
    report.record("writes_s_alone", alone);
    report.record("writes_s_overloaded", together);
    report.record("slowest_ms", slowest);
    Ok(report)
}

/// Acknowledged writes a second.
async fn write_rate(harness: &Harness, ms: u64) -> u64 {
    let from = Instant::now();
    sleep_ms(ms).await;
    let count = harness
        .load
        .writes
        .borrow()
        .iter()
        .filter(|(_, end)| *end >= from)
        .count() as u64;
    count * 1000 / ms
}
