//! Failovers and switchovers, under faults of members, links, failover controllers and the
//! platform.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::cluster::ClusterConfig;
use crate::load::{Caller, Outcome};
use crate::prove::harness::{CaseReport, Harness, is_not_run, millis, sleep_ms};
use crate::prove::{CaseContext, configuration};

/// Maximum time without an acknowledged write during a primary change; the project's target.
const MAX_FAILOVER_MS: u128 = 6000;

/// Time under load before the first fault.
const WARM_UP_MS: u64 = 1500;

/// Promotes a replica in naive mode, in which no daemon does so, then finishes as
/// [`finish_when_served`] does.
async fn finish_after_failover(
    harness: &mut Harness,
    failed_at: Instant,
) -> Result<CaseReport, String> {
    if harness.ctx.naive {
        sleep_ms(300).await;
        harness.promote_unchecked().await?;
    }
    finish_when_served(harness, failed_at).await
}

/// Waits for a write that began after `failed_at` and checks the gap and the callers' records.
async fn finish_when_served(
    harness: &mut Harness,
    failed_at: Instant,
) -> Result<CaseReport, String> {
    let served = harness.wait_for_write(failed_at).await;
    sleep_ms(1500).await;
    let gap = harness.stats.longest_write_gap(failed_at);
    let mut report = harness.finish().await?;
    report.check(served, "no write was acknowledged after the fault");
    check_gap(&mut report, gap);
    Ok(report)
}

/// Checks the longest time without an acknowledged write against [`MAX_FAILOVER_MS`].
fn check_gap(report: &mut CaseReport, gap: Duration) {
    report.check(
        gap.as_millis() < MAX_FAILOVER_MS,
        "no write was acknowledged for 6 s or longer",
    );
    report.record("gap_ms", millis(gap));
}

/// Starts the fleet with the default callers and lets them run for [`WARM_UP_MS`].
async fn start_under_load(ctx: CaseContext, config: ClusterConfig) -> Result<Harness, String> {
    let mut harness = Harness::start(ctx, config).await?;
    let workload = harness.default_workload();
    harness.spawn_callers(workload);
    sleep_ms(WARM_UP_MS).await;
    Ok(harness)
}

/// Guards against the loss of acknowledged writes when the primary's process is killed.
///
/// Both replicas lag by 20 ms, so the last writes may be on the primary alone.
pub async fn kill_primary(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    for member in &harness.members()[1..] {
        harness
            .cluster
            .inject_fault(&member.addr, "lag_ms", 20)
            .await?;
    }
    sleep_ms(500).await;
    let failed_at = Instant::now();
    let primary = harness.initial_primary();
    harness.cluster.kill(&primary);
    finish_after_failover(&mut harness, failed_at).await
}

/// Guards against two members that acknowledge writes at the same time.
///
/// The primary is suspended until it has been replaced; when it resumes, it still considers
/// itself the primary until it learns of the newer term.
pub async fn suspend_primary(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let primary = harness.initial_primary();
    let failed_at = Instant::now();
    harness
        .cluster
        .process(&primary)
        .ok_or("the primary has no process")?
        .suspend();
    if ctx.naive {
        sleep_ms(300).await;
        harness.promote_unchecked().await?;
    } else {
        harness.wait_for_write(failed_at).await;
    }
    let gap = harness.stats.longest_write_gap(failed_at);
    sleep_ms(500).await;
    harness
        .cluster
        .process(&primary)
        .ok_or("the primary has no process")?
        .resume();
    sleep_ms(2000).await;
    let former_addr = harness.members()[0].addr.clone();
    let (_, is_primary) = harness
        .cluster
        .member_term(&former_addr)
        .await
        .ok_or("the former primary does not report its status")?;
    let mut report = harness.finish().await?;
    report.check(
        !is_primary,
        "the former primary still leads after it resumed",
    );
    check_gap(&mut report, gap);
    Ok(report)
}

