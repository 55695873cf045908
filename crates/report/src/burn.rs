//! Burn rates of the objectives over short and long windows.

use std::collections::BTreeMap;

use schema::{Change, Institution, Measure, Objective, Stats, Window};
use serde::Serialize;

/// Lengths of the report's windows, shortest first.
pub const WINDOWS_S: [u64; 3] = [300, 3600, 86_400];

/// Source data of the report.
pub struct Input {
    /// Counts of the daemons that answered.
    pub stats: Vec<Stats>,
    /// Daemons that did not answer.
    pub silent: Vec<Box<str>>,
    /// Institutions with their objectives.
    pub institutions: Vec<Institution>,
}

/// Burn of one objective of one institution.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ObjectiveBurn {
    pub institution: Box<str>,
    pub objective: Box<str>,
    /// Share of requests that must be good, in percent.
    pub target: f64,
    /// Share of requests that were good over the longest window, in percent.
    pub good: f64,
    /// Requests counted over the longest window.
    pub count: u64,
    /// Burn rate over each of [`WINDOWS_S`]: the share of bad requests as a multiple of the error
    /// budget. At 1 the budget is used up exactly.
    pub burn: [f64; 3],
    /// Share of the error budget of the longest window that is left, in percent; negative when
    /// overdrawn.
    pub budget_left: f64,
}

/// Reads of an institution by the place that served them, over the longest window.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct InstitutionReads {
    pub institution: Box<str>,
    /// Share of reads served by replicas, in percent.
    pub replica_percent: f64,
    /// Number of reads by `<rule> · <place>`.
    pub places: BTreeMap<String, u64>,
}

/// The complete report.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct BurnReport {
    /// Daemons that did not answer; their counts are missing from the report.
    pub silent: Vec<Box<str>>,
    /// Number of daemons that answered.
    pub heard: usize,
    /// Objectives, sorted by their highest burn over any window, descending.
    pub lines: Vec<ObjectiveBurn>,
    /// Reads of each institution, in the order of the input.
    pub reads: Vec<InstitutionReads>,
    /// Primary changes, newest first.
    pub changes: Vec<Change>,
    /// Latency of answers over the longest window by institution: p50 in µs, p99 in µs and the
    /// number of answers.
    pub latency: BTreeMap<Box<str>, (u64, u64, u64)>,
}

/// Merges the windows of one institution from all daemons that overlap the last `span_s` seconds.
fn merged_window(stats: &[Stats], institution: &str, span_s: u64) -> Window {
    let empty = || Window {
        institution: institution.into(),
        age_s: 0,
        span_s,
        answered: 0,
        refused: 0,
        unknown: 0,
        hist: schema::Hist { counts: Vec::new() },
        ages: schema::Hist { counts: Vec::new() },
        reads: Vec::new(),
    };
    let windows = stats.iter().flat_map(|s| &s.windows);
    let matching =
        windows.filter(|w| *w.institution == *institution && w.age_s <= span_s + w.span_s);
    matching.fold(empty(), |mut all, w| {
        all.merge(w);
        all
    })
}

/// Number of requests that met an objective, and of all that it applies to.
fn good_and_total(objective: &Objective, w: &Window) -> (u64, u64) {
    let bound_us = objective.bound_ms * 1000;
    match objective.measure {
        Measure::Answered => (w.answered, w.answered + w.refused + w.unknown),
        Measure::Latency => (w.hist.count_up_to(bound_us), w.hist.total()),
        Measure::Fresh => (w.ages.count_up_to(bound_us), w.ages.total()),
    }
}

/// Share of `part` in `all`, in percent; 100 when there were no requests.
#[allow(clippy::cast_precision_loss)]
fn percent(part: u64, all: u64) -> f64 {
    if all == 0 {
        100.0
    } else {
        part as f64 * 100.0 / all as f64
    }
}

fn objective_burn(
    stats: &[Stats],
    institution: &Institution,
    objective: &Objective,
) -> ObjectiveBurn {
    let budget = 100.0 - objective.percent;
    let shares = WINDOWS_S.map(|span_s| {
        let (good, all) =
            good_and_total(objective, &merged_window(stats, &institution.name, span_s));
        (percent(good, all), all)
    });
    let burn = shares.map(|(good, _)| (100.0 - good) / budget);
    let (good, count) = shares[WINDOWS_S.len() - 1];
    ObjectiveBurn {
        institution: institution.name.clone(),
        objective: objective.name.clone(),
        target: objective.percent,
        good,
        count,
        burn,
        budget_left: (1.0 - burn[WINDOWS_S.len() - 1]) * 100.0,
    }
}

fn institution_reads(stats: &[Stats], institution: &Institution) -> InstitutionReads {
    let window = merged_window(stats, &institution.name, WINDOWS_S[2]);
    let mut places = BTreeMap::new();
    for served in &window.reads {
        *places
            .entry(format!("{} · {}", served.rule, served.place))
            .or_insert(0) += served.count;
    }
    let replica: u64 = window
        .reads
        .iter()
        .filter(|r| &*r.place == "replica")
        .map(|r| r.count)
        .sum();
    let replica_percent = percent(replica, places.values().sum());
    InstitutionReads {
        institution: institution.name.clone(),
        replica_percent,
        places,
    }
}

/// Computes the report.
pub fn build(input: &Input) -> BurnReport {
    let stats = &input.stats;
    let mut lines: Vec<ObjectiveBurn> = Vec::new();
    let mut latency = BTreeMap::new();
    for institution in &input.institutions {
        lines.extend(
            institution
                .objectives
                .iter()
                .map(|o| objective_burn(stats, institution, o)),
        );
        let hist = merged_window(stats, &institution.name, WINDOWS_S[2]).hist;
        latency.insert(
            institution.name.clone(),
            (hist.quantile(50.0), hist.quantile(99.0), hist.total()),
        );
    }
    let max_burn = |l: &ObjectiveBurn| l.burn.iter().copied().fold(0.0, f64::max);
    lines.sort_by(|a, b| max_burn(b).total_cmp(&max_burn(a)));
    let mut changes: Vec<Change> = stats
        .iter()
        .flat_map(|s| s.changes.iter().cloned())
        .collect();
    changes.sort_by_key(|c| std::cmp::Reverse(c.unix_ms));
    BurnReport {
        silent: input.silent.clone(),
        heard: stats.len(),
        lines,
        reads: input
            .institutions
            .iter()
            .map(|i| institution_reads(stats, i))
            .collect(),
        changes,
        latency,
    }
}
