//! Tests of statement rules, replication positions and histograms.

// Quickcheck passes generated values by value.
#![allow(clippy::needless_pass_by_value)]

use property::check_property;
use schema::{Bucket, Hist, Kind, Pos, Rule, Service};

fn service() -> Service {
    let rule = |name: &str, starts: &str, kind: Kind| Rule {
        name: name.into(),
        starts: starts.into(),
        kind,
        max_age_ms: None,
        repeat: false,
    };
    Service {
        name: "slots".into(),
        group: "slots".into(),
        deadline_ms: 5000,
        rules: vec![
            rule("list", "select v from catalogue", Kind::Read),
            rule("book", "INSERT INTO bookings", Kind::Write),
        ],
    }
}

/// Checks the name of the rule that a statement matches.
fn check(sql: &str, expect: Option<&str>) {
    assert_eq!(service().rule(sql).map(|r| &*r.name), expect, "{sql}");
}

/// Guards against statements that get the rule of another statement.
#[test]
fn rules_match_the_first_words_of_a_statement() {
    // Case, white space, a leading comment and a final semicolon are ignored.
    check("SELECT  v\nFROM catalogue WHERE k = 'x'", Some("list"));
    check(
        "/* hollyreach.key=a */ insert into bookings (k) values ('a');",
        Some("book"),
    );
    // A match ends at a word boundary.
    check("SELECT v FROM catalogues", None);
    // A semicolon inside the text, also in a literal, excludes a match.
    check("SELECT v FROM catalogue; DROP TABLE catalogue", None);
    check("select v from catalogue where k = 'a;b'", None);
    // An empty statement has no rule.
    check("", None);
}

/// Returns a histogram with a bucket for each distinct value.
fn hist(values: &[u8]) -> Hist {
    let mut hist = Hist { counts: Vec::new() };
    for v in values {
        hist.merge(&Hist {
            counts: vec![Bucket {
                upto_us: u64::from(*v),
                count: 1,
            }],
        });
    }
    hist
}

/// Guards against a position that changes when it is printed and parsed.
#[test]
fn positions_round_trip() {
    fn property(term: u64, log: u64) -> bool {
        let pos = Pos { term, log };
        Pos::parse(&pos.to_string()) == Some(pos)
    }
    check_property(property as fn(u64, u64) -> bool);
}

/// Guards against merged reports that depend on the order of the daemons or lose counts.
#[test]
fn histograms_merge() {
    fn property(a: Vec<u8>, b: Vec<u8>) -> bool {
        let (mut ab, mut ba) = (hist(&a), hist(&b));
        ab.merge(&hist(&b));
        ba.merge(&hist(&a));
        ab == ba && ab.total() == (a.len() + b.len()) as u64
    }
    check_property(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

/// Guards against quantiles that miss the last bucket.
#[test]
fn quantile_100_is_the_maximum() {
    fn property(values: Vec<u8>) -> bool {
        let merged = hist(&values);
        let mut sorted = values;
        sorted.sort_unstable();
        sorted.is_empty() || merged.quantile(100.0) == u64::from(sorted[sorted.len() - 1])
    }
    check_property(property as fn(Vec<u8>) -> bool);
}
