//! Changes of primary, under failures of members, links, wardens and the platform.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::cluster::ClusterConfig;
use crate::load::{Caller, Told};
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness, is_not_run, millis, sleep_ms};

/// A change must be over within this time, in ms; the target of the project.
const MAX_FAILOVER_MS: u128 = 6000;

/// Time under load before a failure, in ms.
const WARM_UP_MS: u64 = 1500;

async fn finish_after_failover(
    harness: &mut Harness,
    failed: Instant,
) -> Result<CaseReport, String> {
    if harness.ctx.naive {
        sleep_ms(300).await;
        harness.promote_unchecked().await?;
    }
    finish_when_served(harness, failed).await
}

/// Waits until service goes on, and compares.
async fn finish_when_served(harness: &mut Harness, failed: Instant) -> Result<CaseReport, String> {
    let served = harness.wait_for_write(failed).await;
    sleep_ms(1500).await;
    let gap = harness.load.gap_after(failed);
    let mut report = harness.finish().await?;
    report.check(served, "no write was served after the failure");
    check_gap(&mut report, gap);
    Ok(report)
}

/// Compares the time without service with the target of the project.
fn check_gap(report: &mut CaseReport, gap: Duration) {
    report.check(
        gap.as_millis() < MAX_FAILOVER_MS,
        "the change took longer than 6 s",
    );
    report.record("gap_ms", millis(gap));
}

async fn start_under_load(ctx: CaseContext, config: ClusterConfig) -> Result<Harness, String> {
    let mut harness = Harness::start(ctx, config).await?;
    let mix = harness.default_mix();
    harness.spawn_callers(mix);
    sleep_ms(WARM_UP_MS).await;
    Ok(harness)
}

/// The primary's process is killed; the replicas lag a little.
pub async fn kill_primary(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    for member in &harness.members()[1..] {
        harness
            .cluster
            .inject_fault(&member.addr, "lag_ms", 20)
            .await?;
    }
    sleep_ms(500).await;
    let failed = Instant::now();
    let primary = harness.initial_primary();
    harness.cluster.kill(&primary);
    finish_after_failover(&mut harness, failed).await
}

/// The primary is paused, replaced, and wakes up believing that it leads.
pub async fn suspend_primary(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let primary = harness.initial_primary();
    let failed = Instant::now();
    harness
        .cluster
        .process(&primary)
        .ok_or("no primary")?
        .suspend();
    if ctx.naive {
        sleep_ms(300).await;
        harness.promote_unchecked().await?;
    } else {
        harness.wait_for_write(failed).await;
    }
    let gap = harness.load.gap_after(failed);
    sleep_ms(500).await;
    harness
        .cluster
        .process(&primary)
        .ok_or("no primary")?
        .resume();
    sleep_ms(2000).await;
    let old = harness.members()[0].addr.clone();
    let (_, leads) = harness
        .cluster
        .member_term(&old)
        .await
        .ok_or("the old primary does not answer")?;
    let mut report = harness.finish().await?;
    report.check(!leads, "the old primary still leads after it woke up");
    check_gap(&mut report, gap);
    Ok(report)
}

/// The primary's data centre is cut off both ways, with daemons and callers inside, and heals.
pub async fn cut_primary(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let failed = Instant::now();
    harness.cluster.isolate(1, true)?;
    let served = harness.wait_for_write(failed).await;
    let gap = harness.load.gap_after(failed);
    sleep_ms(2000).await;
    harness.cluster.isolate(1, false)?;
    sleep_ms(3000).await;
    let old = harness.members()[0].addr.clone();
    let (_, leads) = harness
        .cluster
        .member_term(&old)
        .await
        .ok_or("the old primary does not answer")?;
    let mut report = harness.finish().await?;
    report.check(
        served,
        "no write was served while the data centre was cut off",
    );
    report.check(!leads, "the old primary still leads after the cut healed");
    check_gap(&mut report, gap);
    Ok(report)
}

/// Only what others send into the primary's data centre is cut; what it sends passes.
pub async fn cut_one_way(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let failed = Instant::now();
    for other in [2, 3] {
        harness.cluster.set_link(other, 1, true, false)?;
        harness.cluster.set_link(1, other, false, true)?;
    }
    let served = harness.wait_for_write(failed).await;
    let gap = harness.load.gap_after(failed);
    sleep_ms(1500).await;
    for other in [2, 3] {
        harness.cluster.set_link(other, 1, false, false)?;
        harness.cluster.set_link(1, other, false, false)?;
    }
    sleep_ms(3000).await;
    let mut report = harness.finish().await?;
    report.check(served, "no write was served while the cut lasted");
    check_gap(&mut report, gap);
    Ok(report)
}

