//! Counts for reports and metrics, in bounded memory.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::UdpSocket;

use base::{Metric, Ms};
use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};
use hdrhistogram::Histogram;
use schema::{Bucket, Change, Hist, Outcome, RunResponse, Served, Settings, Window};

use crate::frontend::RequestPlan;

/// Length of a short span, in s.
const SPAN_S: u64 = 60;
/// Short spans kept: one hour.
const SHORT_MAX: usize = 60;
/// Length of a long span, in s.
const LONG_S: u64 = 3600;
/// Long spans kept: one day.
const LONG_MAX: usize = 24;
/// Changes of primary kept.
const CHANGES_MAX: usize = 64;
/// Highest latency told apart, in µs.
const LATENCY_MAX: u64 = 120_000_000;
/// Significant digits of histograms.
const DIGITS: u8 = 2;
/// Retries allowed at once, however few statements came before.
const RETRY_BURST: f64 = 10.0;

/// Counts of one institution over one span that is still open.
struct Span {
    begin: Ms,
    answered: u64,
    refused: u64,
    unknown: u64,
    hist: Histogram<u32>,
    ages: Histogram<u32>,
    reads: BTreeMap<(Box<str>, Box<str>), u64>,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(LATENCY_MAX, DIGITS).expect("the bounds are valid")
}

impl Span {
    fn new() -> Span {
        Span {
            begin: Ms::now(),
            answered: 0,
            refused: 0,
            unknown: 0,
            hist: histogram(),
            ages: histogram(),
            reads: BTreeMap::new(),
        }
    }

    fn window(&self, institution: &str, span_s: u64) -> Window {
        let served = |((rule, place), count): (&(Box<str>, Box<str>), &u64)| Served {
            rule: rule.clone(),
            place: place.clone(),
            count: *count,
        };
        Window {
            institution: institution.into(),
            age_s: self.begin.elapsed() / 1000,
            span_s,
            answered: self.answered,
            refused: self.refused,
            unknown: self.unknown,
            hist: sparse(&self.hist),
            ages: sparse(&self.ages),
            reads: self.reads.iter().map(served).collect(),
        }
    }
}

fn sparse(hist: &Histogram<u32>) -> Hist {
    let bucket = |v: hdrhistogram::iterators::IterationValue<u32>| Bucket {
        upto_us: v.value_iterated_to(),
        count: u64::from(v.count_at_value()),
    };
    Hist {
        counts: hist.iter_recorded().map(bucket).collect(),
    }
}

/// A closed span.
struct Closed {
    begin: Ms,
    window: Window,
}

#[derive(Default)]
struct Tally {
    open: Option<Span>,
    short: VecDeque<Closed>,
    long: VecDeque<Closed>,
    /// Retries that may be made now.
    retries: f64,
}

impl Tally {
    /// Closes spans that are over.
    fn roll(&mut self, institution: &str) {
        let over = self
            .open
            .as_ref()
            .is_some_and(|s| s.begin.elapsed() >= SPAN_S * 1000);
        if !over {
            return;
        }
        let Some(span) = self.open.take() else { return };
        self.short.push_back(Closed {
            begin: span.begin,
            window: span.window(institution, SPAN_S),
        });
        if self.short.len() <= SHORT_MAX {
            return;
        }
        let Some(old) = self.short.pop_front() else {
            return;
        };
        match self
            .long
            .back_mut()
            .filter(|l| l.begin.0 + LONG_S * 1000 > old.begin.0)
        {
            Some(last) => last.window.merge(&old.window),
            None => self.long.push_back(Closed {
                begin: old.begin,
                window: Window {
                    span_s: LONG_S,
                    ..old.window
                },
            }),
        }
        if self.long.len() > LONG_MAX {
            self.long.pop_front();
        }
    }
}

/// All counts of a daemon.
pub struct Stats {
    client: StatsdClient,
    tallies: RefCell<BTreeMap<Box<str>, Tally>>,
    changes: RefCell<VecDeque<Change>>,
}

impl Stats {
    /// Begins counting; metrics are sent to `statsd` if it is given.
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
            tallies: RefCell::default(),
            changes: RefCell::default(),
        }
    }

    /// Adds one to a counter.
    pub fn count(&self, metric: Metric) {
        let _ = self.client.count(metric.name(), 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, val: u64) {
        let _ = self.client.gauge(metric.name(), val);
    }

    /// Counts one answered request.
    pub fn record(
        &self,
        institution: &str,
        plan: &RequestPlan,
        answer: &RunResponse,
        place: &str,
        took_us: u64,
    ) {
        // A batch that only prepares is half a request of its caller.
        if plan.describe {
            return;
        }
        let _ = self.client.time(Metric::LatencyMs.name(), took_us / 1000);
        self.count(match answer.outcome {
            Outcome::Done => Metric::Statements,
            Outcome::NotRun => Metric::Refused,
            Outcome::Unknown => Metric::Unknown,
        });
        let mut tallies = self.tallies.borrow_mut();
        let tally = tallies.entry(institution.into()).or_default();
        tally.roll(institution);
        tally.retries = (tally.retries + 1.0).min(RETRY_BURST * 100.0);
        let span = tally.open.get_or_insert_with(Span::new);
        match answer.outcome {
            Outcome::Done => span.answered += 1,
            Outcome::NotRun => span.refused += 1,
            Outcome::Unknown => span.unknown += 1,
        }
        span.hist.saturating_record(took_us.clamp(1, LATENCY_MAX));
        if plan.read && !plan.describe && answer.outcome == Outcome::Done {
            span.ages
                .saturating_record((answer.age_ms * 1000).clamp(1, LATENCY_MAX));
            *span
                .reads
                .entry((plan.rule.clone(), place.into()))
                .or_default() += 1;
            if place != "replica" {
                self.count(Metric::PrimaryReads);
            }
        }
    }

    /// Takes one retry from the institution's budget; false when it is used up.
    pub fn may_retry(&self, group: &str, settings: &Settings) -> bool {
        let institution = group.split('/').next().unwrap_or_default();
        let percent = settings.limits.retry_percent;
        let mut tallies = self.tallies.borrow_mut();
        let tally = tallies.entry(institution.into()).or_default();
        // `retries` counts statements; each retry costs as many as the budget demands.
        let cost = if percent == 0 {
            f64::INFINITY
        } else {
            100.0 / f64::from(u32::try_from(percent).unwrap_or(100))
        };
        let allowed = tally.retries >= cost;
        if allowed {
            tally.retries -= cost;
        }
        allowed
    }

    /// Notes a change of primary that this daemon ran.
    pub fn add_change(&self, change: Change) {
        self.count(Metric::Changes);
        let mut changes = self.changes.borrow_mut();
        if changes.len() == CHANGES_MAX {
            changes.pop_front();
        }
        changes.push_back(change);
    }

    /// Changes of primary that this daemon ran.
    pub fn changes(&self) -> Vec<Change> {
        self.changes.borrow().iter().cloned().collect()
    }

    /// All windows, closed ones and those still open.
    pub fn windows(&self) -> Vec<Window> {
        let mut out = Vec::new();
        for (institution, tally) in self.tallies.borrow_mut().iter_mut() {
            tally.roll(institution);
            for closed in tally.long.iter().chain(&tally.short) {
                out.push(Window {
                    age_s: closed.begin.elapsed() / 1000,
                    ..closed.window.clone()
                });
            }
            out.extend(tally.open.as_ref().map(|s| s.window(institution, SPAN_S)));
        }
        out
    }
}
