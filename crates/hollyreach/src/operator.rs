//! Client for the internal API of a fleet's daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use peer::{CallError, Client};
use schema::{Fetch, Items, Role, Settings, Stats, Vm};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::args::Target;

/// Timeout of any other call than a patch.
const CALL_TIMEOUT_MS: u64 = 2000;
/// Timeout of a patch, which the daemon submits to the platform before it answers.
const PATCH_TIMEOUT_MS: u64 = 8000;
/// Timeout of opening a connection.
const CONNECT_TIMEOUT_MS: u64 = 1000;

/// A client for the daemons of a fleet, configured by the settings file of one of them.
pub struct FleetClient {
    settings: Settings,
    client: Client,
}

/// Statistics of all daemons on the list of VMs.
pub struct FleetStats {
    /// Statistics of the daemons that answered.
    pub stats: Vec<Stats>,
    /// Daemons that did not answer, with the error.
    pub unreachable: Vec<(Box<str>, String)>,
}

/// Runs a future to completion on a new runtime.
pub fn block_on<T>(task: impl Future<Output = T>) -> T {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the legacy driver can be created");
    runtime.block_on(task)
}

impl FleetClient {
    /// Creates a client from the settings file of a daemon.
    pub fn open(target: &Target) -> Result<FleetClient, String> {
        let settings = schema::load_settings(&target.config).map_err(|e| e.to_string())?;
        let client = Client::new(&settings.secret, CONNECT_TIMEOUT_MS);
        Ok(FleetClient { settings, client })
    }

    /// Applies the first matching prefix rewrite of the settings to an address.
    fn address(&self, addr: &str) -> Result<SocketAddr, String> {
        let mapped = self
            .settings
            .address_map
            .iter()
            .find_map(|p| Some(format!("{}{}", p.to, addr.strip_prefix(&*p.from)?)));
        mapped
            .as_deref()
            .unwrap_or(addr)
            .parse()
            .map_err(|e| format!("{addr}: {e}"))
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: &str,
        path: &str,
        request: &Q,
        timeout_ms: u64,
    ) -> Result<A, String> {
        let addr = self.address(addr)?;
        let response = self.client.call(addr, path, request, timeout_ms).await;
        response.map_err(|e: CallError| format!("{addr}: {e}"))
    }

    /// Calls the daemon whose settings were read; if that fails, its seeds in turn until one
    /// answers.
    pub async fn request<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, String> {
        let timeout_ms = if path == "/v1/patch" {
            PATCH_TIMEOUT_MS
        } else {
            CALL_TIMEOUT_MS
        };
        let mut result = self
            .call(&self.settings.internal, path, request, timeout_ms)
            .await;
        for seed in &self.settings.seeds {
            if result.is_ok() {
                break;
            }
            result = self.call(&seed.addr, path, request, timeout_ms).await;
        }
        result
    }

    /// Fetches a shared object as JSON; `None` if it is not in force.
    pub async fn object(&self, name: &str) -> Result<Option<serde_json::Value>, String> {
        let items: Items = self
            .request(
                "/v1/fetch",
                &Fetch {
                    names: vec![name.into()],
                },
            )
            .await?;
        let text = items.items.into_iter().next().map(|i| i.text);
        text.map(|t| serde_json::from_str(&t).map_err(|e| e.to_string()))
            .transpose()
    }

    /// Collects the statistics of every daemon on the list of VMs.
    pub async fn collect_stats(&self) -> Result<FleetStats, String> {
        let list = self.object("@vms").await?.unwrap_or_default();
        let vms: BTreeMap<Box<str>, Vm> = serde_json::from_value(list).unwrap_or_default();
        let mut fleet = FleetStats {
            stats: Vec::new(),
            unreachable: Vec::new(),
        };
        for vm in vms.values().filter(|v| v.role == Role::Entry) {
            match self.call(&vm.addr, "/v1/stats", &(), CALL_TIMEOUT_MS).await {
                Ok(stats) => fleet.stats.push(stats),
                Err(e) => fleet.unreachable.push((vm.name.clone(), e)),
            }
        }
        Ok(fleet)
    }
}
