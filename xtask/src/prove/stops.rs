//! Planned stops.

use std::time::Duration;

use crate::cluster::{CENTERS, Cluster, Plan};
use crate::load::Mix;
use crate::prove::Ctx;
use crate::prove::scene::{Facts, Scene, pause};

/// Every daemon is stopped in order and replaced, under load; no request may be cut.
pub async fn rolling(ctx: Ctx) -> Result<Facts, String> {
    let settings = "timing:\n  drain_ms: 700\n".to_owned();
    let mut scene = Scene::start(
        ctx,
        Plan {
            settings,
            ..Plan::default()
        },
    )
    .await?;
    let mut stopped = 0;
    let mut groups = Vec::new();
    // Callers come through the balancer, which leaves a daemon out before it is stopped.
    for center in CENTERS {
        let mix = Mix {
            addrs: scene.addrs(),
            callers: 4,
            roam: 60,
            seed: ctx.seed * 10 + u64::from(center),
            ..scene.mix()
        };
        groups.push(center);
        scene.go(mix);
    }
    pause(1000).await;
    for center in CENTERS {
        for i in 1..=scene.cluster.plan.daemons {
            if ctx.naive {
                scene.cluster.kill("naive");
                scene.cluster.start_naive(false)?;
                pause(500).await;
                continue;
            }
            let name = Cluster::daemon_name(center, i);
            let process = scene.cluster.process(&name).ok_or("no such daemon")?;
            process.terminate();
            let until = std::time::Instant::now() + Duration::from_secs(20);
            while std::time::Instant::now() < until && !scene.cluster.has_ended(&name) {
                pause(20).await;
            }
            stopped += 1;
            scene.cluster.start_daemon(center, i)?;
            while !scene.cluster.is_ready(&name) {
                pause(20).await;
            }
        }
    }
    let mut facts = scene.finish().await?;
    facts.expect(facts.unknown == 0, "a planned stop cut requests");
    facts.tell("stopped", stopped);
    Ok(facts)
}
