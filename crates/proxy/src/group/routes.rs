//! What a group knows of the routes that send it statements.

use super::Group;
use crate::{Member, Route, ServiceTime};
use base::Ms;

/// Identifies a route's reads or writes within a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteKey(pub usize);

/// Service time assumed for a route before its first statements, in ms.
const INITIAL_SERVICE_MS: f64 = 20.0;

/// What is known of a route's reads or writes.
pub(super) struct RouteStats {
    database: Box<str>,
    write: bool,
    priority: u64,
    service_time: ServiceTime,
}

impl Group {
    /// The key of a route's reads or writes.
    pub fn route_key(&self, route: &Route, write: bool) -> RouteKey {
        let mut routes = self.routes.borrow_mut();
        let is_same = |r: &RouteStats| r.write == write && r.database == route.database;
        let known = routes.iter().position(is_same);
        let i = known.unwrap_or_else(|| {
            routes.push(RouteStats {
                database: route.database.clone(),
                write,
                priority: route.priority,
                service_time: ServiceTime::default(),
            });
            routes.len() - 1
        });
        routes[i].priority = route.priority;
        RouteKey(i)
    }

    /// Priority of a route, and the time that its statements take at best, in ms.
    pub(super) fn route_cost(&self, key: RouteKey) -> (u64, f64) {
        let routes = self.routes.borrow();
        let route = &routes[key.0];
        let service = route.service_time.best_ms().unwrap_or(INITIAL_SERVICE_MS);
        (route.priority, service)
    }

    /// Records that a statement of a route was run at a member.
    pub fn on_service(&self, member: &Member, key: RouteKey, took_ms: u64) {
        member.record_latency(took_ms, Ms::now());
        let took_ms = f64::from(u32::try_from(took_ms).unwrap_or(u32::MAX));
        self.routes.borrow_mut()[key.0].service_time.record(took_ms);
    }
}
