//! Changes of primary, under failures of members, links, wardens and the platform.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::cluster::Plan;
use crate::load::{Caller, Told};
use crate::prove::Ctx;
use crate::prove::scene::{Facts, Scene, is_not_run, ms, pause};

/// A change must be over within this time, in ms; the target of the project.
const CHANGE_MAX_MS: u128 = 6000;

/// Time under load before a failure, in ms.
const WARM_MS: u64 = 1500;

async fn change(scene: &mut Scene, failed: Instant) -> Result<Facts, String> {
    if scene.ctx.naive {
        pause(300).await;
        scene.promote_naively().await?;
    }
    settle(scene, failed).await
}

/// Waits until service goes on, and compares.
async fn settle(scene: &mut Scene, failed: Instant) -> Result<Facts, String> {
    let served = scene.wait_served(failed).await;
    pause(1500).await;
    let gap = scene.load.gap_after(failed);
    let mut facts = scene.finish().await?;
    facts.expect(served, "no write was served after the failure");
    judge_gap(&mut facts, gap);
    Ok(facts)
}

/// Compares the time without service with the target of the project.
fn judge_gap(facts: &mut Facts, gap: Duration) {
    facts.expect(
        gap.as_millis() < CHANGE_MAX_MS,
        "the change took longer than 6 s",
    );
    facts.tell("gap_ms", ms(gap));
}

async fn under_load(ctx: Ctx, plan: Plan) -> Result<Scene, String> {
    let mut scene = Scene::start(ctx, plan).await?;
    let mix = scene.mix();
    scene.go(mix);
    pause(WARM_MS).await;
    Ok(scene)
}

/// The primary's process is killed; the replicas lag a little.
pub async fn kill(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = under_load(ctx, Plan::default()).await?;
    for member in &scene.members()[1..] {
        scene.cluster.fault(&member.addr, "lag_ms", 20).await?;
    }
    pause(500).await;
    let failed = Instant::now();
    let primary = scene.primary();
    scene.cluster.kill(&primary);
    change(&mut scene, failed).await
}

/// The primary is paused, replaced, and wakes up believing that it leads.
pub async fn freeze(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = under_load(ctx, Plan::default()).await?;
    let primary = scene.primary();
    let failed = Instant::now();
    scene
        .cluster
        .process(&primary)
        .ok_or("no primary")?
        .suspend();
    if ctx.naive {
        pause(300).await;
        scene.promote_naively().await?;
    } else {
        scene.wait_served(failed).await;
    }
    let gap = scene.load.gap_after(failed);
    pause(500).await;
    scene
        .cluster
        .process(&primary)
        .ok_or("no primary")?
        .resume();
    pause(2000).await;
    let old = scene.members()[0].addr.clone();
    let (_, leads) = scene
        .cluster
        .member_term(&old)
        .await
        .ok_or("the old primary does not answer")?;
    let mut facts = scene.finish().await?;
    facts.expect(!leads, "the old primary still leads after it woke up");
    judge_gap(&mut facts, gap);
    Ok(facts)
}

/// The primary's data centre is cut off both ways, with daemons and callers inside, and heals.
pub async fn cut(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = under_load(ctx, Plan::default()).await?;
    let failed = Instant::now();
    scene.cluster.isolate(1, true)?;
    let served = scene.wait_served(failed).await;
    let gap = scene.load.gap_after(failed);
    pause(2000).await;
    scene.cluster.isolate(1, false)?;
    pause(3000).await;
    let old = scene.members()[0].addr.clone();
    let (_, leads) = scene
        .cluster
        .member_term(&old)
        .await
        .ok_or("the old primary does not answer")?;
    let mut facts = scene.finish().await?;
    facts.expect(
        served,
        "no write was served while the data centre was cut off",
    );
    facts.expect(!leads, "the old primary still leads after the cut healed");
    judge_gap(&mut facts, gap);
    Ok(facts)
}

