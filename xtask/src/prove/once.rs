//! At most once, true refusals, and keys that settle unknown outcomes.

use std::time::Duration;

use crate::cluster::Plan;
use crate::load::{Caller, Outcome, audit_outcomes};
use crate::prove::Ctx;
use crate::prove::scene::{Facts, Scene, pause};

/// Work of one statement, so that kills can hit before, during and after it, in ms.
const WORK_MS: u64 = 12;
/// Distance between two steps, in ms.
const STEP_MS: u64 = 3;
/// Steps between the caller's bytes and its answer.
const STEPS: u64 = 9;

/// What is killed.
#[derive(Clone, Copy, PartialEq)]
enum Target {
    Entry,
    Home,
    Upstream,
    Link,
}

/// Kills each part at each step of a write's way.
pub async fn steps(ctx: Ctx) -> Result<Facts, String> {
    let plan = Plan {
        durable: true,
        work_us: WORK_MS * 1000,
        ..Plan::default()
    };
    let mut scene = Scene::start(ctx, plan).await?;
    let mut told = Vec::new();
    for target in [Target::Entry, Target::Home, Target::Upstream, Target::Link] {
        for step in 0..STEPS {
            let keys = one_step(&mut scene, target, step).await?;
            told.extend(keys);
        }
    }
    let leader = scene.leader().await?;
    let found = audit_outcomes(&leader, "bookings", &told).await?;
    let mut facts = scene.finish().await?;
    facts.lost = found.lost;
    facts.doubled = found.doubled;
    facts.false_refusals = found.false_refusals;
    facts.requests = told.len() as u64;
    facts.answered = told
        .iter()
        .filter(|(_, t)| matches!(t, Outcome::Answer(_)))
        .count() as u64;
    facts.unknown = told.iter().filter(|(_, t)| *t == Outcome::Unknown).count() as u64;
    facts.refused_not_run = facts.requests - facts.answered - facts.unknown;
    facts.expect(facts.answered > 20, "too few answers to prove anything");
    Ok(facts)
}

/// Sends writes from three data centres and kills one part after `step` steps.
async fn one_step(
    scene: &mut Scene,
    target: Target,
    step: u64,
) -> Result<Vec<(String, Outcome)>, String> {
    let addrs = scene.addrs();
    let leader = scene.leader().await?;
    let primary = scene
        .members()
        .into_iter()
        .find(|m| m.addr == leader)
        .ok_or("no such member")?;
    let mut writes = Vec::new();
    for (i, addr) in [0, addrs.len() / 2, addrs.len() - 1]
        .into_iter()
        .map(|i| (i, addrs[i].clone()))
    {
        let caller = connect(&addr).await?;
        let key = format!("{}-{step}-{i}", target as u8);
        writes.push(tokio::task::spawn_local(async move {
            let told = caller
                .simple_query(&format!(
                    "INSERT INTO bookings (k, v) VALUES ('{key}', 'x')"
                ))
                .await;
            (key, told)
        }));
    }
    pause(step * STEP_MS).await;
    strike(scene, target, &primary.name, primary.center)?;
    let mut told = Vec::new();
    for write in writes {
        told.push(write.await.map_err(|e| e.to_string())?);
    }
    mend(scene, target, &primary.name, primary.center).await?;
    Ok(told)
}

/// Connects as soon as the daemon takes callers again.
async fn connect(addr: &str) -> Result<Caller, String> {
    let mut last = String::new();
    for _ in 0..200 {
        match Caller::connect(addr, "slots", "lakeshore-desk", "").await {
            Ok(caller) => return Ok(caller),
            Err(e) => last = e,
        }
        pause(25).await;
    }
    Err(last)
}

fn strike(scene: &mut Scene, target: Target, primary: &str, center: u8) -> Result<(), String> {
    if scene.ctx.naive {
        scene.cluster.kill("naive");
        return Ok(());
    }
    match target {
        Target::Entry => scene.cluster.kill("entry-11"),
        Target::Home => {
            for i in 1..=2 {
                scene.cluster.kill(&format!("entry-{center}{i}"));
            }
        }
        Target::Upstream => scene.cluster.kill(primary),
        Target::Link => scene.cluster.isolate(center, true)?,
    }
    Ok(())
}

