//! The two deployments that test fleets and the demo run.

use serde_json::{Value, json};

/// Specification of a database group.
#[derive(Clone)]
pub struct GroupSpec {
    /// Name of the group and of its only service.
    pub name: String,
    /// Table that the service writes to.
    pub table: String,
    /// Index of the data centre whose member is the primary at the start.
    pub initial_primary: usize,
    /// Connections that each member accepts.
    pub connections: u64,
    /// Statements that each member runs concurrently.
    pub slots: u64,
}

/// Institution with its groups and the shares of its kinds of requests.
#[derive(Clone)]
pub struct Deployment {
    pub name: String,
    pub groups: Vec<GroupSpec>,
    /// Maximum age of the data that list reads accept, in ms.
    pub max_age_ms: u64,
    /// Share of list reads among the requests, in percent.
    pub list_percent: u32,
    /// Share of writes among the requests, in percent.
    pub write_percent: u32,
}

fn groups(names: [(&str, &str); 3], connections: u64, slots: u64) -> Vec<GroupSpec> {
    let spec = |(initial_primary, (name, table)): (usize, (&str, &str))| GroupSpec {
        name: name.to_owned(),
        table: table.to_owned(),
        initial_primary,
        connections,
        slots,
    };
    names.into_iter().enumerate().map(spec).collect()
}

/// Lakeshore Grain Haulers Cooperative, with the higher share of writes of the two.
pub fn lakeshore() -> Deployment {
    let names = [
        ("slots", "bookings"),
        ("manifests", "manifests"),
        ("queues", "queue"),
    ];
    Deployment {
        name: "lakeshore".to_owned(),
        groups: groups(names, 16, 2),
        max_age_ms: 2000,
        list_percent: 40,
        write_percent: 30,
    }
}

/// Oprawka Studio, with mostly list reads of the catalogue.
pub fn oprawka() -> Deployment {
    let names = [
        ("frames", "reservations"),
        ("orders", "orders"),
        ("profiles", "profiles"),
    ];
    Deployment {
        name: "oprawka".to_owned(),
        groups: groups(names, 45, 3),
        max_age_ms: 5000,
        list_percent: 70,
        write_percent: 10,
    }
}

/// Password that test users log in with.
pub fn password_of(user: &str) -> String {
    format!("pw-{user}")
}

impl Deployment {
    /// Users that log in; the second one sends the excess load of the overload case.
    pub fn users(&self) -> [String; 2] {
        [format!("{}-desk", self.name), format!("{}-web", self.name)]
    }

    /// First version of the institution's object; `members` gives the members of a group.
    pub fn institution(&self, members: impl Fn(&GroupSpec) -> Vec<Value>) -> Value {
        let users: Vec<Value> = self
            .users()
            .iter()
            .map(|name| {
                let (salt, hash) =
                    pg::Verifier::hash_password(&password_of(name), name.as_bytes(), 4096);
                json!({"name": name, "salt": salt, "hash": hash, "rounds": 4096})
            })
            .collect();
        let groups: Vec<Value> = self.groups.iter().map(|g| {
            json!({"name": g.name, "user": "hollyreach", "database": g.name, "connections": g.connections,
                "slots": g.slots, "members": members(g)})
        }).collect();
        let services: Vec<Value> = self.groups.iter().map(|g| {
            json!({"name": g.name, "group": g.name, "deadline_ms": 5000, "rules": [
                {"name": "list", "starts": "select v from catalogue", "kind": "read", "max_age_ms": self.max_age_ms},
                {"name": "look", "starts": "select", "kind": "read"},
                {"name": "book", "starts": "insert into", "kind": "write"},
            ]})
        }).collect();
        json!({"name": self.name, "version": 1, "users": users, "groups": groups, "services": services, "objectives": [
            {"name": "answered", "measure": "answered", "percent": 99.9},
            {"name": "fast", "measure": "latency", "percent": 99.0, "bound_ms": 100},
            {"name": "fresh", "measure": "fresh", "percent": 99.9, "bound_ms": self.max_age_ms},
        ]})
    }
}