/// Only what others send into the primary's data centre is cut; what it sends passes.
pub async fn cut_one_way(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = under_load(ctx, Plan::default()).await?;
    let failed = Instant::now();
    for other in [2, 3] {
        scene.cluster.set_link(other, 1, true, false)?;
        scene.cluster.set_link(1, other, false, true)?;
    }
    let served = scene.wait_served(failed).await;
    let gap = scene.load.gap_after(failed);
    pause(1500).await;
    for other in [2, 3] {
        scene.cluster.set_link(other, 1, false, false)?;
        scene.cluster.set_link(1, other, false, false)?;
    }
    pause(3000).await;
    let mut facts = scene.finish().await?;
    facts.expect(served, "no write was served while the cut lasted");
    judge_gap(&mut facts, gap);
    Ok(facts)
}

/// The platform is down before, during and after the loss of the primary.
pub async fn platform_down(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = under_load(ctx, Plan::default()).await?;
    scene.cluster.admin(&json!({"down": true}))?;
    pause(1000).await;
    let failed = Instant::now();
    let primary = scene.primary();
    scene.cluster.kill(&primary);
    // The naive way waits for an order through the platform, which does not come.
    settle(&mut scene, failed).await
}

/// One replica is far behind when the primary dies, and must not win.
pub async fn lagging(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = under_load(ctx, Plan::default()).await?;
    let behind = scene.members()[1].addr.clone();
    scene.cluster.fault(&behind, "lag_ms", 1500).await?;
    pause(2000).await;
    let failed = Instant::now();
    let primary = scene.primary();
    scene.cluster.kill(&primary);
    let mut facts = change(&mut scene, failed).await?;
    let leader = scene.leader().await?;
    facts.expect(leader != behind, "the lagging replica was promoted");
    Ok(facts)
}

/// Two of three members die; new writes are refused as not run; one comes back with its file.
pub async fn two_lost(ctx: Ctx) -> Result<Facts, String> {
    let plan = Plan {
        durable: true,
        ..Plan::default()
    };
    let mut scene = under_load(ctx, plan).await?;
    let names: Vec<String> = scene.members().iter().map(|m| m.name.clone()).collect();
    scene.cluster.kill(&names[0]);
    scene.cluster.kill(&names[1]);
    pause(4500).await;
    let addr = scene.addrs()[8 % scene.addrs().len()].clone();
    let caller = scene.caller(&addr).await?;
    let begin = Instant::now();
    let told = caller
        .simple("INSERT INTO bookings (k, v) VALUES ('probe', 'x')")
        .await;
    let refused_in = begin.elapsed();
    scene.cluster.start_member(&names[1])?;
    let back = Instant::now();
    if ctx.naive {
        scene.promote_naively().await?;
    }
    let served = scene.wait_served(back).await;
    pause(1000).await;
    let mut facts = scene.finish().await?;
    facts.expect(
        is_not_run(&told),
        "without a majority a write was not refused as not run",
    );
    facts.expect(served, "no write was served after a majority was back");
    facts.tell("refused_in_ms", ms(refused_in));
    Ok(facts)
}

/// The primary is paused for 500 ms, several times; it must stay.
pub async fn slow(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = under_load(ctx, Plan::default()).await?;
    let before = scene.term().await?;
    let primary = scene.primary();
    for _ in 0..4 {
        scene
            .cluster
            .process(&primary)
            .ok_or("no primary")?
            .suspend();
        pause(500).await;
        scene
            .cluster
            .process(&primary)
            .ok_or("no primary")?
            .resume();
        pause(700).await;
    }
    let after = scene.term().await?;
    let mut facts = scene.finish().await?;
    facts.expect(
        before == after,
        "the primary was changed although it was only slow",
    );
    facts.tell("term", after);
    Ok(facts)
}

/// Daemons are paused at random while the primary dies, and wake up late.
pub async fn wardens_paused(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = under_load(ctx, Plan::default()).await?;
    let mut random = fastrand::Rng::with_seed(ctx.seed);
    let primary = scene.primary();
    let failed = Instant::now();
    scene.cluster.kill(&primary);
    let daemons = scene.cluster.daemons();
    for _ in 0..6 {
        if ctx.naive {
            break;
        }
        // The window in which evidence is checked, terms are raised and members promoted.
        pause(random.u64(60..140)).await;
        let name = random.choice(&daemons).ok_or("no daemons")?.clone();
        let process = scene.cluster.process(&name).ok_or("no such daemon")?;
        process.suspend();
        pause(random.u64(50..400)).await;
        scene
            .cluster
            .process(&name)
            .ok_or("no such daemon")?
            .resume();
    }
    change(&mut scene, failed).await
}

