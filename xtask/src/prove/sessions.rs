//! Sessions: read-your-writes across daemons, isolation, cancel requests and malformed input.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::cluster::ClusterConfig;
use crate::load::{Caller, Outcome, Workload};
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness, millis, sleep_ms};

/// Runs callers that move to another daemon after about one request in three, with lagging
/// replicas.
async fn run_roaming(ctx: CaseContext, token: bool) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    if ctx.naive {
        harness.cluster.start_naive_proxy(true)?;
    }
    for (member, lag) in harness.members()[1..].iter().zip([300, 30]) {
        harness
            .cluster
            .inject_fault(&member.addr, "lag_ms", lag)
            .await?;
    }
    let workload = Workload {
        write_percent: 30,
        list_percent: 0,
        roam_one_in: 3,
        present_token: token,
        ..harness.default_workload()
    };
    harness.spawn_callers(workload);
    sleep_ms(5000).await;
    let reads = if ctx.naive {
        std::collections::BTreeMap::default()
    } else {
        harness.cluster.reads_by_place()?
    };
    let mut report = harness.finish().await?;
    report.check(
        ctx.naive || report.answered > 100,
        "100 or fewer requests were answered, too few for a verdict",
    );
    report.record("reads", serde_json::json!(reads));
    Ok(report)
}

/// Guards against a read that misses the caller's own write after a move to another daemon.
///
/// The replicas lag by 300 ms and 30 ms, and the new daemon gets no session token.
pub async fn roam_without_token(ctx: CaseContext) -> Result<CaseReport, String> {
    run_roaming(ctx, false).await
}

/// Guards against a read that misses the caller's own write although the caller presents the token
/// of its previous session.
///
/// The replicas lag as in [`roam_without_token`].
pub async fn roam_with_token(ctx: CaseContext) -> Result<CaseReport, String> {
    run_roaming(ctx, true).await
}

/// Guards against state that leaks between sessions over shared upstream connections.
///
/// Twelve callers run transactions and set `application_name` on few connections; about one
/// transaction in four is abandoned by a disconnect, and must be rolled back.
pub async fn session_isolation(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let addrs = harness.caller_addrs();
    let mut tasks = Vec::new();
    for i in 0..12_u64 {
        let addr = addrs[usize::try_from(i).unwrap_or(0) % addrs.len()].clone();
        tasks.push(tokio::task::spawn_local(run_transactions(
            addr, i, ctx.seed,
        )));
    }
    let mut foreign_rows = 0;
    let mut leaked = 0;
    let mut committed = 0;
    for task in tasks {
        let (f, l, c) = task.await.map_err(|e| e.to_string())??;
        foreign_rows += f;
        leaked += l;
        committed += c;
    }
    // An abandoned transaction is rolled back, so none of its rows may be visible.
    sleep_ms(500).await;
    let primary_addr = harness.wait_for_primary().await?;
    let direct = Caller::connect(&primary_addr, "look", "look", "").await?;
    let abandoned = match direct
        .simple_query("SELECT k FROM bookings WHERE k = 'left'")
        .await
    {
        Outcome::Answer(rows) => rows.len(),
        other => return Err(format!("{other:?}")),
    };
    let unpaired = match direct.simple_query("SELECT k FROM bookings").await {
        Outcome::Answer(rows) => count_unpaired(&rows),
        other => return Err(format!("{other:?}")),
    };
    let mut report = harness.finish().await?;
    report.check(
        foreign_rows == 0,
        "a transaction did not see exactly its own row",
    );
    report.check(leaked == 0, "a session saw a setting of another session");
    report.check(abandoned == 0, "an abandoned transaction was committed");
    report.check(unpaired == 0, "a transaction was committed in part");
    report.check(
        committed > 20,
        "20 or fewer transactions were committed, too few for a verdict",
    );
    report.record("transactions", committed);
    Ok(report)
}

/// Counts keys with an odd number of rows; each committed transaction writes its key twice.
fn count_unpaired(keys: &[String]) -> usize {
    let mut counts = std::collections::HashMap::new();
    for key in keys {
        *counts.entry(key).or_insert(0) += 1;
    }
    counts.values().filter(|n| *n % 2 != 0).count()
}