/// The platform is down before, during and after the loss of the primary.
pub async fn platform_down(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    harness.cluster.admin(&json!({"down": true}))?;
    sleep_ms(1000).await;
    let failed = Instant::now();
    let primary = harness.initial_primary();
    harness.cluster.kill(&primary);
    // The naive way waits for an order through the platform, which does not come.
    finish_when_served(&mut harness, failed).await
}

/// One replica is far behind when the primary dies, and must not win.
pub async fn lagging_replica(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let behind = harness.members()[1].addr.clone();
    harness
        .cluster
        .inject_fault(&behind, "lag_ms", 1500)
        .await?;
    sleep_ms(2000).await;
    let failed = Instant::now();
    let primary = harness.initial_primary();
    harness.cluster.kill(&primary);
    let mut report = finish_after_failover(&mut harness, failed).await?;
    let primary_addr = harness.wait_for_primary().await?;
    report.check(primary_addr != behind, "the lagging replica was promoted");
    Ok(report)
}

/// Two of three members die; new writes are refused as not run; one comes back with its file.
pub async fn majority_lost(ctx: CaseContext) -> Result<CaseReport, String> {
    let config = ClusterConfig {
        durable: true,
        ..ClusterConfig::default()
    };
    let mut harness = start_under_load(ctx, config).await?;
    let names: Vec<String> = harness.members().iter().map(|m| m.name.clone()).collect();
    harness.cluster.kill(&names[0]);
    harness.cluster.kill(&names[1]);
    sleep_ms(4500).await;
    let addr = harness.caller_addrs()[8 % harness.caller_addrs().len()].clone();
    let caller = harness.connect(&addr).await?;
    let begin = Instant::now();
    let told = caller
        .simple("INSERT INTO bookings (k, v) VALUES ('probe', 'x')")
        .await;
    let refused_in = begin.elapsed();
    harness.cluster.start_member(&names[1])?;
    let back = Instant::now();
    if ctx.naive {
        harness.promote_unchecked().await?;
    }
    let served = harness.wait_for_write(back).await;
    sleep_ms(1000).await;
    let mut report = harness.finish().await?;
    report.check(
        is_not_run(&told),
        "without a majority a write was not refused as not run",
    );
    report.check(served, "no write was served after a majority was back");
    report.record("refused_in_ms", millis(refused_in));
    Ok(report)
}

/// The primary is paused for 500 ms, several times; it must stay.
pub async fn slow_primary(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let before = harness.term().await?;
    let primary = harness.initial_primary();
    for _ in 0..4 {
        harness
            .cluster
            .process(&primary)
            .ok_or("no primary")?
            .suspend();
        sleep_ms(500).await;
        harness
            .cluster
            .process(&primary)
            .ok_or("no primary")?
            .resume();
        sleep_ms(700).await;
    }
    let after = harness.term().await?;
    let mut report = harness.finish().await?;
    report.check(
        before == after,
        "the primary was changed although it was only slow",
    );
    report.record("term", after);
    Ok(report)
}

/// Daemons are paused at random while the primary dies, and wake up late.
pub async fn controllers_suspended(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let mut random = fastrand::Rng::with_seed(ctx.seed);
    let primary = harness.initial_primary();
    let failed = Instant::now();
    harness.cluster.kill(&primary);
    let daemons = harness.cluster.daemon_names();
    for _ in 0..6 {
        if ctx.naive {
            break;
        }
        // The window in which evidence is checked, terms are raised and members promoted.
        sleep_ms(random.u64(60..140)).await;
        let name = random.choice(&daemons).ok_or("no daemons")?.clone();
        let process = harness.cluster.process(&name).ok_or("no such daemon")?;
        process.suspend();
        sleep_ms(random.u64(50..400)).await;
        harness
            .cluster
            .process(&name)
            .ok_or("no such daemon")?
            .resume();
    }
    finish_after_failover(&mut harness, failed).await
}

