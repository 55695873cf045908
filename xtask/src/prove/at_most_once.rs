//! At-most-once execution, truthful refusals, and retries under an idempotency key.

use std::time::Duration;

use crate::cluster::ClusterConfig;
use crate::load::{Caller, Outcome, audit_outcomes};
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness, sleep_ms};

/// Execution time of one statement, long enough that kills hit before, during and after it.
const STATEMENT_WORK_MS: u64 = 12;
/// Time between two consecutive steps.
const STEP_INTERVAL_MS: u64 = 3;
/// Number of points in time, from the request on, at which a part fails.
const STEP_COUNT: u64 = 9;

/// Part of a write's path that fails.
#[derive(Clone, Copy, PartialEq)]
enum Target {
    /// The daemon that a caller is connected to.
    Entry,
    /// The first two daemons of the primary's data centre, which may own its connections.
    Owner,
    /// The primary.
    Upstream,
    /// The links of the primary's data centre.
    Link,
}

/// Guards against writes that run twice, and against writes that ran but are reported as not run.
///
/// Each part of a write's path fails at each of [`STEP_COUNT`] points in time after the request,
/// so that a retry inside the fleet or a wrong refusal becomes visible in the primary's rows.
pub async fn kill_at_each_step(ctx: CaseContext) -> Result<CaseReport, String> {
    let config = ClusterConfig {
        durable: true,
        work_us: STATEMENT_WORK_MS * 1000,
        ..ClusterConfig::default()
    };
    let mut harness = Harness::start(ctx, config).await?;
    let mut outcomes = Vec::new();
    for target in [Target::Entry, Target::Owner, Target::Upstream, Target::Link] {
        for step in 0..STEP_COUNT {
            let step_outcomes = run_step(&mut harness, target, step).await?;
            outcomes.extend(step_outcomes);
        }
    }
    let primary_addr = harness.wait_for_primary().await?;
    let audit = audit_outcomes(&primary_addr, "bookings", &outcomes).await?;
    let mut report = harness.finish().await?;
    report.lost = audit.lost;
    report.doubled = audit.doubled;
    report.false_refusals = audit.false_refusals;
    report.requests = outcomes.len() as u64;
    report.answered = outcomes
        .iter()
        .filter(|(_, t)| matches!(t, Outcome::Answer(_)))
        .count() as u64;
    report.unknown = outcomes
        .iter()
        .filter(|(_, t)| *t == Outcome::Unknown)
        .count() as u64;
    report.refused_not_run = report.requests - report.answered - report.unknown;
    report.check(
        report.answered > 20,
        "20 or fewer writes were answered, too few for a verdict",
    );
    Ok(report)
}

/// Sends a write from each of three data centres, injects the failure after `step` intervals, and
/// returns each write's key with the outcome reported to its caller.
async fn run_step(
    harness: &mut Harness,
    target: Target,
    step: u64,
) -> Result<Vec<(String, Outcome)>, String> {
    let addrs = harness.caller_addrs();
    let primary_addr = harness.wait_for_primary().await?;
    let primary = harness
        .members()
        .into_iter()
        .find(|m| m.addr == primary_addr)
        .ok_or("no such member")?;
    let mut writes = Vec::new();
    for (i, addr) in [0, addrs.len() / 2, addrs.len() - 1]
        .into_iter()
        .map(|i| (i, addrs[i].clone()))
    {
        let caller = connect_with_retry(&addr).await?;
        let key = format!("{}-{step}-{i}", target as u8);
        writes.push(tokio::task::spawn_local(async move {
            let outcome = caller
                .simple_query(&format!(
                    "INSERT INTO bookings (k, v) VALUES ('{key}', 'x')"
                ))
                .await;
            (key, outcome)
        }));
    }
    sleep_ms(step * STEP_INTERVAL_MS).await;
    inject_failure(harness, target, &primary.name, primary.center)?;
    let mut outcomes = Vec::new();
    for write in writes {
        outcomes.push(write.await.map_err(|e| e.to_string())?);
    }
    recover(harness, target, &primary.name, primary.center).await?;
    Ok(outcomes)
}

/// Connects, with retries while a restarted daemon doesn't accept callers yet.
async fn connect_with_retry(addr: &str) -> Result<Caller, String> {
    let mut last_error = String::new();
    for _ in 0..200 {
        match Caller::connect(addr, "slots", "lakeshore-desk", "").await {
            Ok(caller) => return Ok(caller),
            Err(e) => last_error = e,
        }
        sleep_ms(25).await;
    }
    Err(last_error)
}

