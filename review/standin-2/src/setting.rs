//! A small deployment: one group of three members, three daemons, and the routes of a sheet.

use std::rc::Rc;

use base::Ms;
use serde_json::{Value, json};
use world::World;

use crate::Case;
use crate::client::wait_ready;
use crate::fleet::Daemon;

/// Interval of the members' reports to the store.
pub const HEARTBEAT_MS: u64 = 1200;
/// Number of daemons.
const DAEMON_COUNT: usize = 3;

pub struct Setting {
    pub world: Rc<World>,
    pub daemons: Vec<Daemon>,
}

fn route(host: &str, kind: &str, timeout_ms: u64, max_staleness_ms: u64) -> Value {
    json!({
        "name": format!("r-{host}"), "host": host, "path_prefix": "/", "type": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 400, "priority": 2, "service": "g0",
        "max_attempts": 2, "max_staleness_ms": max_staleness_ms
    })
}

impl Setting {
    /// Starts the stand-ins and the daemons; `None` if these do not become ready.
    pub async fn start(case: &Case, promote_ms: u64) -> Option<Setting> {
        let world = World::start(1, promote_ms);
        for member in &world.groups[0].members {
            // The stand-in tells the starts of a member apart by this number, which it reports as `born`.
            member.incarnation.set(Ms::unix());
            world.groups[0].publish(member);
        }
        let config = json!({
            "version": 7,
            "routes": [
                route("slot", "primary", 800, 0),
                route("queue", "bounded_staleness", 1500, 1500),
            ],
            "services": [{"name": "g0", "max_conns": 16, "sync_replicas": 1}],
            "limits": {"tx_idle_ms": 3000}
        });
        world.store.put("config", "main", &config);
        let daemons = Daemon::start_all(&world, &case.dir, DAEMON_COUNT);
        for daemon in &daemons {
            if !wait_ready(&daemon.ready).await {
                return None;
            }
        }
        case.record.line("the daemons are ready");
        Some(Setting { world, daemons })
    }
}
