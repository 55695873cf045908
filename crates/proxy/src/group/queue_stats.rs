//! Throughput of the classes of statements that wait for a group's connections, and what the routes
//! ask of each class.

use std::cell::{Cell, RefCell};

use base::Ms;

use super::routes::RouteKey;
use crate::shedding::{Demand, admitted_parts};
use crate::{Load, Throughput};

/// Time in which the weight of an arrival halves, in ms.
const ARRIVAL_HALF_LIFE_MS: f64 = 1000.0;

/// Statements that compete for the same members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Class {
    /// Only the primary can serve them.
    Primary,
    /// Replicas can serve them as well.
    Any,
    /// Control commands of the daemon itself, which go first.
    Control,
}

/// Arrivals of one route in one class.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    at: Ms,
    /// Decayed number of arrivals.
    count: f64,
    /// Part of a statement that may still be admitted.
    credit: f64,
}

impl Arrivals {
    fn advance(&mut self, now: Ms) {
        let elapsed = to_f64(now.0.saturating_sub(self.at.0));
        self.at = self.at.max(now);
        self.count *= 0.5_f64.powf(elapsed / ARRIVAL_HALF_LIFE_MS);
    }

    /// Arrivals per ms.
    fn rate(mut self, now: Ms) -> f64 {
        self.advance(now);
        self.count * std::f64::consts::LN_2 / ARRIVAL_HALF_LIFE_MS
    }
}

/// State of one class.
#[derive(Default)]
struct ClassStats {
    throughput: Cell<Throughput>,
    /// By route.
    arrivals: RefCell<Vec<Arrivals>>,
}

/// Throughput of the statements of a group, by class.
#[derive(Default)]
pub(super) struct QueueStats {
    primary: ClassStats,
    any: ClassStats,
}

impl QueueStats {
    fn class(&self, class: Class) -> Option<&ClassStats> {
        match class {
            Class::Primary => Some(&self.primary),
            Class::Any => Some(&self.any),
            Class::Control => None,
        }
    }

    pub(super) fn update(&self, class: Class, update: impl Fn(&mut Throughput)) {
        let Some(stats) = self.class(class) else {
            return;
        };
        let mut throughput = stats.throughput.get();
        update(&mut throughput);
        stats.throughput.set(throughput);
    }

    /// The load of a class; `None` for control commands.
    pub(super) fn load(&self, class: Class, now: Ms) -> Option<Load> {
        Some(self.class(class)?.throughput.get().load(now))
    }

    /// Records the arrival of a new statement of a route.
    pub(super) fn record_arrival(&self, class: Class, route: RouteKey, now: Ms) {
        let Some(stats) = self.class(class) else {
            return;
        };
        let mut arrivals = stats.arrivals.borrow_mut();
        if arrivals.len() <= route.0 {
            arrivals.resize_with(route.0 + 1, Arrivals::default);
        }
        let arrivals = &mut arrivals[route.0];
        arrivals.advance(now);
        arrivals.count += 1.0;
    }

    /// Whether a statement of a route, whose arrival was recorded, may wait. `cost` is the priority
    /// and the service time in ms of each route.
    pub(super) fn admit(
        &self,
        class: Class,
        route: RouteKey,
        cost: impl Fn(RouteKey) -> (u64, f64),
        now: Ms,
    ) -> bool {
        let Some(stats) = self.class(class) else {
            return true;
        };
        let Some(slots) = stats.throughput.get().load(now).slots else {
            return true;
        };
        let mut arrivals = stats.arrivals.borrow_mut();
        let demands: Vec<Demand> = arrivals
            .iter()
            .enumerate()
            .map(|(i, a)| {
                let (priority, service_ms) = cost(RouteKey(i));
                Demand {
                    priority,
                    service_ms,
                    rate: a.rate(now),
                }
            })
            .collect();
        let part = admitted_parts(&demands, slots)[route.0];
        let arrivals = &mut arrivals[route.0];
        arrivals.credit = (arrivals.credit + part).min(2.0);
        if arrivals.credit < 1.0 {
            return false;
        }
        arrivals.credit -= 1.0;
        true
    }
}

fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
