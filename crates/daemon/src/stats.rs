//! Counts for reports, kept in windows of time to bound the memory, and the metrics client.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::UdpSocket;

use base::{Metric, Ms};
use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};
use hdrhistogram::Histogram;
use schema::{Bucket, Change, Hist, Outcome, RunResponse, Served, Settings, Window};

use crate::frontend::RequestPlan;

/// Length of a short window, in s.
const SHORT_WINDOW_S: u64 = 60;
/// Maximum number of closed short windows kept: one hour.
const MAX_SHORT_WINDOWS: usize = 60;
/// Length of a long window, in s.
const LONG_WINDOW_S: u64 = 3600;
/// Maximum number of long windows kept: one day.
const MAX_LONG_WINDOWS: usize = 24;
/// Maximum number of primary changes kept.
const MAX_CHANGES: usize = 64;
/// Highest latency and data age that is recorded, in µs; higher ones count as this one.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of histograms.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Number of retries that can be saved up for each percent of `retry_percent`.
const MAX_RETRIES_PER_PERCENT: f64 = 10.0;

/// Counts of an institution in the current window.
struct OpenWindow {
    started_at: Ms,
    answered: u64,
    refused: u64,
    /// Requests with an unknown outcome.
    unknown: u64,
    /// In µs.
    latencies: Histogram<u32>,
    /// Ages of the data that reads returned, in µs.
    ages: Histogram<u32>,
    /// Number of reads by rule and place.
    reads: BTreeMap<(Box<str>, Box<str>), u64>,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the histogram bounds are valid")
}

impl OpenWindow {
    fn new() -> OpenWindow {
        OpenWindow {
            started_at: Ms::now(),
            answered: 0,
            refused: 0,
            unknown: 0,
            latencies: histogram(),
            ages: histogram(),
            reads: BTreeMap::new(),
        }
    }

    fn to_window(&self, institution: &str, span_s: u64) -> Window {
        let to_served = |((rule, place), count): (&(Box<str>, Box<str>), &u64)| Served {
            rule: rule.clone(),
            place: place.clone(),
            count: *count,
        };
        Window {
            institution: institution.into(),
            age_s: self.started_at.elapsed() / 1000,
            span_s,
            answered: self.answered,
            refused: self.refused,
            unknown: self.unknown,
            hist: to_hist(&self.latencies),
            ages: to_hist(&self.ages),
            reads: self.reads.iter().map(to_served).collect(),
        }
    }
}

fn to_hist(hist: &Histogram<u32>) -> Hist {
    let bucket = |v: hdrhistogram::iterators::IterationValue<u32>| Bucket {
        upto_us: v.value_iterated_to(),
        count: u64::from(v.count_at_value()),
    };
    Hist {
        counts: hist.iter_recorded().map(bucket).collect(),
    }
}

/// A window that is over.
struct ClosedWindow {
    started_at: Ms,
    window: Window,
}

#[derive(Default)]
struct InstitutionStats {
    open: Option<OpenWindow>,
    short: VecDeque<ClosedWindow>,
    long: VecDeque<ClosedWindow>,
    /// Requests answered so far, up to a maximum, less the cost in requests of each retry made.
    retry_credit: f64,
}

impl InstitutionStats {
    /// Closes the open window once it is over; merges a surplus short window into a long one, and
    /// drops a surplus long one.
    fn rotate(&mut self, institution: &str) {
        let expired = self
            .open
            .as_ref()
            .is_some_and(|w| w.started_at.elapsed() >= SHORT_WINDOW_S * 1000);
        if !expired {
            return;
        }
        let Some(window) = self.open.take() else {
            return;
        };
        self.short.push_back(ClosedWindow {
            started_at: window.started_at,
            window: window.to_window(institution, SHORT_WINDOW_S),
        });
        if self.short.len() <= MAX_SHORT_WINDOWS {
            return;
        }
        let Some(oldest) = self.short.pop_front() else {
            return;
        };
        match self
            .long
            .back_mut()
            .filter(|w| w.started_at.0 + LONG_WINDOW_S * 1000 > oldest.started_at.0)
        {
            Some(newest) => newest.window.merge(&oldest.window),
            None => self.long.push_back(ClosedWindow {
                started_at: oldest.started_at,
                window: Window {
                    span_s: LONG_WINDOW_S,
                    ..oldest.window
                },
            }),
        }
        if self.long.len() > MAX_LONG_WINDOWS {
            self.long.pop_front();
        }
    }
}