/// Two members change hands in a row: each new primary is killed as well, and restarted.
pub async fn in_a_row(ctx: Ctx) -> Result<Facts, String> {
    let plan = Plan {
        durable: true,
        ..Plan::default()
    };
    let mut scene = under_load(ctx, plan).await?;
    let mut worst = Duration::ZERO;
    for _ in 0..3 {
        let leader = scene.leader().await?;
        let name = scene
            .members()
            .into_iter()
            .find(|m| m.addr == leader)
            .ok_or("no such member")?
            .name;
        let failed = Instant::now();
        scene.cluster.kill(&name);
        if ctx.naive {
            scene.promote_naively().await?;
        }
        scene.wait_served(failed).await;
        worst = worst.max(scene.load.gap_after(failed));
        scene.cluster.start_member(&name)?;
        pause(1500).await;
    }
    let mut facts = scene.finish().await?;
    judge_gap(&mut facts, worst);
    Ok(facts)
}

/// The primary's VM is listed as leaving; another member takes over without a failure.
pub async fn hand_over(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = under_load(ctx, Plan::default()).await?;
    let primary = scene.primary();
    let old = scene.members()[0].addr.clone();
    let listed = Instant::now();
    scene.cluster.list_as(&primary, "leaving")?;
    pause(3000).await;
    let served = scene.counts(&old).await?[2];
    pause(1500).await;
    let later = scene.counts(&old).await?[2];
    let gap = scene.load.gap_after(listed);
    let mut facts = scene.finish().await?;
    facts.expect(served == later, "the leaving member got work after 3 s");
    facts.expect(facts.unknown == 0, "the hand-over left outcomes unknown");
    facts.tell("gap_ms", ms(gap));
    facts.tell("late_statements", later - served);
    Ok(facts)
}

/// A replica's VM is listed as leaving; it gets no new work within 3 s.
pub async fn leaving(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = under_load(ctx, Plan::default()).await?;
    if ctx.naive {
        scene.cluster.start_naive(true)?;
        let mix = scene.mix();
        scene.go(mix);
    }
    let replica = scene.members()[1].name.clone();
    let addr = scene.members()[1].addr.clone();
    scene.cluster.list_as(&replica, "leaving")?;
    pause(3000).await;
    let served = scene.counts(&addr).await?[2];
    pause(1500).await;
    let later = scene.counts(&addr).await?[2];
    let mut facts = scene.finish().await?;
    facts.expect(served == later, "the leaving member got work after 3 s");
    facts.tell("late_statements", later - served);
    Ok(facts)
}

/// Reads through a paused and replaced primary's own data centre, right after it wakes up.
pub async fn old_primary_reads(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = Scene::start(ctx, Plan::default()).await?;
    let primary = scene.primary();
    let addrs = scene.addrs();
    let here = addrs[0].clone();
    let far = addrs[addrs.len() - 1].clone();
    let (mut missed, mut seen) = (0, 0);
    for round in 0..2 {
        let key = format!("round-{round}");
        if round == 0 {
            scene
                .cluster
                .process(&primary)
                .ok_or("no primary")?
                .suspend();
            if ctx.naive {
                scene.promote_naively().await?;
            }
        }
        let target = if ctx.naive {
            scene.members()[1].addr.clone()
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
            pause(50).await;
        }
        if round == 0 {
            scene
                .cluster
                .process(&primary)
                .ok_or("no primary")?
                .resume();
        }
        for _ in 0..50 {
            let caller = scene.caller(&here).await?;
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
    let mut facts = scene.finish().await?;
    facts.stale = missed;
    facts.expect(seen > 50, "too few reads to prove anything");
    facts.tell("reads_seen", seen);
    Ok(facts)
}
