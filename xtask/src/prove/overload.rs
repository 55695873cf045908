//! Limits: connections of members, and offered load above capacity.

use std::time::{Duration, Instant};

use crate::cluster::Plan;
use crate::load::Workload;
use crate::prove::Ctx;
use crate::prove::scene::{Facts, Scene, pause};

/// Daemons are killed and started again under load; no member may refuse a connection.
pub async fn connections(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = Scene::start(ctx, Plan::default()).await?;
    let mix = Workload {
        callers: 60,
        ..scene.mix()
    };
    scene.go(mix);
    pause(1000).await;
    let mut most = 0;
    for center in [1, 2, 3] {
        if !ctx.naive {
            scene.cluster.kill(&format!("entry-{center}1"));
            pause(700).await;
            scene.cluster.start_daemon(center, 1)?;
        }
        for _ in 0..7 {
            pause(100).await;
            for member in scene.members() {
                most = most.max(scene.counts(&member.addr).await.map_or(0, |c| c[0]));
            }
        }
    }
    let mut refused = 0;
    for member in scene.members() {
        refused += scene.counts(&member.addr).await?[1];
    }
    let mut facts = scene.finish().await?;
    facts.expect(refused == 0, "a member had to refuse connections");
    facts.tell("connections_most", most);
    facts.tell("connections_refused", refused);
    Ok(facts)
}

/// Three times the capacity of the primary, from two users of which one misbehaves.
pub async fn overload(ctx: Ctx) -> Result<Facts, String> {
    let plan = Plan {
        work_us: 4000,
        ..Plan::default()
    };
    let mut scene = Scene::start(ctx, plan).await?;
    let polite = Workload {
        callers: 6,
        think_time: Duration::from_millis(10),
        write_percent: 100,
        list_percent: 0,
        roam_one_in: 0,
        ..scene.mix()
    };
    let rude = Workload {
        user: "lakeshore-web".to_owned(),
        callers: 150,
        think_time: Duration::ZERO,
        ..polite.clone()
    };
    scene.go(polite);
    pause(1500).await;
    let alone = rate(&scene, 1000).await;
    scene.go(rude);
    pause(1000).await;
    let together = rate(&scene, 3000).await;
    let slowest = scene.load.latency.borrow().max() / 1000;
    let mut facts = scene.finish().await?;
    facts.expect(slowest <= 5500, "an answer came after its deadline");
    facts.expect(facts.unknown == 0, "overload left outcomes unknown");
    facts.tell("writes_s_alone", alone);
    facts.tell("writes_s_overloaded", together);
    facts.tell("slowest_ms", slowest);
    Ok(facts)
}

/// Acknowledged writes a second.
async fn rate(scene: &Scene, ms: u64) -> u64 {
    let from = Instant::now();
    pause(ms).await;
    let count = scene
        .load
        .acked_writes
        .borrow()
        .iter()
        .filter(|(_, end)| *end >= from)
        .count() as u64;
    count * 1000 / ms
}
