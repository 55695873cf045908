//! Reads that accept data up to a maximum age.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::cluster::ClusterConfig;
use crate::load::{Caller, Outcome};
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness, sleep_ms};

/// Maximum age of list reads, as the rule of the deployment states it.
const MAX_AGE: Duration = Duration::from_secs(2);

const READERS: usize = 9;

/// Guards against list reads that a replica answers with data older than the rule accepts.
///
/// A row with a counter is updated continuously while the replicas lag by 1.5 s and 5 s; a read
/// that shows a counter below one acknowledged more than [`MAX_AGE`] before the read is a
/// violation.
pub async fn bounded_staleness(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(ctx, ClusterConfig::default()).await?;
    if ctx.naive {
        harness.cluster.start_naive_proxy(true)?;
    }
    let primary_addr = harness.wait_for_primary().await?;
    let direct = Caller::connect(&primary_addr, "look", "look", "").await?;
    direct
        .simple_query("INSERT INTO catalogue (k, v) VALUES ('all', '0')")
        .await;
    let acked: Rc<RefCell<Vec<(Instant, u64)>>> = Rc::default();
    let stop = Rc::new(Cell::new(false));
    let writer = tokio::task::spawn_local(run_writer(primary_addr, acked.clone(), stop.clone()));
    let members = harness.members();
    harness
        .cluster
        .inject_fault(&members[1].addr, "lag_ms", 1500)
        .await?;
    harness
        .cluster
        .inject_fault(&members[2].addr, "lag_ms", 5000)
        .await?;
    sleep_ms(2500).await;
    let mut readers = Vec::new();
    // `cycle`, because the naive proxy has one address for all readers.
    for addr in harness.caller_addrs().into_iter().cycle().take(READERS) {
        readers.push(tokio::task::spawn_local(run_reader(
            addr,
            acked.clone(),
            stop.clone(),
        )));
    }
    sleep_ms(5000).await;
    stop.set(true);
    let (mut too_old, mut answers, mut refused) = (0, 0, 0);
    for reader in readers {
        let (t, a, r) = reader.await.map_err(|e| e.to_string())??;
        too_old += t;
        answers += a;
        refused += r;
    }
    writer.await.map_err(|e| e.to_string())??;
    let reads = if ctx.naive {
        std::collections::BTreeMap::default()
    } else {
        harness.cluster.reads_by_place()?
    };
    let mut report = harness.finish().await?;
    report.check(
        too_old == 0,
        "a list read returned data older than its maximum age",
    );
    report.check(
        answers > 100,
        "100 or fewer list reads were answered, too few for a verdict",
    );
    report.record("too_old", too_old);
    report.record("lists", answers);
    report.record("refused", refused);
    report.record("reads", serde_json::json!(reads));
    Ok(report)
}

/// Writes an increasing counter directly to the primary until stopped, and records when each value
/// was acknowledged.
async fn run_writer(
    primary_addr: String,
    acked: Rc<RefCell<Vec<(Instant, u64)>>>,
    stop: Rc<Cell<bool>>,
) -> Result<(), String> {
    let caller = Caller::connect(&primary_addr, "look", "look", "").await?;
    for n in 1.. {
        if stop.get() {
            break;
        }
        let outcome = caller
            .simple_query(&format!("UPDATE catalogue SET v = '{n}' WHERE k = 'all'"))
            .await;
        if matches!(outcome, Outcome::Answer(_)) {
            acked.borrow_mut().push((Instant::now(), n));
        }
        sleep_ms(20).await;
    }
    Ok(())
}

/// Reads the list until stopped; returns how many reads were too old, answered, and refused.
async fn run_reader(
    addr: String,
    acked: Rc<RefCell<Vec<(Instant, u64)>>>,
    stop: Rc<Cell<bool>>,
) -> Result<(u64, u64, u64), String> {
    let caller = Caller::connect(&addr, "slots", "lakeshore-desk", "").await?;
    let (mut too_old, mut answers, mut refused) = (0, 0, 0);
    while !stop.get() {
        let sent_at = Instant::now();
        let outcome = caller
            .simple_query("SELECT v FROM catalogue WHERE k = 'all'")
            .await;
        if let Outcome::Answer(rows) = outcome {
            let seen: u64 = rows.first().and_then(|r| r.parse().ok()).unwrap_or(0);
            let too_long_ago = |(at, _): &&(Instant, u64)| {
                sent_at
                    .checked_duration_since(*at)
                    .is_some_and(|age| age > MAX_AGE)
            };
            let required = acked
                .borrow()
                .iter()
                .filter(too_long_ago)
                .map(|(_, n)| *n)
                .max()
                .unwrap_or(0);
            answers += 1;
            too_old += u64::from(seen < required);
        } else {
            refused += 1;
        }
        sleep_ms(10).await;
    }
    Ok((too_old, answers, refused))
}
