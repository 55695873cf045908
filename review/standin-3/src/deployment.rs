//! A small deployment: the store, one service, the failover API and the daemons.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use crate::gateway::Gateway;
use crate::json::Json;
use crate::members::{Service, start_failover_api};
use crate::record::Record;
use crate::store::Store;

/// A route of the operator's configuration: database and type.
pub type Route<'a> = (&'a str, &'a str);

/// What a deployment begins with.
pub struct Plan<'a> {
    pub service: &'a str,
    pub zones: usize,
    /// Number of daemons; those of a zone are `zones` numbers apart.
    pub daemons: usize,
    pub routes: &'a [Route<'a>],
    /// Name and key of the only tenant; `None` where callers need no key.
    pub tenant: Option<(&'a str, &'a str)>,
}

pub struct Deployment {
    pub service: Arc<Service>,
    pub gateways: Vec<Gateway>,
    pub store: Arc<Store>,
    orders: SocketAddr,
    record: Arc<Record>,
    folder: PathBuf,
}

/// Connections that a member accepts, as the sheet of a small site has it.
const MAX_CONNS: u64 = 16;

impl Deployment {
    /// Starts everything and waits until all daemons are ready.
    pub fn start(plan: &Plan, record: &Arc<Record>) -> Result<Deployment, String> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let store = Arc::new(Store::default());
        let service = Service::start(plan.service, 3, &store, record);
        let orders = start_failover_api(&service);
        let mut deployment = Deployment {
            service,
            gateways: Vec::new(),
            store,
            orders,
            record: record.clone(),
            folder,
        };
        deployment.configure(7, plan.routes, plan.tenant);
        for n in 0..plan.daemons {
            deployment.add(&format!("front-{n}"), n % plan.zones);
        }
        deployment.gateways.iter_mut().for_each(Gateway::start);
        match deployment.gateways.iter().find(|g| !g.wait_until_ready(15)) {
            Some(g) => Err(format!("{} is not ready", g.name)),
            None => Ok(deployment),
        }
    }

    /// Adds a machine, whose daemon does not run yet.
    pub fn add(&mut self, name: &str, zone: usize) -> &mut Gateway {
        let gateway = Gateway::new(
            name,
            zone,
            &self.store,
            self.orders,
            &self.folder,
            &self.record,
        );
        self.gateways.push(gateway);
        self.gateways.last_mut().expect("just added")
    }

    /// The operator writes a configuration.
    pub fn configure(&self, version: u64, routes: &[Route], tenant: Option<(&str, &str)>) {
        let route = |(host, kind): &Route| {
            Json::obj(&[
                ("name", Json::str(&format!("r-{host}"))),
                ("host", Json::str(host)),
                ("type", Json::str(kind)),
                ("timeout_ms", Json::num(800)),
                ("target_latency_ms", Json::num(200)),
                ("priority", Json::num(1)),
                ("service", Json::str(&self.service.name)),
                (
                    "max_staleness_ms",
                    Json::num(if *kind == "primary" { 0 } else { 2500 }),
                ),
                ("public", Json::Bool(false)),
            ])
        };
        let service = Json::obj(&[
            ("name", Json::str(&self.service.name)),
            ("max_conns", Json::num(MAX_CONNS)),
            ("sync_replicas", Json::num(1)),
        ]);
        let mut fields = vec![
            ("version", Json::num(version)),
            ("routes", Json::Arr(routes.iter().map(route).collect())),
            ("services", Json::Arr(vec![service])),
            ("limits", Json::obj(&[("tx_idle_ms", Json::num(3000))])),
        ];
        if let Some((name, key)) = tenant {
            let tenant = Json::obj(&[
                ("name", Json::str(name)),
                ("api_keys", Json::Arr(vec![Json::str(key)])),
                ("priority", Json::num(1)),
                ("rate_per_s", Json::num(1000)),
                ("burst", Json::num(1000)),
            ]);
            fields.push(("tenants", Json::Arr(vec![tenant])));
        }
        self.store.put("config", "main", &Json::obj(&fields), None);
        self.record.line(&format!(
            "store acknowledges configuration {version}: {routes:?}"
        ));
    }

    /// Name of a daemon that has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let mut ended = self
            .gateways
            .iter_mut()
            .filter_map(|g| g.has_ended().then(|| g.name.clone()));
        ended.next()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}
