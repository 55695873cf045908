//! Concurrent callers that move between daemons.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::load::audit::WriteRecord;
use crate::load::caller::{Caller, Outcome};

/// Upper bound of the latency histograms; higher values are recorded as this one.
pub const MAX_LATENCY_US: u64 = 60_000_000;

/// Value of [`LoadStats::longest_write_gap`] if no write was acknowledged after the given instant.
const UNBOUNDED_GAP: Duration = Duration::from_hours(1);

/// Requests that a number of concurrent callers make.
#[derive(Clone)]
pub struct Workload {
    pub service: String,
    pub user: String,
    /// Table of the writes and of the reads by key.
    pub table: String,
    /// Addresses of the daemons to move between.
    pub addrs: Vec<String>,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Pause of a caller between two requests.
    pub think_time: Duration,
    /// Percentage of writes.
    pub write_percent: u32,
    /// Percentage of reads of the catalogue, which may be stale.
    pub list_percent: u32,
    /// A caller moves to another daemon after one request in this many on average; 0 for never.
    pub roam_one_in: u32,
    /// Whether a caller that moves presents its session token.
    pub present_token: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Counts and latencies, as callers observed them.
pub struct LoadStats {
    pub requests: Cell<u64>,
    pub answered: Cell<u64>,
    /// Requests reported as not run or failed.
    pub refused: Cell<u64>,
    /// Requests with an unknown outcome.
    pub unknown: Cell<u64>,
    /// Reads that missed an acknowledged write of the same caller.
    pub stale: Cell<u64>,
    /// Answers that belonged to another request.
    pub crossed: Cell<u64>,
    /// Failed attempts to connect.
    pub connect_failures: Cell<u64>,
    /// All writes.
    pub write_records: RefCell<Vec<WriteRecord>>,
    /// Start and end of each acknowledged write.
    pub acked_writes: RefCell<Vec<(Instant, Instant)>>,
    /// Latency of answered requests, in µs.
    pub latency: RefCell<Histogram<u64>>,
    /// Latency of acknowledged writes, in µs.
    pub write_latency: RefCell<Histogram<u64>>,
    stopping: Cell<bool>,
}

fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

impl LoadStats {
    pub fn new() -> Rc<LoadStats> {
        Rc::new(LoadStats {
            requests: Cell::new(0),
            answered: Cell::new(0),
            refused: Cell::new(0),
            unknown: Cell::new(0),
            stale: Cell::new(0),
            crossed: Cell::new(0),
            connect_failures: Cell::new(0),
            write_records: RefCell::default(),
            acked_writes: RefCell::default(),
            latency: RefCell::new(
                Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
            ),
            write_latency: RefCell::new(
                Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
            ),
            stopping: Cell::new(false),
        })
    }

    /// Makes all callers stop after their current request.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    fn record(&self, outcome: &Outcome, elapsed: Duration) {
        increment(&self.requests);
        match outcome {
            Outcome::Answer(_) => {
                increment(&self.answered);
                let us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
                self.latency.borrow_mut().saturating_record(us);
            }
            Outcome::NotRun { .. } | Outcome::Failed(_) => increment(&self.refused),
            Outcome::Unknown => increment(&self.unknown),
        }
    }

    /// Longest time without an acknowledged write after `from`, up to the last acknowledged one.
    pub fn longest_write_gap(&self, from: Instant) -> Duration {
        let mut ends: Vec<Instant> = self
            .acked_writes
            .borrow()
            .iter()
            .map(|w| w.1)
            .filter(|end| *end > from)
            .collect();
        ends.sort_unstable();
        let starts = std::iter::once(from).chain(ends.iter().copied());
        starts
            .zip(&ends)
            .map(|(a, b)| *b - a)
            .max()
            .unwrap_or(UNBOUNDED_GAP)
    }
}