/// Counts of a daemon.
pub struct Stats {
    client: StatsdClient,
    institutions: RefCell<BTreeMap<Box<str>, InstitutionStats>>,
    changes: RefCell<VecDeque<Change>>,
}

impl Stats {
    /// Creates empty counts; metrics are sent to the address `statsd`, if given.
    pub fn new(statsd: Option<&str>) -> Stats {
        let sink = statsd.and_then(|addr| {
            let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
            socket.set_nonblocking(true).ok()?;
            UdpMetricSink::from(addr, socket).ok()
        });
        let client = match sink {
            Some(sink) => StatsdClient::from_sink("hollyreach", sink),
            None => StatsdClient::from_sink("hollyreach", NopMetricSink),
        };
        Stats {
            client,
            institutions: RefCell::default(),
            changes: RefCell::default(),
        }
    }

    /// Increments a counter.
    pub fn count(&self, metric: Metric) {
        let _ = self.client.count(metric.name(), 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, value: u64) {
        let _ = self.client.gauge(metric.name(), value);
    }

    /// Records an answered request.
    pub fn record(
        &self,
        institution: &str,
        plan: &RequestPlan,
        answer: &RunResponse,
        place: &str,
        took_us: u64,
    ) {
        // A batch that only prepares or describes is not counted, only the one that executes.
        if plan.describe {
            return;
        }
        let _ = self.client.time(Metric::LatencyMs.name(), took_us / 1000);
        self.count(match answer.outcome {
            Outcome::Done => Metric::Statements,
            Outcome::NotRun => Metric::Refused,
            Outcome::Unknown => Metric::Unknown,
        });
        let mut institutions = self.institutions.borrow_mut();
        let stats = institutions.entry(institution.into()).or_default();
        stats.rotate(institution);
        stats.retry_credit = (stats.retry_credit + 1.0).min(MAX_RETRIES_PER_PERCENT * 100.0);
        let window = stats.open.get_or_insert_with(OpenWindow::new);
        match answer.outcome {
            Outcome::Done => window.answered += 1,
            Outcome::NotRun => window.refused += 1,
            Outcome::Unknown => window.unknown += 1,
        }
        window
            .latencies
            .saturating_record(took_us.clamp(1, MAX_LATENCY_US));
        if plan.read && !plan.describe && answer.outcome == Outcome::Done {
            window
                .ages
                .saturating_record((answer.age_ms * 1000).clamp(1, MAX_LATENCY_US));
            *window
                .reads
                .entry((plan.rule.clone(), place.into()))
                .or_default() += 1;
            if place != "replica" {
                self.count(Metric::PrimaryReads);
            }
        }
    }

    /// Takes a retry from the budget of the institution; returns false if it is exhausted.
    pub fn may_retry(&self, group: &str, settings: &Settings) -> bool {
        let institution = group.split('/').next().unwrap_or_default();
        let percent = settings.limits.retry_percent;
        let mut institutions = self.institutions.borrow_mut();
        let stats = institutions.entry(institution.into()).or_default();
        // A budget of `percent` allows one retry per `100 / percent` answered requests.
        let cost = if percent == 0 {
            f64::INFINITY
        } else {
            100.0 / f64::from(u32::try_from(percent).unwrap_or(100))
        };
        let granted = stats.retry_credit >= cost;
        if granted {
            stats.retry_credit -= cost;
        }
        granted
    }

    /// Records a primary change run by this daemon.
    pub fn add_change(&self, change: Change) {
        self.count(Metric::Changes);
        let mut changes = self.changes.borrow_mut();
        if changes.len() == MAX_CHANGES {
            changes.pop_front();
        }
        changes.push_back(change);
    }

    /// Primary changes run by this daemon, oldest first.
    pub fn changes(&self) -> Vec<Change> {
        self.changes.borrow().iter().cloned().collect()
    }

    /// All windows of all institutions, including the open ones.
    pub fn windows(&self) -> Vec<Window> {
        let mut windows = Vec::new();
        for (institution, stats) in self.institutions.borrow_mut().iter_mut() {
            stats.rotate(institution);
            for closed in stats.long.iter().chain(&stats.short) {
                windows.push(Window {
                    age_s: closed.started_at.elapsed() / 1000,
                    ..closed.window.clone()
                });
            }
            windows.extend(
                stats
                    .open
                    .as_ref()
                    .map(|w| w.to_window(institution, SHORT_WINDOW_S)),
            );
        }
        windows
    }
}
