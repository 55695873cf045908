//! Sessions: read-your-writes after roaming, separation, cancels, broken callers.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::cluster::ClusterConfig;
use crate::load::{Caller, Mix, Told};
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness, millis, sleep_ms};

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
    let mix = Mix {
        writes: 30,
        lists: 0,
        roam: 3,
        token,
        ..harness.default_mix()
    };
    harness.spawn_callers(mix);
    sleep_ms(5000).await;
    let reads = if ctx.naive {
        std::collections::BTreeMap::default()
    } else {
        harness.cluster.reads_by_place()?
    };
    let mut report = harness.finish().await?;
    report.check(
        ctx.naive || report.answered > 100,
        "too few answers to prove anything",
    );
    report.record("reads", serde_json::json!(reads));
    Ok(report)
}

/// Callers roam without a token.
pub async fn roam_without_token(ctx: CaseContext) -> Result<CaseReport, String> {
    run_roaming(ctx, false).await
}

/// Callers present the token of their former session.
pub async fn roam_with_token(ctx: CaseContext) -> Result<CaseReport, String> {
    run_roaming(ctx, true).await
}

/// Transactions and settings of many callers on few connections; some vanish midway.
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
    let mut mixed = 0;
    let mut leaked = 0;
    let mut done = 0;
    for task in tasks {
        let (m, l, d) = task.await.map_err(|e| e.to_string())??;
        mixed += m;
        leaked += l;
        done += d;
    }
    // A transaction that its caller left is rolled back: none of its rows may stand.
    sleep_ms(500).await;
    let primary_addr = harness.wait_for_primary().await?;
    let direct = Caller::connect(&primary_addr, "look", "look", "").await?;
    let left = match direct
        .simple("SELECT k FROM bookings WHERE k = 'left'")
        .await
    {
        Told::Answer(rows) => rows.len(),
        other => return Err(format!("{other:?}")),
    };
    let odd = match direct.simple("SELECT k FROM bookings").await {
        Told::Answer(rows) => count_unpaired(&rows),
        other => return Err(format!("{other:?}")),
    };
    let mut report = harness.finish().await?;
    report.check(mixed == 0, "a transaction saw another's rows");
    report.check(leaked == 0, "a setting of another session was seen");
    report.check(
        left == 0,
        "a transaction that its caller left was committed",
    );
    report.check(odd == 0, "half of a transaction was committed");
    report.check(done > 20, "too few transactions to prove anything");
    report.record("transactions", done);
    Ok(report)
}

/// Keys that stand once: each transaction writes its key twice.
fn count_unpaired(keys: &[String]) -> usize {
    let mut counts = std::collections::HashMap::new();
    for key in keys {
        *counts.entry(key).or_insert(0) += 1;
    }
    counts.values().filter(|n| *n % 2 != 0).count()
}

/// Returns how often rows mixed, settings leaked, and transactions were committed.
async fn run_transactions(addr: String, index: u64, seed: u64) -> Result<(u64, u64, u64), String> {
    let mut random = fastrand::Rng::with_seed(seed.wrapping_add(index));
    let (mut mixed, mut leaked, mut done) = (0, 0, 0);
    for round in 0..8 {
        let Ok(caller) = Caller::connect(&addr, "slots", "lakeshore-desk", "").await else {
            continue;
        };
        let mine = format!("s{index}");
        let shown = caller.simple("SHOW application_name").await;
        if matches!(&shown, Told::Answer(rows) if rows.iter().any(|r| !r.is_empty())) {
            leaked += 1;
        }
        caller
            .simple(&format!("SET application_name = '{mine}'"))
            .await;
        let shown = caller.simple("SHOW application_name").await;
        if matches!(&shown, Told::Answer(rows) if rows.first().is_some_and(|r| *r != mine)) {
            leaked += 1;
        }
        caller.simple("BEGIN").await;
        let leave = random.u32(..4) == 0;
        let key = if leave {
            "left".to_owned()
        } else {
            format!("t-{index}-{round}")
        };
        let insert = format!("INSERT INTO bookings (k, v) VALUES ('{key}', '{mine}')");
        let first = caller.simple(&insert).await;
        sleep_ms(random.u64(..5)).await;
        if leave {
            drop(caller);
            continue;
        }
        let told = caller
            .simple(&format!("SELECT v FROM bookings WHERE k = '{key}'"))
            .await;
        match told {
            Told::Answer(rows) if rows != [mine.clone()] => mixed += 1,
            _ => {}
        }
        caller.simple(&insert).await;
        if matches!(first, Told::Answer(_))
            && matches!(caller.simple("COMMIT").await, Told::Answer(_))
        {
            done += 1;
        }
    }
    Ok((mixed, leaked, done))
}

/// An upstream answers each statement with its predecessor's answer, from some point on.
pub async fn crossed_answers(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let mix = Mix {
        writes: 30,
        ..harness.default_mix()
    };
    harness.spawn_callers(mix);
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

/// A caller cancels its own long statement; another's goes on.
pub async fn cancel_statement(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let addrs = harness.caller_addrs();
    let mine = harness.connect(&addrs[0]).await?;
    let other = harness.connect(&addrs[0]).await?;
    let begin = std::time::Instant::now();
    let cancel = mine.cancel_token();
    let canceller = async {
        sleep_ms(300).await;
        cancel.cancel_query(tokio_postgres::NoTls).await
    };
    let (told, cancelled, kept) = tokio::join!(
        mine.simple("SELECT pg_sleep(3)"),
        canceller,
        other.simple("SELECT pg_sleep(1)"),
    );
    let took = begin.elapsed();
    let mut report = harness.finish().await?;
    report.record("told", format!("{told:?} {kept:?}"));
    report.record("took_ms", millis(took));
    report.check(cancelled.is_ok(), "the cancel was not taken");
    report.check(
        !matches!(told, Told::Answer(_)),
        "the cancelled statement was answered",
    );
    report.check(
        took < Duration::from_millis(2500),
        "the cancelled statement went on to its end",
    );
    report.check(
        matches!(kept, Told::Answer(_)),
        "another session's statement was ended",
    );
    Ok(report)
}

/// Broken callers beside sound ones.
pub async fn malformed_input(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    let mix = harness.default_mix();
    harness.spawn_callers(mix);
    let mut random = fastrand::Rng::with_seed(ctx.seed);
    let addr = harness.caller_addrs()[0].clone();
    for _ in 0..200 {
        let Ok(mut stream) = tokio::net::TcpStream::connect(&addr).await else {
            continue;
        };
        let len = random.usize(1..200);
        let mut bytes: Vec<u8> = (0..len).map(|_| random.u8(..)).collect();
        match random.u32(..4) {
            // A plausible start-up length, then noise.
            0 => bytes.splice(0..0, [0, 0, 0, 40, 0, 3, 0, 0]).for_each(drop),
            // A length far above the limit.
            1 => bytes.splice(0..0, [0x7f, 0xff, 0xff, 0xff]).for_each(drop),
            _ => {}
        }
        let _ = stream.write_all(&bytes).await;
        if random.bool() {
            let mut sink = [0; 256];
            let _ = tokio::time::timeout(Duration::from_millis(5), stream.read(&mut sink)).await;
        }
    }
    sleep_ms(1000).await;
    let unconnected = harness.load.unconnected.get();
    let mut report = harness.finish().await?;
    report.check(report.unknown == 0, "a sound caller lost its answer");
    report.check(report.refused_not_run == 0, "a sound caller was refused");
    report.record("unconnected", unconnected);
    Ok(report)
}
