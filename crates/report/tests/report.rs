//! Rendering of the report from fixed counts.

use expect_test::expect;
use report::{Input, build, svg, text};
use schema::{
    Bucket, Change, Hist, Institution, KnownVersion, Measure, Objective, Served, Stats, Window,
};

/// Histogram from pairs of upper bound in µs and count.
fn hist(counts: &[(u64, u64)]) -> Hist {
    Hist {
        counts: counts
            .iter()
            .map(|(upto_us, count)| Bucket {
                upto_us: *upto_us,
                count: *count,
            })
            .collect(),
    }
}

fn objective(name: &str, measure: Measure, percent: f64, bound_ms: u64) -> Objective {
    Objective {
        name: name.into(),
        measure,
        percent,
        bound_ms,
    }
}

/// Counts of one daemon, and the name of one that did not answer.
fn input() -> Input {
    let served = |place: &str, count| Served {
        rule: "list".into(),
        place: place.into(),
        count,
    };
    let window = Window {
        institution: "lakeshore".into(),
        age_s: 20,
        span_s: 60,
        answered: 980,
        refused: 15,
        unknown: 5,
        hist: hist(&[(900, 700), (4000, 290), (150_000, 10)]),
        ages: hist(&[(1, 600), (250_000, 100)]),
        reads: vec![served("replica", 650), served("primary: Behind", 50)],
    };
    let change = Change {
        group: "lakeshore/slots".into(),
        term: 2,
        warden: "entry-21".into(),
        evidence: "the primary refuses connections".into(),
        winner: "slots2".into(),
        unix_ms: 1,
        silent_ms: 140,
        check_ms: 3,
        grant_ms: 2,
        promote_ms: 1,
        planned: false,
        steps: vec!["slots1: refused connections; no grant".into()],
    };
    let stats = Stats {
        name: "entry-11".into(),
        data_center: "dc1".into(),
        leaving: false,
        callers: 3,
        versions: vec![KnownVersion {
            name: "lakeshore".into(),
            version: 1,
        }],
        windows: vec![window],
        changes: vec![change],
        groups: Vec::new(),
    };
    let institution = Institution {
        name: "lakeshore".into(),
        version: 1,
        recent: Vec::new(),
        callers: 10,
        users: Vec::new(),
        groups: Vec::new(),
        services: Vec::new(),
        objectives: vec![
            objective("fresh", Measure::Fresh, 99.0, 300),
            objective("answered", Measure::Answered, 99.9, 0),
            objective("fast", Measure::Latency, 99.0, 100),
        ],
    };
    Input {
        stats: vec![stats],
        silent: vec!["entry-12".into()],
        institutions: vec![institution],
    }
}

/// Guards against a report that hides the worst objective or the daemons that did not answer, or
/// computes burn rates, quantiles or shares of reads wrongly.
#[test]
fn objectives_are_sorted_by_highest_burn() {
    let rendered = text(&build(&input()));
    expect![[r"
        NOT HEARD: entry-12 (1 daemons heard; counts of the others are missing)

        alarm     institution   objective      target     good  requests    5 min      1 h     24 h  budget left
        PAGE      lakeshore     answered       99.90%   98.00%      1000    20.00    20.00    20.00     -1900.0%
        ok        lakeshore     fast           99.00%   99.00%      1000     1.00     1.00     1.00         0.0%
        ok        lakeshore     fresh          99.00%  100.00%       700     0.00     0.00     0.00       100.0%

        latency of answers
          lakeshore: p50 0.900 ms, p99 4.000 ms, 1000 answers

        reads
          lakeshore: 92.9% on replicas
                    50  list · primary: Behind
                   650  list · replica

        changes of primary, newest first
          lakeshore/slots failover to term 2, primary slots2: 146 ms = silent 140 + check 3 + grant 2 + promote 1; the primary refuses connections; by entry-21
              slots1: refused connections; no grant
    "]]
    .assert_eq(&rendered);
}

/// Guards against objectives or windows that are missing from the chart.
#[test]
fn chart_labels_every_objective() {
    let chart = svg(&build(&input())).expect("failed to draw the chart");
    for name in [
        "lakeshore answered",
        "lakeshore fast",
        "lakeshore fresh",
        "24 h",
    ] {
        assert!(chart.contains(name), "label {name} is missing");
    }
}
