//! The platform's object API.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::{Event, emit};
use bytes::Bytes;
use peer::{CallError, Client};
use schema::Vm;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Status of a conditional update whose condition failed.
const CONFLICT: u16 = 409;
/// Status for an object that is not there.
const NOT_FOUND: u16 = 404;
/// Time beyond its wait that a watch may take, in ms.
const WATCH_GRACE_MS: u64 = 1000;

/// Why the store gave no answer of use.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreError {
    /// The call had no effect.
    Unavailable,
    /// An update may have taken effect.
    Unsettled,
    /// The object has another version than the update was made for.
    Conflict,
}

/// An object of the store.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformObject {
    /// The store's own version, for conditional updates; 0 when the object is not there.
    pub version: u64,
    /// The object.
    pub value: Value,
}

/// One change seen by a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct ObjectChange {
    /// Name without its kind.
    pub name: Box<str>,
    /// The object.
    pub value: Value,
}

/// Answer of a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision to watch after next.
    pub revision: u64,
    /// Objects changed since.
    pub changes: Vec<ObjectChange>,
}

/// Calls to the platform.
pub struct PlatformStore {
    client: Rc<Client>,
    addr: SocketAddr,
    up: Cell<bool>,
}

impl PlatformStore {
    /// Makes a client for the store at an address.
    pub fn new(client: Rc<Client>, addr: SocketAddr) -> PlatformStore {
        PlatformStore {
            client,
            addr,
            up: Cell::new(true),
        }
    }

    /// Whether the last call was answered.
    pub fn is_up(&self) -> bool {
        self.up.get()
    }

    fn note(&self, up: bool) {
        if self.up.replace(up) != up {
            emit(
                if up {
                    Event::PlatformUp
                } else {
                    Event::PlatformDown
                },
                &[("addr", &self.addr)],
            );
        }
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
        within: u64,
    ) -> Result<Bytes, CallError> {
        let result = self
            .client
            .plain(self.addr, method, path, body, within)
            .await;
        self.note(matches!(
            result,
            Ok(_) | Err(CallError::Status(CONFLICT | NOT_FOUND, _))
        ));
        result
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, within: u64) -> Result<T, StoreError> {
        match self.call("GET", path, Bytes::new(), within).await {
            Ok(body) => serde_json::from_slice(&body).map_err(|_| StoreError::Unavailable),
            Err(_) => Err(StoreError::Unavailable),
        }
    }

    /// Reads an object; one that is not there has version 0.
    ///
    /// # Errors
    /// `StoreError::Unavailable` when the platform does not answer within `within` ms.
    pub async fn object(
        &self,
        kind: &str,
        name: &str,
        within: u64,
    ) -> Result<PlatformObject, StoreError> {
        let path = format!("/objects/{kind}/{name}");
        match self.call("GET", &path, Bytes::new(), within).await {
            Ok(body) => serde_json::from_slice(&body).map_err(|_| StoreError::Unavailable),
            Err(CallError::Status(NOT_FOUND, _)) => Ok(PlatformObject {
                version: 0,
                value: Value::Null,
            }),
            Err(_) => Err(StoreError::Unavailable),
        }
    }

    /// Writes an object if its version in the store is still `version`.
    ///
    /// # Errors
    /// `Unsettled` means that the update may have taken effect.
    pub async fn update(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
        within: u64,
    ) -> Result<(), StoreError> {
        let path = format!("/objects/{kind}/{name}?version={version}");
        let body = Bytes::from(value.to_string());
        match self.call("PUT", &path, body, within).await {
            Ok(_) => Ok(()),
            Err(CallError::Status(CONFLICT, _)) => Err(StoreError::Conflict),
            Err(e) if e.is_not_sent() => Err(StoreError::Unavailable),
            Err(_) => Err(StoreError::Unsettled),
        }
    }

    /// Waits for changes of objects of a kind after a revision, `wait_ms` at most.
    ///
    /// # Errors
    /// `StoreError::Unavailable` when the platform does not answer.
    pub async fn watch(
        &self,
        kind: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchResponse, StoreError> {
        let path = format!("/watch/{kind}?after={after}&wait_ms={wait_ms}");
        self.get(&path, wait_ms + WATCH_GRACE_MS).await
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    /// `StoreError::Unavailable` when the platform does not answer within `within` ms.
    pub async fn vms(&self, within: u64) -> Result<BTreeMap<Box<str>, Vm>, StoreError> {
        let list: Vec<Vm> = self.get("/vms", within).await?;
        Ok(list.into_iter().map(|v| (v.name.clone(), v)).collect())
    }
}