/// Runs one caller's transactions; returns how often a transaction read foreign rows, how often a
/// setting leaked, and how many transactions were committed.
async fn run_transactions(addr: String, index: u64, seed: u64) -> Result<(u64, u64, u64), String> {
    let mut rng = fastrand::Rng::with_seed(seed.wrapping_add(index));
    let (mut foreign_rows, mut leaked, mut committed) = (0, 0, 0);
    for round in 0..8 {
        let Ok(caller) = Caller::connect(&addr, "slots", "lakeshore-desk", "").await else {
            continue;
        };
        let own_name = format!("s{index}");
        let shown = caller.simple_query("SHOW application_name").await;
        if matches!(&shown, Outcome::Answer(rows) if rows.iter().any(|r| !r.is_empty())) {
            leaked += 1;
        }
        caller
            .simple_query(&format!("SET application_name = '{own_name}'"))
            .await;
        let shown = caller.simple_query("SHOW application_name").await;
        if matches!(&shown, Outcome::Answer(rows) if rows.first().is_some_and(|r| *r != own_name)) {
            leaked += 1;
        }
        caller.simple_query("BEGIN").await;
        let abandon = rng.u32(..4) == 0;
        let key = if abandon {
            "left".to_owned()
        } else {
            format!("t-{index}-{round}")
        };
        let insert = format!("INSERT INTO bookings (k, v) VALUES ('{key}', '{own_name}')");
        let first = caller.simple_query(&insert).await;
        sleep_ms(rng.u64(..5)).await;
        if abandon {
            drop(caller);
            continue;
        }
        let outcome = caller
            .simple_query(&format!("SELECT v FROM bookings WHERE k = '{key}'"))
            .await;
        match outcome {
            Outcome::Answer(rows) if rows != [own_name.clone()] => foreign_rows += 1,
            _ => {}
        }
        caller.simple_query(&insert).await;
        if matches!(first, Outcome::Answer(_))
            && matches!(caller.simple_query("COMMIT").await, Outcome::Answer(_))
        {
            committed += 1;
        }
    }
    Ok((foreign_rows, leaked, committed))
}

/// Guards against answers that reach the wrong caller.
///
/// On some connections the members start to answer each statement with the answer to the previous
/// one.
pub async fn crossed_answers(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let workload = Workload {
        write_percent: 30,
        ..harness.default_workload()
    };
    harness.spawn_callers(workload);
    sleep_ms(1000).await;
    for _ in 0..6 {
        for member in harness.members() {
            harness
                .cluster
                .inject_fault(&member.addr, "crossed", 2)
                .await?;
        }
        sleep_ms(500).await;
    }
    harness.finish().await
}

/// Guards against a cancel request that ends the wrong statement or none.
///
/// Two sessions of one daemon run statements; one of them cancels its own after 300 ms.
pub async fn cancel_statement(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let addrs = harness.caller_addrs();
    let caller = harness.connect(&addrs[0]).await?;
    let other = harness.connect(&addrs[0]).await?;
    let begin = std::time::Instant::now();
    let cancel = caller.cancel_token();
    let canceller = async {
        sleep_ms(300).await;
        cancel.cancel_query(tokio_postgres::NoTls).await
    };
    let (outcome, cancelled, other_reply) = tokio::join!(
        caller.simple_query("SELECT pg_sleep(3)"),
        canceller,
        other.simple_query("SELECT pg_sleep(1)"),
    );
    let took = begin.elapsed();
    let mut report = harness.finish().await?;
    report.record("told", format!("{outcome:?} {other_reply:?}"));
    report.record("took_ms", millis(took));
    report.check(cancelled.is_ok(), "the cancel request was not accepted");
    report.check(
        !matches!(outcome, Outcome::Answer(_)),
        "the cancelled statement was answered",
    );
    report.check(
        took < Duration::from_millis(2500),
        "the cancelled statement was not ended within 2.5 s",
    );
    report.check(
        matches!(other_reply, Outcome::Answer(_)),
        "the cancel request ended another session's statement",
    );
    Ok(report)
}

/// Guards against malformed input that disturbs other callers' sessions.
///
/// 200 connections send random bytes, some after a plausible or an oversized length, while normal
/// callers run.
pub async fn malformed_input(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let workload = harness.default_workload();
    harness.spawn_callers(workload);
    let mut rng = fastrand::Rng::with_seed(ctx.seed);
    let addr = harness.caller_addrs()[0].clone();
    for _ in 0..200 {
        let Ok(mut stream) = tokio::net::TcpStream::connect(&addr).await else {
            continue;
        };
        let len = rng.usize(1..200);
        let mut bytes: Vec<u8> = (0..len).map(|_| rng.u8(..)).collect();
        match rng.u32(..4) {
            // The length and version of a start-up message, then random bytes.
            0 => bytes.splice(0..0, [0, 0, 0, 40, 0, 3, 0, 0]).for_each(drop),
            // A message length far above the limit.
            1 => bytes.splice(0..0, [0x7f, 0xff, 0xff, 0xff]).for_each(drop),
            _ => {}
        }
        let _ = stream.write_all(&bytes).await;
        if rng.bool() {
            let mut sink = [0; 256];
            let _ = tokio::time::timeout(Duration::from_millis(5), stream.read(&mut sink)).await;
        }
    }
    sleep_ms(1000).await;
    let connect_failures = harness.stats.connect_failures.get();
    let mut report = harness.finish().await?;
    report.check(
        report.unknown == 0,
        "a well-formed request has an unknown outcome",
    );
    report.check(
        report.refused_not_run == 0,
        "a well-formed request was refused",
    );
    report.record("unconnected", connect_failures);
    Ok(report)
}
