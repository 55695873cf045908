//! Many callers at once, which roam between daemons.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::load::caller::{Caller, Outcome};
use crate::load::check::WriteRecord;

/// Highest latency told apart, in µs.
pub const MAX_LATENCY_US: u64 = 60_000_000;

/// Gap told when nothing was acknowledged any more.
const NEVER: Duration = Duration::from_hours(1);

/// What callers ask for.
#[derive(Clone)]
pub struct Workload {
    /// Service.
    pub service: String,
    /// User.
    pub user: String,
    /// Table written to and read from.
    pub table: String,
    /// Addresses to roam between.
    pub addrs: Vec<String>,
    /// Callers at once.
    pub callers: usize,
    /// Pause between requests of one caller.
    pub think_time: Duration,
    /// Share of writes, in percent.
    pub write_percent: u32,
    /// Share of aged lists, in percent.
    pub list_percent: u32,
    /// One request in so many is followed by a move to another daemon; 0 for never.
    pub roam_one_in: u32,
    /// Whether a caller that moves presents its token.
    pub present_token: bool,
    /// Seed of all choices.
    pub seed: u64,
}

/// What callers saw.
pub struct LoadStats {
    /// Requests made.
    pub requests: Cell<u64>,
    /// Requests answered by the database.
    pub answered: Cell<u64>,
    /// Requests refused as not run.
    pub refused: Cell<u64>,
    /// Requests with an unknown outcome.
    pub unknown: Cell<u64>,
    /// Reads that missed the caller's own acknowledged write.
    pub stale: Cell<u64>,
    /// Answers that belonged to another request.
    pub crossed: Cell<u64>,
    /// Connections that could not be made.
    pub connect_failures: Cell<u64>,
    /// All writes.
    pub write_records: RefCell<Vec<WriteRecord>>,
    /// Instants at which acknowledged writes were begun and ended.
    pub acked_writes: RefCell<Vec<(Instant, Instant)>>,
    /// Latency of answers, in µs.
    pub latency: RefCell<Histogram<u64>>,
    /// Latency of acknowledged writes, in µs.
    pub write_latency: RefCell<Histogram<u64>>,
    stop: Cell<bool>,
}

fn add(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

impl LoadStats {
    /// An empty count.
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
            stop: Cell::new(false),
        })
    }

    /// Asks all callers to end after their running request.
    pub fn stop(&self) {
        self.stop.set(true);
    }

    fn note(&self, told: &Outcome, took: Duration) {
        add(&self.requests);
        match told {
            Outcome::Answer(_) => {
                add(&self.answered);
                let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
                self.latency.borrow_mut().saturating_record(us);
            }
            Outcome::NotRun { .. } | Outcome::Failed(_) => add(&self.refused),
            Outcome::Unknown => add(&self.unknown),
        }
    }

    /// The longest time without an acknowledged write from `from` on.
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
            .unwrap_or(NEVER)
    }
}

/// Runs callers until `LoadStats::stop`.
pub async fn run(load: Rc<LoadStats>, mix: Workload) {
    let tasks: Vec<_> = (0..mix.callers)
        .map(|i| {
            let (load, mix) = (load.clone(), mix.clone());
            tokio::task::spawn_local(async move { one(&load, &mix, i).await })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
}

/// What a caller remembers between connections.
struct Memory {
    random: fastrand::Rng,
    token: String,
    /// Keys of its acknowledged writes.
    mine: Vec<String>,
    count: u64,
    name: String,
}

async fn one(load: &LoadStats, mix: &Workload, index: usize) {
    let mut memory = Memory {
        random: fastrand::Rng::with_seed(mix.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9)),
        token: String::new(),
        mine: Vec::new(),
        count: 0,
        name: format!("{}-{}-{index}", mix.user, mix.seed),
    };
    while !load.stop.get() {
        let addr = memory
            .random
            .choice(&mix.addrs)
            .expect("there are addresses")
            .clone();
        let token = if mix.present_token {
            memory.token.clone()
        } else {
            String::new()
        };
        let Ok(caller) = Caller::connect(&addr, &mix.service, &mix.user, &token).await else {
            add(&load.connect_failures);
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        stay(load, mix, &caller, &mut memory).await;
        if !caller.is_closed() && mix.present_token {
            memory.token = caller.session_token().await;
        }
    }
}

/// Makes requests on one connection until the caller moves on.
async fn stay(load: &LoadStats, mix: &Workload, caller: &Caller, memory: &mut Memory) {
    while !load.stop.get() && !caller.is_closed() {
        let choice = memory.random.u32(..100);
        if choice < mix.write_percent {
            write(load, mix, caller, memory).await;
        } else if choice < mix.write_percent + mix.list_percent {
            let begin = Instant::now();
            let told = caller
                .simple_query("SELECT v FROM catalogue WHERE k = 'all'")
                .await;
            load.note(&told, begin.elapsed());
        } else {
            look(load, mix, caller, memory).await;
        }
        if mix.roam_one_in > 0 && memory.random.u32(..mix.roam_one_in) == 0 {
            return;
        }
        tokio::time::sleep(mix.think_time).await;
    }
}

async fn write(load: &LoadStats, mix: &Workload, caller: &Caller, memory: &mut Memory) {
    memory.count += 1;
    let key = format!("{}-{}", memory.name, memory.count);
    let sql = format!(
        "INSERT INTO {} (k, v) VALUES ('{key}', 'booked')",
        mix.table
    );
    let begin = Instant::now();
    let told = caller.simple_query(&sql).await;
    let end = Instant::now();
    load.note(&told, end - begin);
    if matches!(told, Outcome::Answer(_)) {
        memory.mine.push(key.clone());
        load.acked_writes.borrow_mut().push((begin, end));
        let us = u64::try_from((end - begin).as_micros()).unwrap_or(u64::MAX);
        load.write_latency.borrow_mut().saturating_record(us);
    }
    load.write_records
        .borrow_mut()
        .push(WriteRecord { key, told });
}

/// Reads one of the caller's own writes back; both halves of the answer are checked.
async fn look(load: &LoadStats, mix: &Workload, caller: &Caller, memory: &mut Memory) {
    let key = memory
        .random
        .choice(&memory.mine)
        .cloned()
        .unwrap_or_else(|| "nobody".to_owned());
    let begin = Instant::now();
    let told = if memory.random.bool() {
        caller
            .prepared_query(
                &format!("SELECT k FROM {} WHERE k = $1", mix.table),
                &[&key],
            )
            .await
    } else {
        caller
            .simple_query(&format!("SELECT k FROM {} WHERE k = '{key}'", mix.table))
            .await
    };
    load.note(&told, begin.elapsed());
    if let Outcome::Answer(rows) = told {
        if key != "nobody" && rows.is_empty() {
            add(&load.stale);
        }
        if rows.iter().any(|r| *r != key) {
            add(&load.crossed);
        }
    }
}