/// Kills the target, or cuts its links; in naive mode kills the proxy instead.
fn inject_failure(
    harness: &mut Harness,
    target: Target,
    primary: &str,
    center: u8,
) -> Result<(), String> {
    if harness.ctx.naive {
        harness.cluster.kill("naive");
        return Ok(());
    }
    match target {
        Target::Entry => harness.cluster.kill("entry-11"),
        Target::Owner => {
            for i in 1..=2 {
                harness.cluster.kill(&format!("entry-{center}{i}"));
            }
        }
        Target::Upstream => harness.cluster.kill(primary),
        Target::Link => harness.cluster.isolate(center, true)?,
    }
    Ok(())
}

/// Undoes [`inject_failure`] and waits for a primary.
async fn recover(
    harness: &mut Harness,
    target: Target,
    primary: &str,
    center: u8,
) -> Result<(), String> {
    if harness.ctx.naive {
        return harness.cluster.start_naive_proxy(false);
    }
    match target {
        Target::Entry => harness.cluster.start_daemon(1, 1)?,
        Target::Owner => {
            for i in 1..=2 {
                harness.cluster.start_daemon(center, i)?;
            }
        }
        Target::Upstream => harness.cluster.start_member(primary)?,
        Target::Link => harness.cluster.isolate(center, false)?,
    }
    harness.wait_for_primary().await?;
    sleep_ms(200).await;
    Ok(())
}

/// Guards against a keyed write that runs twice, or is lost, when its outcome is unknown at first.
///
/// Members close connections after executing a statement and before answering it, and the primary
/// and a daemon are killed once each. Callers repeat each write under its idempotency key until it
/// is answered.
pub async fn keyed_retries(ctx: CaseContext) -> Result<CaseReport, String> {
    let config = ClusterConfig {
        durable: true,
        work_us: 4000,
        ..ClusterConfig::default()
    };
    let mut harness = Harness::start(ctx, config).await?;
    let addrs = harness.caller_addrs();
    let mut tasks = Vec::new();
    for i in 0..6_u64 {
        let (addrs, seed) = (addrs.clone(), ctx.seed.wrapping_add(i));
        let naive = ctx.naive;
        tasks.push(tokio::task::spawn_local(async move {
            run_keyed_writer(&addrs, seed, i, naive).await
        }));
    }
    for round in 0..4 {
        sleep_ms(700).await;
        let members = harness.members();
        for member in &members {
            let _ = harness.cluster.inject_fault(&member.addr, "lose", 2).await;
        }
        if round == 1 && !ctx.naive {
            let primary_addr = harness.wait_for_primary().await?;
            let name = members
                .iter()
                .find(|m| m.addr == primary_addr)
                .ok_or("no such member")?
                .name
                .clone();
            harness.cluster.kill(&name);
            sleep_ms(1000).await;
            harness.cluster.start_member(&name)?;
        }
        if round == 2 && !ctx.naive {
            harness.cluster.kill("entry-12");
            harness.cluster.start_daemon(1, 2)?;
        }
    }
    let mut outcomes = Vec::new();
    let mut repeated = 0;
    for task in tasks {
        let (records, repeats) = task.await.map_err(|e| e.to_string())?;
        outcomes.extend(records);
        repeated += repeats;
    }
    let primary_addr = harness.wait_for_primary().await?;
    let audit = audit_outcomes(&primary_addr, "bookings", &outcomes).await?;
    let mut report = harness.finish().await?;
    report.lost = audit.lost;
    report.doubled = audit.doubled;
    report.answered = outcomes.len() as u64;
    report.check(
        outcomes.len() > 50,
        "50 or fewer keyed writes were made, too few for a verdict",
    );
    report.record("asked_again", repeated);
    Ok(report)
}

/// Makes keyed writes for 5 s, each repeated under its key until it is answered or its attempts
/// run out.
///
/// Returns each key with the last outcome, and the number of repetitions.
async fn run_keyed_writer(
    addrs: &[String],
    seed: u64,
    index: u64,
    naive: bool,
) -> (Vec<(String, Outcome)>, u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut records = Vec::new();
    let mut repeats = 0;
    let until = std::time::Instant::now() + Duration::from_secs(5);
    let mut n = 0;
    while std::time::Instant::now() < until {
        n += 1;
        let key = format!("k-{index}-{n}");
        let sql =
            format!("/* hollyreach.key={key} */ INSERT INTO bookings (k, v) VALUES ('{key}', 'x')");
        let mut attempts = 0;
        let outcome = loop {
            let addr = rng.choice(addrs).cloned().unwrap_or_default();
            attempts += 1;
            if let Ok(caller) = Caller::connect(&addr, "slots", "lakeshore-desk", "").await {
                let outcome = caller.simple_query(&sql).await;
                if matches!(outcome, Outcome::Answer(_)) || (naive && attempts > 50) {
                    break outcome;
                }
            }
            if attempts > 400 {
                break Outcome::Unknown;
            }
            sleep_ms(20).await;
        };
        repeats += attempts - 1;
        records.push((key, outcome));
    }
    (records, repeats)
}
