//! Reads that accept data of a stated age.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::cluster::Plan;
use crate::load::{Caller, Outcome};
use crate::prove::Ctx;
use crate::prove::scene::{Facts, Scene, pause};

/// Age that the rule of the list accepts.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Readers at once.
const READERS: usize = 9;

/// A counter row is written again and again; no list may miss what was acknowledged too long ago.
pub async fn aged(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = Scene::start(ctx, Plan::default()).await?;
    if ctx.naive {
        scene.cluster.start_naive(true)?;
    }
    let leader = scene.leader().await?;
    let direct = Caller::connect(&leader, "look", "look", "").await?;
    direct
        .simple_query("INSERT INTO catalogue (k, v) VALUES ('all', '0')")
        .await;
    let acked: Rc<RefCell<Vec<(Instant, u64)>>> = Rc::default();
    let stop = Rc::new(Cell::new(false));
    let writer = tokio::task::spawn_local(write(leader, acked.clone(), stop.clone()));
    let members = scene.members();
    scene
        .cluster
        .fault(&members[1].addr, "lag_ms", 1500)
        .await?;
    scene
        .cluster
        .fault(&members[2].addr, "lag_ms", 5000)
        .await?;
    pause(2500).await;
    let mut readers = Vec::new();
    // The naive proxy has one address for all readers.
    for addr in scene.addrs().into_iter().cycle().take(READERS) {
        readers.push(tokio::task::spawn_local(read(
            addr,
            acked.clone(),
            stop.clone(),
        )));
    }
    pause(5000).await;
    stop.set(true);
    let (mut old, mut answers, mut refused) = (0, 0, 0);
    for reader in readers {
        let (o, a, r) = reader.await.map_err(|e| e.to_string())??;
        old += o;
        answers += a;
        refused += r;
    }
    writer.await.map_err(|e| e.to_string())??;
    let reads = if ctx.naive {
        std::collections::BTreeMap::default()
    } else {
        scene.cluster.reads()?
    };
    let mut facts = scene.finish().await?;
    facts.expect(old == 0, "a list was older than it may be");
    facts.expect(answers > 100, "too few lists to prove anything");
    facts.tell("too_old", old);
    facts.tell("lists", answers);
    facts.tell("refused", refused);
    facts.tell("reads", serde_json::json!(reads));
    Ok(facts)
}

/// Writes a growing number straight to the primary.
async fn write(
    leader: String,
    acked: Rc<RefCell<Vec<(Instant, u64)>>>,
    stop: Rc<Cell<bool>>,
) -> Result<(), String> {
    let caller = Caller::connect(&leader, "look", "look", "").await?;
    for n in 1.. {
        if stop.get() {
            break;
        }
        let told = caller
            .simple_query(&format!("UPDATE catalogue SET v = '{n}' WHERE k = 'all'"))
            .await;
        if matches!(told, Outcome::Answer(_)) {
            acked.borrow_mut().push((Instant::now(), n));
        }
        pause(20).await;
    }
    Ok(())
}

/// Reads lists; returns how many were too old, were answered, and were refused.
async fn read(
    addr: String,
    acked: Rc<RefCell<Vec<(Instant, u64)>>>,
    stop: Rc<Cell<bool>>,
) -> Result<(u64, u64, u64), String> {
    let caller = Caller::connect(&addr, "slots", "lakeshore-desk", "").await?;
    let (mut old, mut answers, mut refused) = (0, 0, 0);
    while !stop.get() {
        let asked = Instant::now();
        let told = caller
            .simple_query("SELECT v FROM catalogue WHERE k = 'all'")
            .await;
        if let Outcome::Answer(rows) = told {
            let seen: u64 = rows.first().and_then(|r| r.parse().ok()).unwrap_or(0);
            let due = |(at, _): &&(Instant, u64)| {
                asked
                    .checked_duration_since(*at)
                    .is_some_and(|age| age > MAX_AGE)
            };
            let must = acked
                .borrow()
                .iter()
                .filter(due)
                .map(|(_, n)| *n)
                .max()
                .unwrap_or(0);
            answers += 1;
            old += u64::from(seen < must);
        } else {
            refused += 1;
        }
        pause(10).await;
    }
    Ok((old, answers, refused))
}