/// Guards against writes that are acknowledged on the minority side of a partition and lost.
///
/// The primary's data centre is cut off in both directions with its daemons and callers, which
/// still reach the primary there. After the partition heals, the former primary must step down.
pub async fn cut_primary(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let failed_at = Instant::now();
    harness.cluster.isolate(1, true)?;
    let served = harness.wait_for_write(failed_at).await;
    let gap = harness.stats.longest_write_gap(failed_at);
    sleep_ms(2000).await;
    harness.cluster.isolate(1, false)?;
    sleep_ms(3000).await;
    let former_addr = harness.members()[0].addr.clone();
    let (_, is_primary) = harness
        .cluster
        .member_term(&former_addr)
        .await
        .ok_or("the former primary does not report its status")?;
    let mut report = harness.finish().await?;
    report.check(
        served,
        "no write was acknowledged while the data centre was cut off",
    );
    report.check(
        !is_primary,
        "the former primary still leads after the partition healed",
    );
    check_gap(&mut report, gap);
    Ok(report)
}

/// Guards against a missing failover when the primary can send but not receive.
///
/// Everything that the other data centres send to that of the primary is cut. What it sends itself
/// still arrives, so that its messages look like those of a healthy primary.
pub async fn cut_one_way(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let failed_at = Instant::now();
    for other in [2, 3] {
        harness.cluster.set_link(other, 1, true, false)?;
        harness.cluster.set_link(1, other, false, true)?;
    }
    let served = harness.wait_for_write(failed_at).await;
    let gap = harness.stats.longest_write_gap(failed_at);
    sleep_ms(1500).await;
    for other in [2, 3] {
        harness.cluster.set_link(other, 1, false, false)?;
        harness.cluster.set_link(1, other, false, false)?;
    }
    sleep_ms(3000).await;
    let mut report = harness.finish().await?;
    report.check(served, "no write was acknowledged during the partition");
    check_gap(&mut report, gap);
    Ok(report)
}

/// Guards against a failover that depends on the platform.
///
/// The platform is down before, during and after the kill of the primary.
pub async fn platform_down(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    harness.cluster.admin(&json!({"down": true}))?;
    sleep_ms(1000).await;
    let failed_at = Instant::now();
    let primary = harness.initial_primary();
    harness.cluster.kill(&primary);
    // In naive mode no member is promoted: the order would come through the platform, which is
    // down.
    finish_when_served(&mut harness, failed_at).await
}

/// Guards against a group whose members are no longer watched after its settings have changed.
///
/// Every group gets other slots before the primary is killed.
pub async fn reconfigured_group(ctx: CaseContext) -> Result<CaseReport, String> {
    let ctx = CaseContext {
        naive: false,
        ..ctx
    };
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let text = json!([{ "op": "replace", "path": "/groups/0/slots", "value": 5 }]).to_string();
    configuration::patch(&harness.cluster, 1, "slots", &text).await?;
    sleep_ms(1000).await;
    let failed_at = Instant::now();
    let primary = harness.initial_primary();
    harness.cluster.kill(&primary);
    finish_when_served(&mut harness, failed_at).await
}

/// Guards against the promotion of a replica that lacks acknowledged writes.
///
/// One replica lags by 1.5 s when the primary is killed.
pub async fn lagging_replica(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let lagging_addr = harness.members()[1].addr.clone();
    harness
        .cluster
        .inject_fault(&lagging_addr, "lag_ms", 1500)
        .await?;
    sleep_ms(2000).await;
    let failed_at = Instant::now();
    let primary = harness.initial_primary();
    harness.cluster.kill(&primary);
    let mut report = finish_after_failover(&mut harness, failed_at).await?;
    let primary_addr = harness.wait_for_primary().await?;
    report.check(
        primary_addr != lagging_addr,
        "the lagging replica was promoted",
    );
    Ok(report)
}