/// Runs the callers of a workload until `LoadStats::stop`.
pub async fn run(stats: Rc<LoadStats>, workload: Workload) {
    let tasks: Vec<_> = (0..workload.callers)
        .map(|i| {
            let (stats, workload) = (stats.clone(), workload.clone());
            tokio::task::spawn_local(async move { run_caller(&stats, &workload, i).await })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
}

/// State that a caller keeps across connections.
struct CallerState {
    rng: fastrand::Rng,
    token: String,
    acked_keys: Vec<String>,
    write_count: u64,
    /// Prefix of the keys it writes, unique for each caller.
    key_prefix: String,
}

async fn run_caller(stats: &LoadStats, workload: &Workload, index: usize) {
    let mut state = CallerState {
        rng: fastrand::Rng::with_seed(workload.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9)),
        token: String::new(),
        acked_keys: Vec::new(),
        write_count: 0,
        key_prefix: format!("{}-{}-{index}", workload.user, workload.seed),
    };
    while !stats.stopping.get() {
        let addr = state
            .rng
            .choice(&workload.addrs)
            .expect("a workload has at least one address")
            .clone();
        let token = if workload.present_token {
            state.token.clone()
        } else {
            String::new()
        };
        let Ok(caller) = Caller::connect(&addr, &workload.service, &workload.user, &token).await
        else {
            increment(&stats.connect_failures);
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        run_connection(stats, workload, &caller, &mut state).await;
        if !caller.is_closed() && workload.present_token {
            state.token = caller.session_token().await;
        }
    }
}

/// Makes requests on one connection until the caller moves to another daemon or stops, or the
/// connection closes.
async fn run_connection(
    stats: &LoadStats,
    workload: &Workload,
    caller: &Caller,
    state: &mut CallerState,
) {
    while !stats.stopping.get() && !caller.is_closed() {
        let choice = state.rng.u32(..100);
        if choice < workload.write_percent {
            write_row(stats, workload, caller, state).await;
        } else if choice < workload.write_percent + workload.list_percent {
            let begin = Instant::now();
            let outcome = caller
                .simple_query("SELECT v FROM catalogue WHERE k = 'all'")
                .await;
            stats.record(&outcome, begin.elapsed());
        } else {
            read_back(stats, workload, caller, state).await;
        }
        if workload.roam_one_in > 0 && state.rng.u32(..workload.roam_one_in) == 0 {
            return;
        }
        tokio::time::sleep(workload.think_time).await;
    }
}

async fn write_row(
    stats: &LoadStats,
    workload: &Workload,
    caller: &Caller,
    state: &mut CallerState,
) {
    state.write_count += 1;
    let key = format!("{}-{}", state.key_prefix, state.write_count);
    let sql = format!(
        "INSERT INTO {} (k, v) VALUES ('{key}', 'booked')",
        workload.table
    );
    let begin = Instant::now();
    let outcome = caller.simple_query(&sql).await;
    let end = Instant::now();
    stats.record(&outcome, end - begin);
    if matches!(outcome, Outcome::Answer(_)) {
        state.acked_keys.push(key.clone());
        stats.acked_writes.borrow_mut().push((begin, end));
        let us = u64::try_from((end - begin).as_micros()).unwrap_or(u64::MAX);
        stats.write_latency.borrow_mut().saturating_record(us);
    }
    stats
        .write_records
        .borrow_mut()
        .push(WriteRecord { key, outcome });
}

/// Reads one of the caller's acknowledged writes back, and checks that the row exists and has the
/// requested key.
async fn read_back(
    stats: &LoadStats,
    workload: &Workload,
    caller: &Caller,
    state: &mut CallerState,
) {
    // Without an acknowledged write yet, a key that no row has.
    let key = state
        .rng
        .choice(&state.acked_keys)
        .cloned()
        .unwrap_or_else(|| "nobody".to_owned());
    let begin = Instant::now();
    let outcome = if state.rng.bool() {
        caller
            .prepared_query(
                &format!("SELECT k FROM {} WHERE k = $1", workload.table),
                &[&key],
            )
            .await
    } else {
        caller
            .simple_query(&format!(
                "SELECT k FROM {} WHERE k = '{key}'",
                workload.table
            ))
            .await
    };
    stats.record(&outcome, begin.elapsed());
    if let Outcome::Answer(rows) = outcome {
        if key != "nobody" && rows.is_empty() {
            increment(&stats.stale);
        }
        if rows.iter().any(|r| *r != key) {
            increment(&stats.crossed);
        }
    }
}
