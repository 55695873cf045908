//! In-process simulation of the platform that daemons depend on: the metadata store, database
//! members and the promotion API, following their API documentation, with fault injection.
//!
//! For tests only. Keeps the logs, the statements received and the promotions ordered, so that
//! tests can check the guarantees of the daemons against them.

mod api;
mod client_account;
mod group;
mod held_order;
mod member;
mod statement_run;
mod store;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::rc::Rc;

use base::Ms;
use serde_json::{Value, json};

pub use client_account::ClientAccount;
pub use group::{Entry, Group, Member, Promoted};
pub use held_order::HeldOrder;
pub use statement_run::StatementRun;
pub use store::{Outage, Store};

/// Members per group, unless a test asks for more.
const MEMBER_COUNT: usize = 3;

/// Interval between two checks whether the promotion API is silent, in ms.
const SILENCE_POLL_MS: u64 = 5;
/// Time within which it takes the orders that have come while it was silent, in ms.
const MAX_DISORDER_MS: u64 = 30;

/// Runs a test to completion on a new monoio runtime.
///
/// # Panics
/// When the runtime cannot be built.
pub fn run(test: impl Future<Output = ()>) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("failed to build the runtime");
    runtime.block_on(test);
}

/// A request received by the promotion API.
pub struct PromotionRequest {
    pub group: Box<str>,
    /// Identifier of the ordered member.
    pub member: Box<str>,
    /// Fencing token.
    pub token: u64,
    /// Value of the `hollyreach-duty-holder` header: the daemon that ordered the promotion.
    pub holder: Box<str>,
    /// When the daemon sent it.
    pub called_at: Ms,
    /// When it arrived at the promotion API; `None` while it is held up.
    pub arrived_at: Cell<Option<Ms>>,
}

/// The simulated platform.
pub struct World {
    pub store: Rc<Store>,
    pub groups: Vec<Rc<Group>>,
    /// Version of the newest configuration.
    version: Cell<u64>,
    /// The newest configuration.
    config: RefCell<Value>,
    /// Client accounts of the next configuration, if it has any.
    accounts: RefCell<Option<Vec<ClientAccount>>>,
    /// Number of daemons that endpoints were started for.
    daemon_count: Cell<u8>,
    /// Well-formed requests that the promotion API handled, oldest first, whether accepted or not.
    /// Requests that an outage blocked are missing.
    pub promotions: RefCell<Vec<Rc<PromotionRequest>>>,
    /// The same in the order of the calls, with those that are held up.
    pub order_calls: RefCell<Vec<Rc<PromotionRequest>>>,
    /// Fault: time for which each order of a promotion is held up on its way to the promotion API, in
    /// ms. It arrives although its sender has given up or has ended.
    pub order_delay_ms: Cell<u64>,
    /// Fault: the same for the orders of single daemons, by daemon; the longer of the two applies.
    pub order_delays: RefCell<HashMap<Box<str>, u64>>,
    /// Fault: time for which each answer of the promotion API is held up, in ms.
    pub order_answer_delay_ms: Cell<u64>,
    /// Fault: the promotion API is silent. In the end it takes the orders that have come meanwhile in any
    /// order, also those whose sender has reset the connection.
    pub orders_silent: Cell<bool>,
    /// Fault: orders of promotions are held up until `deliver_order`, for good without it.
    pub hold_orders: Cell<bool>,
    /// The orders that are held up, oldest first.
    pub held_orders: RefCell<Vec<Rc<HeldOrder>>>,
}

impl World {
    /// Starts groups of three members each and writes the first configuration.
    ///
    /// # Panics
    /// When no port can be bound.
    pub fn start(groups: usize, promote_ms: u64) -> Rc<World> {
        World::start_groups(groups, MEMBER_COUNT, promote_ms)
    }

    /// As `start`, with `members` members in each group.
    ///
    /// # Panics
    /// When no port can be bound.
    pub fn start_groups(groups: usize, members: usize, promote_ms: u64) -> Rc<World> {
        let store = Rc::new(Store::default());
        let groups = (0..groups)
            .map(|g| Group::start(&format!("g{g}"), members, promote_ms, &store))
            .collect();
        let world = Rc::new(World {
            store,
            groups,
            version: Cell::new(0),
            config: RefCell::default(),
            accounts: RefCell::default(),
            daemon_count: Cell::new(0),
            promotions: RefCell::default(),
            order_calls: RefCell::default(),
            order_delay_ms: Cell::new(0),
            order_delays: RefCell::default(),
            order_answer_delay_ms: Cell::new(0),
            orders_silent: Cell::new(false),
            hold_orders: Cell::new(false),
            held_orders: RefCell::default(),
        });
        world.configure(0);
        world
    }

    /// Version of the newest configuration.
    pub fn config_version(&self) -> u64 {
        self.version.get()
    }