/// Guards against writes that are acknowledged without a majority, and against a group that does
/// not recover once it has one.
///
/// Two of three members are killed, a write is tried, and one member restarts with its log file.
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
    // The last daemon, in the data centre of the member that is left; the naive proxy has only one
    // address.
    let addr = harness.caller_addrs()[8 % harness.caller_addrs().len()].clone();
    let caller = harness.connect(&addr).await?;
    let begin = Instant::now();
    let outcome = caller
        .simple_query("INSERT INTO bookings (k, v) VALUES ('probe', 'x')")
        .await;
    let refused_in = begin.elapsed();
    harness.cluster.start_member(&names[1])?;
    let restarted_at = Instant::now();
    if ctx.naive {
        harness.promote_unchecked().await?;
    }
    let served = harness.wait_for_write(restarted_at).await;
    sleep_ms(1000).await;
    let mut report = harness.finish().await?;
    report.check(
        is_not_run(&outcome),
        "a write without a majority was not refused as not run",
    );
    report.check(
        served,
        "no write was acknowledged after the majority was back",
    );
    report.record("refused_in_ms", millis(refused_in));
    Ok(report)
}

/// Guards against a failover from a primary that is merely slow.
///
/// The primary is suspended four times for 500 ms; its term must not change.
pub async fn slow_primary(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let before = harness.term().await?;
    let primary = harness.initial_primary();
    for _ in 0..4 {
        harness
            .cluster
            .process(&primary)
            .ok_or("the primary has no process")?
            .suspend();
        sleep_ms(500).await;
        harness
            .cluster
            .process(&primary)
            .ok_or("the primary has no process")?
            .resume();
        sleep_ms(700).await;
    }
    let after = harness.term().await?;
    let mut report = harness.finish().await?;
    report.check(
        before == after,
        "a failover took place although the primary was only slow",
    );
    report.record("term", after);
    Ok(report)
}

/// Guards against failover controllers that act on outdated evidence.
///
/// Random daemons are suspended in the course of a failover, so that another controller
/// may take over; when they resume, they may continue with steps that are no longer valid.
pub async fn controllers_suspended(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let mut rng = fastrand::Rng::with_seed(ctx.seed);
    let primary = harness.initial_primary();
    let failed_at = Instant::now();
    harness.cluster.kill(&primary);
    let daemons = harness.cluster.daemon_names();
    for _ in 0..6 {
        if ctx.naive {
            break;
        }
        // The suspensions overlap with checks of evidence, grants of terms and promotions.
        sleep_ms(rng.u64(60..140)).await;
        let name = rng
            .choice(&daemons)
            .ok_or("the fleet has no daemons")?
            .clone();
        let process = harness.cluster.process(&name).ok_or("no such daemon")?;
        process.suspend();
        sleep_ms(rng.u64(50..400)).await;
        harness
            .cluster
            .process(&name)
            .ok_or("no such daemon")?
            .resume();
    }
    finish_after_failover(&mut harness, failed_at).await
}

/// Guards against the loss of acknowledged writes over several failovers in a row.
///
/// Three times the current primary is killed, replaced, and restarted with its old log, from which
/// it must rejoin the group.
pub async fn repeated_failover(ctx: CaseContext) -> Result<CaseReport, String> {
    let config = ClusterConfig {
        durable: true,
        ..ClusterConfig::default()
    };
    let mut harness = start_under_load(ctx, config).await?;
    let mut longest_gap = Duration::ZERO;
    for _ in 0..3 {
        let primary_addr = harness.wait_for_primary().await?;
        let name = harness
            .members()
            .into_iter()
            .find(|m| m.addr == primary_addr)
            .ok_or("no such member")?
            .name;
        let failed_at = Instant::now();
        harness.cluster.kill(&name);
        if ctx.naive {
            harness.promote_unchecked().await?;
        }
        harness.wait_for_write(failed_at).await;
        longest_gap = longest_gap.max(harness.stats.longest_write_gap(failed_at));
        harness.cluster.start_member(&name)?;
        sleep_ms(1500).await;
    }
    let mut report = harness.finish().await?;
    check_gap(&mut report, longest_gap);
    Ok(report)
}

