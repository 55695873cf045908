//! Latency that the confirmation of writes adds, compared with a primary that acknowledges at once.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::cluster::{Cluster, ClusterConfig};
use crate::load::{Caller, MAX_LATENCY_US, Outcome};
use crate::measure::statement_path::commit_hash;
use crate::prove::single_group;

/// Measured writes of each series, after 20 that are not recorded.
const WRITES: u32 = 1000;

/// Measures writes directly to the primary and through a daemon of each data centre.
pub async fn run() -> Result<(), String> {
    let cluster = Cluster::start(ClusterConfig::default(), vec![single_group()])?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    println!(
        "commit {}, 1 ms one way between data centres, the primary in the first",
        commit_hash()
    );
    let primary = cluster.group_members("lakeshore", "slots")[0].addr.clone();
    let mut targets = vec![("acknowledged at once by the primary".to_owned(), primary)];
    for daemon in ["entry-11", "entry-21", "entry-31"] {
        targets.push((
            format!("confirmed, through {daemon}"),
            cluster.caller_addr(daemon),
        ));
    }
    for (name, addr) in targets {
        let caller = Caller::connect(&addr, "slots", "lakeshore-desk", "").await?;
        let mut hist =
            Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).map_err(|e| e.to_string())?;
        for i in 0..WRITES + 20 {
            let begin = Instant::now();
            let outcome = caller
                .simple_query(&format!(
                    "INSERT INTO bookings (k, v) VALUES ('{addr}-{i}', 'x')"
                ))
                .await;
            if !matches!(outcome, Outcome::Answer(_)) {
                return Err(format!("{name}: {outcome:?}"));
            }
            if i >= 20 {
                hist.saturating_record(
                    u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX),
                );
            }
        }
        println!(
            "{name:<38} p50 {:>6} µs   p99 {:>6} µs",
            hist.value_at_quantile(0.5),
            hist.value_at_quantile(0.99)
        );
    }
    Ok(())
}
