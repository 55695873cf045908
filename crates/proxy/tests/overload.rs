//! Which routes' statements are admitted while more arrives than the members can run.

use proxy::{Demand, ServiceTime, admitted_parts};

/// Guards against an estimate that follows a member's waiting time.
#[test]
fn the_best_time_hardly_rises_under_load() {
    let mut time = ServiceTime::default();
    assert_eq!(time.best_ms(), None);
    (0..32).for_each(|_| time.record(20.0));
    assert_eq!(time.best_ms(), Some(20.0));
    (0..160).for_each(|_| time.record(80.0));
    assert!(time.best_ms().is_some_and(|best| best < 32.0));
    (0..16).for_each(|_| time.record(10.0));
    assert_eq!(time.best_ms(), Some(10.0));
}

fn demand(priority: u64, service_ms: f64, per_s: f64) -> Demand {
    Demand {
        priority,
        service_ms,
        rate: per_s / 1000.0,
    }
}

/// Checks, in percent, which parts of the demands are admitted to a number of slots.
fn check(demands: &[Demand], slots: f64, expect: &[f64]) {
    let parts = admitted_parts(demands, slots);
    let percent: Vec<f64> = parts.iter().map(|p| (p * 100.0).round()).collect();
    assert_eq!(percent, expect, "{demands:?}");
}

/// Guards against turning somebody away while there is room.
#[test]
fn what_fits_is_admitted() {
    check(&[], 3.0, &[]);
    let calm = [demand(1, 8.0, 50.0), demand(2, 40.0, 25.0)];
    check(&calm, 3.0, &[100.0, 100.0]);
}

/// Guards against slots spent on the statements that take most of them: of 5.2 slots that are asked
/// for, 3 are there. An equal treatment would admit 58% of each route and answer 129 statements a
/// second; this one answers 142, and no route gets less than half of its equal part.
#[test]
fn of_equally_urgent_routes_the_shorter_statements_go_first() {
    let load = [
        demand(1, 8.0, 50.0),
        demand(2, 40.0, 30.0),
        demand(2, 25.0, 144.0),
    ];
    check(&load, 3.0, &[100.0, 29.0, 63.0]);
    let answered = |parts: &[f64]| -> f64 {
        let by_route = load.iter().zip(parts).map(|(d, p)| d.rate * p * 1000.0);
        by_route.sum()
    };
    let parts = admitted_parts(&load, 3.0);
    let wanted: f64 = load.iter().map(|d| d.rate * d.service_ms).sum();
    assert!(answered(&parts) > answered(&[3.0 / wanted; 3]) * 1.08);
}