/// Guards against a switchover that leaves outcomes unknown, or after which the old primary still
/// receives statements.
///
/// The platform lists the primary's VM as leaving; statements that it serves more than 3 s later
/// are violations.
pub async fn switchover(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    let primary = harness.initial_primary();
    let former_addr = harness.members()[0].addr.clone();
    let listed_at = Instant::now();
    harness.cluster.set_vm_state(&primary, "leaving")?;
    sleep_ms(3000).await;
    let served_before = harness.member_counters(&former_addr).await?[2];
    sleep_ms(1500).await;
    let served_after = harness.member_counters(&former_addr).await?[2];
    let gap = harness.stats.longest_write_gap(listed_at);
    let mut report = harness.finish().await?;
    report.check(
        served_before == served_after,
        "the leaving member received statements after 3 s",
    );
    report.check(report.unknown == 0, "the switchover left outcomes unknown");
    report.record("gap_ms", millis(gap));
    report.record("late_statements", served_after - served_before);
    Ok(report)
}

/// Guards against statements that are sent to a replica whose VM will be removed.
///
/// The platform lists the replica's VM as leaving; statements that it serves more than 3 s later
/// are violations.
pub async fn leaving_replica(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = start_under_load(ctx, ClusterConfig::default()).await?;
    if ctx.naive {
        harness.cluster.start_naive_proxy(true)?;
        let workload = harness.default_workload();
        harness.spawn_callers(workload);
    }
    let replica = harness.members()[1].name.clone();
    let addr = harness.members()[1].addr.clone();
    harness.cluster.set_vm_state(&replica, "leaving")?;
    sleep_ms(3000).await;
    let served_before = harness.member_counters(&addr).await?[2];
    sleep_ms(1500).await;
    let served_after = harness.member_counters(&addr).await?[2];
    let mut report = harness.finish().await?;
    report.check(
        served_before == served_after,
        "the leaving member received statements after 3 s",
    );
    report.record("late_statements", served_after - served_before);
    Ok(report)
}

/// Guards against stale reads from a former primary.
///
/// The primary is suspended and replaced, a write is acknowledged by the new one, and the former
/// primary resumes. Reads through a daemon of its own data centre must see that write at once; a
/// second round checks the same without a suspension.
pub async fn old_primary_reads(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let primary = harness.initial_primary();
    let addrs = harness.caller_addrs();
    let near = addrs[0].clone();
    let far = addrs[addrs.len() - 1].clone();
    let (mut missed, mut seen) = (0, 0);
    for round in 0..2 {
        let key = format!("round-{round}");
        if round == 0 {
            harness
                .cluster
                .process(&primary)
                .ok_or("the primary has no process")?
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
                .simple_query(&sql)
                .await,
            Outcome::Answer(_)
        ) {
            if Instant::now() > until {
                return Err("the write was not acknowledged within 10 s".to_owned());
            }
            sleep_ms(50).await;
        }
        if round == 0 {
            harness
                .cluster
                .process(&primary)
                .ok_or("the primary has no process")?
                .resume();
        }
        for _ in 0..50 {
            let caller = harness.connect(&near).await?;
            let outcome = caller
                .simple_query(&format!("SELECT k FROM bookings WHERE k = '{key}'"))
                .await;
            match outcome {
                Outcome::Answer(rows) if rows.is_empty() => missed += 1,
                Outcome::Answer(_) => seen += 1,
                _ => {}
            }
        }
    }
    let mut report = harness.finish().await?;
    report.stale = missed;
    report.check(
        seen > 50,
        "50 or fewer reads saw the write, too few for a verdict",
    );
    report.record("reads_seen", seen);
    Ok(report)
}
