//! Calls to the daemons of a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use peer::{CallError, Client};
use schema::{Fetch, Items, Role, Settings, Stats, Vm};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::args::Target;

/// Time for one call, in ms.
const CALL_MS: u64 = 2000;
/// Time for a call that waits for the platform, in ms.
const PATCH_MS: u64 = 8000;
/// Time to connect, in ms.
const CONNECT_MS: u64 = 1000;

/// A way into a fleet.
pub struct Fleet {
    settings: Settings,
    client: Client,
}

/// What was heard from all daemons on the list.
pub struct Heard {
    /// Daemons that answered.
    pub stats: Vec<Stats>,
    /// Daemons that did not, with the reason.
    pub silent: Vec<(Box<str>, String)>,
}

/// Runs an operator's command on a small runtime of its own.
pub fn block_on<T>(task: impl Future<Output = T>) -> T {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the legacy driver starts");
    runtime.block_on(task)
}

impl Fleet {
    /// Reads address and secret from a daemon's settings.
    pub fn open(to: &Target) -> Result<Fleet, String> {
        let settings = schema::load_settings(&to.config).map_err(|e| e.to_string())?;
        let client = Client::new(&settings.secret, CONNECT_MS);
        Ok(Fleet { settings, client })
    }

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
        ask: &Q,
        within: u64,
    ) -> Result<A, String> {
        let addr = self.address(addr)?;
        let answer = self.client.call(addr, path, ask, within).await;
        answer.map_err(|e: CallError| format!("{addr}: {e}"))
    }

    /// Calls the daemon whose settings were read, or another one of the fleet if it is gone.
    pub async fn ask<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        ask: &Q,
    ) -> Result<A, String> {
        let within = if path == "/v1/patch" {
            PATCH_MS
        } else {
            CALL_MS
        };
        let mut last = self.call(&self.settings.internal, path, ask, within).await;
        for seed in &self.settings.seeds {
            if last.is_ok() {
                break;
            }
            last = self.call(&seed.addr, path, ask, within).await;
        }
        last
    }

    /// One shared object as JSON.
    pub async fn object(&self, name: &str) -> Result<Option<serde_json::Value>, String> {
        let items: Items = self
            .ask(
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

    /// Asks every daemon on the list.
    pub async fn hear_all(&self) -> Result<Heard, String> {
        let list = self.object("@vms").await?.unwrap_or_default();
        let vms: BTreeMap<Box<str>, Vm> = serde_json::from_value(list).unwrap_or_default();
        let mut heard = Heard {
            stats: Vec::new(),
            silent: Vec::new(),
        };
        for vm in vms.values().filter(|v| v.role == Role::Entry) {
            match self.call(&vm.addr, "/v1/stats", &(), CALL_MS).await {
                Ok(stats) => heard.stats.push(stats),
                Err(e) => heard.silent.push((vm.name.clone(), e)),
            }
        }
        Ok(heard)
    }
}