/// Two members change hands in a row: each new primary is killed as well, and restarted.
pub async fn repeated_failover(ctx: CaseContext) -> Result<CaseReport, String> {
    let config = ClusterConfig {
        durable: true,
        ..ClusterConfig::default()
    };
    let mut harness = start_under_load(ctx, config).await?;
    let mut worst = Duration::ZERO;
    for _ in 0..3 {
        let primary_addr = harness.wait_for_primary().await?;
        let name = harness
            .members()
            .into_iter()
            .find(|m| m.addr == primary_addr)
            .ok_or("no such member")?
            .name;
        let failed = Instant::now();
        harness.cluster.kill(&name);
        if ctx.naive {
            harness.promote_unchecked().await?;
        }
        harness.wait_for_write(failed).await;
        worst = worst.max(harness.load.gap_after(failed));
        harness.cluster.start_member(&name)?;
        sleep_ms(1500).await;
    }
    let mut report = harness.finish().await?;
    check_gap(&mut report, worst);
    Ok(report)
}

/// The primary's VM is listed as leaving; another member takes over without a failure.
pub async fn switchover(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let primary = harness.initial_primary();
    let old = harness.members()[0].addr.clone();
    let listed = Instant::now();
    harness.cluster.set_vm_state(&primary, "leaving")?;
    sleep_ms(3000).await;
    let served = harness.member_counters(&old).await?[2];
    sleep_ms(1500).await;
    let later = harness.member_counters(&old).await?[2];
    let gap = harness.load.gap_after(listed);
    let mut report = harness.finish().await?;
    report.check(served == later, "the leaving member got work after 3 s");
    report.check(report.unknown == 0, "the hand-over left outcomes unknown");
    report.record("gap_ms", millis(gap));
    report.record("late_statements", later - served);
    Ok(report)
}

/// A replica's VM is listed as leaving; it gets no new work within 3 s.
pub async fn leaving_replica(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    if ctx.naive {
        harness.cluster.start_naive_proxy(true)?;
        let mix = harness.default_mix();
        harness.spawn_callers(mix);
    }
    let replica = harness.members()[1].name.clone();
    let addr = harness.members()[1].addr.clone();
    harness.cluster.set_vm_state(&replica, "leaving")?;
    sleep_ms(3000).await;
    let served = harness.member_counters(&addr).await?[2];
    sleep_ms(1500).await;
    let later = harness.member_counters(&addr).await?[2];
    let mut report = harness.finish().await?;
    report.check(served == later, "the leaving member got work after 3 s");
    report.record("late_statements", later - served);
    Ok(report)
}

/// Reads through a paused and replaced primary's own data centre, right after it wakes up.
pub async fn old_primary_reads(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let primary = harness.initial_primary();
    let addrs = harness.caller_addrs();
    let here = addrs[0].clone();
    let far = addrs[addrs.len() - 1].clone();
    let (mut missed, mut seen) = (0, 0);
    for round in 0..2 {
        let key = format!("round-{round}");
        if round == 0 {
            harness
                .cluster
                .process(&primary)
                .ok_or("no primary")?
                .suspend();
            if ctx.naive {
                harness.promote_unchecked().await?;
            }
        }
        let target = if ctx.naive {
            harness.members()[1].addr.clone()
        } else {
            far.clone()
        };
        let sql = format!("INSERT INTO bookings (k, v) VALUES ('{key}', 'x')");
        let until = Instant::now() + Duration::from_secs(10);
        while !matches!(
            Caller::connect(&target, "slots", "lakeshore-desk", "")
                .await?
                .simple(&sql)
                .await,
            Told::Answer(_)
        ) {
            if Instant::now() > until {
                return Err("the write was never acknowledged".to_owned());
            }
            sleep_ms(50).await;
        }
        if round == 0 {
            harness
                .cluster
                .process(&primary)
                .ok_or("no primary")?
                .resume();
        }
        for _ in 0..50 {
            let caller = harness.connect(&here).await?;
            let told = caller
                .simple(&format!("SELECT k FROM bookings WHERE k = '{key}'"))
                .await;
            match told {
                Told::Answer(rows) if rows.is_empty() => missed += 1,
                Told::Answer(_) => seen += 1,
                _ => {}
            }
        }
    }
    let mut report = harness.finish().await?;
    report.stale = missed;
    report.check(seen > 50, "too few reads to prove anything");
    report.record("reads_seen", seen);
    Ok(report)
}
