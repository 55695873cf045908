//! Sessions: read-your-writes after roaming, separation, cancels, broken callers.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::cluster::Plan;
use crate::load::{Caller, Outcome, Workload};
use crate::prove::Ctx;
use crate::prove::scene::{Facts, Scene, ms, pause};

async fn roaming(ctx: Ctx, token: bool) -> Result<Facts, String> {
    let mut scene = Scene::start(ctx, Plan::default()).await?;
    if ctx.naive {
        scene.cluster.start_naive(true)?;
    }
    for (member, lag) in scene.members()[1..].iter().zip([300, 30]) {
        scene.cluster.fault(&member.addr, "lag_ms", lag).await?;
    }
    let mix = Workload {
        write_percent: 30,
        list_percent: 0,
        roam_one_in: 3,
        present_token: token,
        ..scene.mix()
    };
    scene.go(mix);
    pause(5000).await;
    let reads = if ctx.naive {
        std::collections::BTreeMap::default()
    } else {
        scene.cluster.reads()?
    };
    let mut facts = scene.finish().await?;
    facts.expect(
        ctx.naive || facts.answered > 100,
        "too few answers to prove anything",
    );
    facts.tell("reads", serde_json::json!(reads));
    Ok(facts)
}

/// Callers roam without a token.
pub async fn roam(ctx: Ctx) -> Result<Facts, String> {
    roaming(ctx, false).await
}

/// Callers present the token of their former session.
pub async fn roam_token(ctx: Ctx) -> Result<Facts, String> {
    roaming(ctx, true).await
}

/// Transactions and settings of many callers on few connections; some vanish midway.
pub async fn mixing(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = Scene::start(ctx, Plan::default()).await?;
    let addrs = scene.addrs();
    let mut tasks = Vec::new();
    for i in 0..12_u64 {
        let addr = addrs[usize::try_from(i).unwrap_or(0) % addrs.len()].clone();
        tasks.push(tokio::task::spawn_local(transactions(addr, i, ctx.seed)));
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
    pause(500).await;
    let leader = scene.leader().await?;
    let direct = Caller::connect(&leader, "look", "look", "").await?;
    let left = match direct
        .simple_query("SELECT k FROM bookings WHERE k = 'left'")
        .await
    {
        Outcome::Answer(rows) => rows.len(),
        other => return Err(format!("{other:?}")),
    };
    let odd = match direct.simple_query("SELECT k FROM bookings").await {
        Outcome::Answer(rows) => odd_pairs(&rows),
        other => return Err(format!("{other:?}")),
    };
    let mut facts = scene.finish().await?;
    facts.expect(mixed == 0, "a transaction saw another's rows");
    facts.expect(leaked == 0, "a setting of another session was seen");
    facts.expect(
        left == 0,
        "a transaction that its caller left was committed",
    );
    facts.expect(odd == 0, "half of a transaction was committed");
    facts.expect(done > 20, "too few transactions to prove anything");
    facts.tell("transactions", done);
    Ok(facts)
}

/// Keys that stand once: each transaction writes its key twice.
fn odd_pairs(keys: &[String]) -> usize {
    let mut counts = std::collections::HashMap::new();
    for key in keys {
        *counts.entry(key).or_insert(0) += 1;
    }
    counts.values().filter(|n| *n % 2 != 0).count()
}

/// Returns how often rows mixed, settings leaked, and transactions were committed.
async fn transactions(addr: String, index: u64, seed: u64) -> Result<(u64, u64, u64), String> {
    let mut random = fastrand::Rng::with_seed(seed.wrapping_add(index));
    let (mut mixed, mut leaked, mut done) = (0, 0, 0);
    for round in 0..8 {
        let Ok(caller) = Caller::connect(&addr, "slots", "lakeshore-desk", "").await else {
            continue;
        };
        let mine = format!("s{index}");
        let shown = caller.simple_query("SHOW application_name").await;
        if matches!(&shown, Outcome::Answer(rows) if rows.iter().any(|r| !r.is_empty())) {
            leaked += 1;
        }
        caller
            .simple_query(&format!("SET application_name = '{mine}'"))
            .await;
        let shown = caller.simple_query("SHOW application_name").await;
        if matches!(&shown, Outcome::Answer(rows) if rows.first().is_some_and(|r| *r != mine)) {
            leaked += 1;
        }
        caller.simple_query("BEGIN").await;
        let leave = random.u32(..4) == 0;
        let key = if leave {
            "left".to_owned()
        } else {
            format!("t-{index}-{round}")
        };
        let insert = format!("INSERT INTO bookings (k, v) VALUES ('{key}', '{mine}')");
        let first = caller.simple_query(&insert).await;
        pause(random.u64(..5)).await;
        if leave {
            drop(caller);
            continue;
        }
        let told = caller
            .simple_query(&format!("SELECT v FROM bookings WHERE k = '{key}'"))
            .await;
        match told {
            Outcome::Answer(rows) if rows != [mine.clone()] => mixed += 1,
            _ => {}
        }
        caller.simple_query(&insert).await;
        if matches!(first, Outcome::Answer(_))
            && matches!(caller.simple_query("COMMIT").await, Outcome::Answer(_))
        {
            done += 1;
        }
    }
    Ok((mixed, leaked, done))
}

/// An upstream answers each statement with its predecessor's answer, from some point on.
pub async fn crossed(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = Scene::start(ctx, Plan::default()).await?;
    let mix = Workload {
        write_percent: 30,
        ..scene.mix()
    };
    scene.go(mix);
    pause(1000).await;
    for _ in 0..6 {
        for member in scene.members() {
            scene.cluster.fault(&member.addr, "crossed", 2).await?;
        }
        pause(500).await;
    }
    scene.finish().await
}

/// A caller cancels its own long statement; another's goes on.
pub async fn cancel(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = Scene::start(ctx, Plan::default()).await?;
    let addrs = scene.addrs();
    let mine = scene.caller(&addrs[0]).await?;
    let other = scene.caller(&addrs[0]).await?;
    let begin = std::time::Instant::now();
    let cancel = mine.cancel_token();
    let canceller = async {
        pause(300).await;
        cancel.cancel_query(tokio_postgres::NoTls).await
    };
    let (told, cancelled, kept) = tokio::join!(
        mine.simple_query("SELECT pg_sleep(3)"),
        canceller,
        other.simple_query("SELECT pg_sleep(1)"),
    );
    let took = begin.elapsed();
    let mut facts = scene.finish().await?;
    facts.tell("told", format!("{told:?} {kept:?}"));
    facts.tell("took_ms", ms(took));
    facts.expect(cancelled.is_ok(), "the cancel was not taken");
    facts.expect(
        !matches!(told, Outcome::Answer(_)),
        "the cancelled statement was answered",
    );
    facts.expect(
        took < Duration::from_millis(2500),
        "the cancelled statement went on to its end",
    );
    facts.expect(
        matches!(kept, Outcome::Answer(_)),
        "another session's statement was ended",
    );
    Ok(facts)
}

/// Broken callers beside sound ones.
pub async fn malformed(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = Scene::start(ctx, Plan::default()).await?;
    let mix = scene.mix();
    scene.go(mix);
    let mut random = fastrand::Rng::with_seed(ctx.seed);
    let addr = scene.addrs()[0].clone();
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
    pause(1000).await;
    let unconnected = scene.load.connect_failures.get();
    let mut facts = scene.finish().await?;
    facts.expect(facts.unknown == 0, "a sound caller lost its answer");
    facts.expect(facts.refused_not_run == 0, "a sound caller was refused");
    facts.tell("unconnected", unconnected);
    Ok(facts)
}