async fn mend(scene: &mut Scene, target: Target, primary: &str, center: u8) -> Result<(), String> {
    if scene.ctx.naive {
        return scene.cluster.start_naive(false);
    }
    match target {
        Target::Entry => scene.cluster.start_daemon(1, 1)?,
        Target::Home => {
            for i in 1..=2 {
                scene.cluster.start_daemon(center, i)?;
            }
        }
        Target::Upstream => scene.cluster.start_member(primary)?,
        Target::Link => scene.cluster.isolate(center, false)?,
    }
    scene.leader().await?;
    pause(200).await;
    Ok(())
}

/// Keyed writes are asked again until they are answered, through kills and a change of primary.
pub async fn keyed(ctx: Ctx) -> Result<Facts, String> {
    let plan = Plan {
        durable: true,
        work_us: 4000,
        ..Plan::default()
    };
    let mut scene = Scene::start(ctx, plan).await?;
    let addrs = scene.addrs();
    let mut tasks = Vec::new();
    for i in 0..6_u64 {
        let (addrs, seed) = (addrs.clone(), ctx.seed.wrapping_add(i));
        let naive = ctx.naive;
        tasks.push(tokio::task::spawn_local(async move {
            settle_all(&addrs, seed, i, naive).await
        }));
    }
    for round in 0..4 {
        pause(700).await;
        let members = scene.members();
        for member in &members {
            let _ = scene.cluster.fault(&member.addr, "lose", 2).await;
        }
        if round == 1 && !ctx.naive {
            let leader = scene.leader().await?;
            let name = members
                .iter()
                .find(|m| m.addr == leader)
                .ok_or("no such member")?
                .name
                .clone();
            scene.cluster.kill(&name);
            pause(1000).await;
            scene.cluster.start_member(&name)?;
        }
        if round == 2 && !ctx.naive {
            scene.cluster.kill("entry-12");
            scene.cluster.start_daemon(1, 2)?;
        }
    }
    let mut told = Vec::new();
    let mut again = 0;
    for task in tasks {
        let (records, repeats) = task.await.map_err(|e| e.to_string())?;
        told.extend(records);
        again += repeats;
    }
    let leader = scene.leader().await?;
    let found = audit_outcomes(&leader, "bookings", &told).await?;
    let mut facts = scene.finish().await?;
    facts.lost = found.lost;
    facts.doubled = found.doubled;
    facts.answered = told.len() as u64;
    facts.expect(told.len() > 50, "too few keyed writes to prove anything");
    facts.tell("asked_again", again);
    Ok(facts)
}

/// Makes keyed writes for a while; each is repeated under its key until it is answered.
async fn settle_all(
    addrs: &[String],
    seed: u64,
    index: u64,
    naive: bool,
) -> (Vec<(String, Outcome)>, u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut records = Vec::new();
    let mut repeats = 0;
    let until = std::time::Instant::now() + Duration::from_secs(5);
    let mut n = 0;
    while std::time::Instant::now() < until {
        n += 1;
        let key = format!("k-{index}-{n}");
        let sql =
            format!("/* hollyreach.key={key} */ INSERT INTO bookings (k, v) VALUES ('{key}', 'x')");
        let mut tries = 0;
        let told = loop {
            let addr = random.choice(addrs).cloned().unwrap_or_default();
            tries += 1;
            if let Ok(caller) = Caller::connect(&addr, "slots", "lakeshore-desk", "").await {
                let told = caller.simple_query(&sql).await;
                if matches!(told, Outcome::Answer(_)) || (naive && tries > 50) {
                    break told;
                }
            }
            if tries > 400 {
                break Outcome::Unknown;
            }
            pause(20).await;
        };
        repeats += tries - 1;
        records.push((key, told));
    }
    (records, repeats)
}
