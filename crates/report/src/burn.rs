//! Burn of the objectives over short and long windows.

use std::collections::BTreeMap;

use schema::{Change, Institution, Measure, Objective, Stats, Window};
use serde::Serialize;

/// Windows of the report, in s.
pub const WINDOWS_S: [u64; 3] = [300, 3600, 86_400];

/// What the report is made from.
pub struct Input {
    /// What daemons reported.
    pub stats: Vec<Stats>,
    /// Daemons that could not be heard.
    pub silent: Vec<Box<str>>,
    /// Institutions with their objectives.
    pub institutions: Vec<Institution>,
}

/// One objective of one institution.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ObjectiveBurn {
    /// Institution.
    pub institution: Box<str>,
    /// Objective.
    pub objective: Box<str>,
    /// Share that must be good, in percent.
    pub target: f64,
    /// Share that was good over the longest window, in percent.
    pub good: f64,
    /// Requests counted over the longest window.
    pub count: u64,
    /// Burn over each window: 1 uses the budget up exactly.
    pub burn: [f64; 3],
    /// Share of the budget of the longest window that is left, in percent; below 0 when overdrawn.
    pub budget_left: f64,
}

/// Where an institution's reads were served.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct InstitutionReads {
    /// Institution.
    pub institution: Box<str>,
    /// Share served by replicas, in percent.
    pub replica_percent: f64,
    /// Reads by rule and place.
    pub places: BTreeMap<String, u64>,
}

/// The whole report, the worst first.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct BurnReport {
    /// Daemons that could not be heard.
    pub silent: Vec<Box<str>>,
    /// Daemons that were heard.
    pub heard: usize,
    /// Objectives, the highest burn first.
    pub lines: Vec<ObjectiveBurn>,
    /// Reads of each institution.
    pub reads: Vec<InstitutionReads>,
    /// Changes of primary, the newest first.
    pub changes: Vec<Change>,
    /// Latency of all answers by institution: p50, p99 and the number of answers, in µs.
    pub latency: BTreeMap<Box<str>, (u64, u64, u64)>,
}

/// Counts of one institution over the last `span_s` seconds.
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
    let mine = windows.filter(|w| *w.institution == *institution && w.age_s <= span_s + w.span_s);
    mine.fold(empty(), |mut all, w| {
        all.merge(w);
        all
    })
}

/// Requests that were good, and all that count.
fn good_and_total(objective: &Objective, w: &Window) -> (u64, u64) {
    let bound_us = objective.bound_ms * 1000;
    match objective.measure {
        Measure::Answered => (w.answered, w.answered + w.refused + w.unknown),
        Measure::Latency => (w.hist.upto(bound_us), w.hist.total()),
        Measure::Fresh => (w.ages.upto(bound_us), w.ages.total()),
    }
}

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
    let shares = WINDOWS_S.map(|span| {
        let (good, all) = good_and_total(objective, &merged_window(stats, &institution.name, span));
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
    let all = merged_window(stats, &institution.name, WINDOWS_S[2]);
    let mut places = BTreeMap::new();
    for served in &all.reads {
        *places
            .entry(format!("{} · {}", served.rule, served.place))
            .or_insert(0) += served.count;
    }
    let replica: u64 = all
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

/// Makes the report.
pub fn make(input: &Input) -> BurnReport {
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