    /// Writes the next version of the configuration, with `extra_routes` unused routes.
    ///
    /// Each version also has a route named after it, `v<version>`, that no other version has, so
    /// that a client can tell which version a daemon serves. With client accounts, that route is
    /// public, so that the check needs no key.
    pub fn configure(&self, extra_routes: usize) {
        self.version.set(self.version.get() + 1);
        let mut routes = Vec::new();
        for group in &self.groups {
            for (host, kind, max_staleness_ms) in [
                ("newest", "primary", 0),
                ("own", "read_your_writes", 2500),
                ("aged", "bounded_staleness", 1500),
            ] {
                routes.push(route(
                    &format!("{}-{host}", group.name),
                    &group.name,
                    kind,
                    max_staleness_ms,
                ));
            }
        }
        let extra_routes = (0..extra_routes).map(|n| format!("more-{n}"));
        for database in extra_routes {
            routes.push(route(&database, &self.groups[0].name, "primary", 0));
        }
        let version = format!("v{}", self.version.get());
        let mut version_route = route(&version, &self.groups[0].name, "primary", 0);
        let services: Vec<Value> = self
            .groups
            .iter()
            .map(|g| json!({"name": &*g.name, "max_conns": g.max_conns.get(), "sync_replicas": 1}))
            .collect();
        let mut spec = json!({
            "version": self.version.get(), "services": services, "limits": {"tx_idle_ms": 3000}
        });
        if let Some(accounts) = &*self.accounts.borrow() {
            spec["tenants"] = accounts.iter().map(ClientAccount::to_json).collect();
            version_route["public"] = true.into();
            for group in &self.groups {
                let mut open = route(&format!("{}-public", group.name), &group.name, "primary", 0);
                open["public"] = true.into();
                routes.push(open);
            }
        }
        routes.push(version_route);
        spec["routes"] = routes.into();
        self.store.put("config", "main", &spec);
        self.config.replace(spec);
    }

    /// Restores the store as it was `age_ms` ago. Members and the operator write again after
    /// `delay_ms`; records of members that have left are removed then.
    pub async fn restore_store(&self, age_ms: u64, delay_ms: u64) {
        self.store.restore(age_ms);
        self.store.record_absence(delay_ms);
        sleep_ms(delay_ms).await;
        self.store
            .put("config", "main", &self.config.borrow().clone());
        let mut living = HashSet::new();
        for group in &self.groups {
            for member in group.members.iter().filter(|m| m.up.get()) {
                group.publish(member);
                living.insert(member.id.borrow().clone());
            }
        }
        for name in self.store.names("servers") {
            if !living.contains(&name) {
                self.store.remove("servers", &name);
            }
        }
    }

    /// Lets the oldest order that is held up arrive at the promotion API; it arrives only once. Returns
    /// whether it was accepted; false if none is held up.
    pub fn deliver_order(&self) -> bool {
        let mut held = self.held_orders.borrow_mut();
        if held.is_empty() {
            return false;
        }
        let order = held.remove(0);
        drop(held);
        let accepted = self.take_order(order.request.clone());
        order.answer(accepted);
        accepted
    }

    /// Waits until the promotion API is not silent.
    pub(crate) async fn await_orders(&self) {
        if !self.orders_silent.get() {
            return;
        }
        while self.orders_silent.get() {
            sleep_ms(SILENCE_POLL_MS).await;
        }
        sleep_ms(fastrand::u64(..MAX_DISORDER_MS)).await;
    }

    /// Handles an order that has arrived; returns whether it is accepted.
    pub(crate) fn take_order(&self, request: Rc<PromotionRequest>) -> bool {
        request.arrived_at.set(Some(Ms::now()));
        let group = self.group(&request.group);
        let accepted = group.is_some_and(|g| g.promote_by(&request.member, Some(request.clone())));
        self.promotions.borrow_mut().push(request);
        accepted
    }

    /// Time for which an order of a daemon is held up, in ms.
    pub(crate) fn order_delay_of(&self, daemon: &str) -> u64 {
        let own = self.order_delays.borrow().get(daemon).copied();
        self.order_delay_ms.get().max(own.unwrap_or(0))
    }

    pub fn group(&self, name: &str) -> Option<&Rc<Group>> {
        self.groups.iter().find(|g| &*g.name == name)
    }

    /// Starts endpoints of the store and of the promotion API for one daemon and returns their
    /// addresses. Own endpoints per daemon let outages be injected per daemon.
    ///
    /// The store also gives each daemon addresses of the members of its own, on another loopback
    /// address: a connection opened in the name of a client account does not tell its daemon, and
    /// faults that cut a daemon off need it. A daemon that learns the members from another one gets
    /// the faults of that one.
    ///
    /// # Panics
    /// When no port can be bound, and for more than 254 daemons.
    pub fn start_endpoints(self: &Rc<Self>, daemon: &str) -> (String, String) {
        let count = self.daemon_count.get() + 1;
        self.daemon_count.set(count);
        let ip = Ipv4Addr::new(127, 0, 1, count);
        for group in &self.groups {
            group.listen_for(daemon, ip);
        }
        (
            api::serve_store(self.clone(), daemon, ip),
            api::serve_promotion_api(self.clone(), daemon),
        )
    }
}

fn route(host: &str, group: &str, kind: &str, max_staleness_ms: u64) -> Value {
    json!({
        "name": host, "host": host, "type": kind, "timeout_ms": 800, "target_latency_ms": 200,
        "priority": 1, "service": group, "max_staleness_ms": max_staleness_ms
    })
}

pub(crate) async fn sleep_ms(ms: u64) {
    monoio::time::sleep(std::time::Duration::from_millis(ms)).await;
}
