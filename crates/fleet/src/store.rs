//! Client of the platform's object API.

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

/// HTTP status of a conditional update whose condition failed.
const HTTP_CONFLICT: u16 = 409;
/// HTTP status for a missing object.
const HTTP_NOT_FOUND: u16 = 404;
/// Time that a watch may take beyond its requested wait.
const WATCH_MARGIN_MS: u64 = 1000;

/// Reason why a call to the store failed.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreError {
    /// A read got no usable answer, or an update was not sent.
    Unavailable,
    /// An update was sent but got no usable answer, so it may have taken effect.
    OutcomeUnknown,
    /// The object has another version than the update expects.
    Conflict,
}

/// An object in the store.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformObject {
    /// Version assigned by the store, for conditional updates; 0 if the object does not exist.
    pub version: u64,
    pub value: Value,
}

/// A changed object reported by a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct ObjectChange {
    /// Name of the object, without its kind.
    pub name: Box<str>,
    pub value: Value,
}

/// Answer of a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision from which the next watch continues.
    pub revision: u64,
    /// Objects changed since the requested revision.
    pub changes: Vec<ObjectChange>,
}

/// Client of the platform's object store.
pub struct PlatformStore {
    client: Rc<Client>,
    addr: SocketAddr,
    /// Whether the last call got an expected answer; changes are logged.
    reachable: Cell<bool>,
}

impl PlatformStore {
    pub fn new(client: Rc<Client>, addr: SocketAddr) -> PlatformStore {
        PlatformStore {
            client,
            addr,
            reachable: Cell::new(true),
        }
    }

    /// Returns whether the last call got an expected answer.
    pub fn is_reachable(&self) -> bool {
        self.reachable.get()
    }

    fn record_reachability(&self, up: bool) {
        if self.reachable.replace(up) != up {
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
        timeout_ms: u64,
    ) -> Result<Bytes, CallError> {
        let result = self
            .client
            .plain(self.addr, method, path, body, timeout_ms)
            .await;
        self.record_reachability(matches!(
            result,
            Ok(_) | Err(CallError::Status(HTTP_CONFLICT | HTTP_NOT_FOUND, _))
        ));
        result
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, timeout_ms: u64) -> Result<T, StoreError> {
        match self.call("GET", path, Bytes::new(), timeout_ms).await {
            Ok(body) => serde_json::from_slice(&body).map_err(|_| StoreError::Unavailable),
            Err(_) => Err(StoreError::Unavailable),
        }
    }

    /// Reads an object; a missing object has version 0.
    ///
    /// # Errors
    /// `StoreError::Unavailable` if the platform gives no usable answer within `timeout_ms`.
    pub async fn object(
        &self,
        kind: &str,
        name: &str,
        timeout_ms: u64,
    ) -> Result<PlatformObject, StoreError> {
        let path = format!("/objects/{kind}/{name}");
        match self.call("GET", &path, Bytes::new(), timeout_ms).await {
            Ok(body) => serde_json::from_slice(&body).map_err(|_| StoreError::Unavailable),
            Err(CallError::Status(HTTP_NOT_FOUND, _)) => Ok(PlatformObject {
                version: 0,
                value: Value::Null,
            }),
            Err(_) => Err(StoreError::Unavailable),
        }
    }

    /// Writes an object on condition that its version in the store is `version`.
    ///
    /// # Errors
    /// `StoreError::Conflict` if the version differs, `StoreError::Unavailable` if the call was not
    /// sent, and `StoreError::OutcomeUnknown` if the update may have taken effect.
    pub async fn update(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
        timeout_ms: u64,
    ) -> Result<(), StoreError> {
        let path = format!("/objects/{kind}/{name}?version={version}");
        let body = Bytes::from(value.to_string());
        match self.call("PUT", &path, body, timeout_ms).await {
            Ok(_) => Ok(()),
            Err(CallError::Status(HTTP_CONFLICT, _)) => Err(StoreError::Conflict),
            Err(e) if e.is_not_sent() => Err(StoreError::Unavailable),
            Err(_) => Err(StoreError::OutcomeUnknown),
        }
    }

    /// Waits up to `wait_ms` for changes, after a revision, to objects of a kind.
    ///
    /// # Errors
    /// `StoreError::Unavailable` if the platform gives no usable answer.
    pub async fn watch(
        &self,
        kind: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchResponse, StoreError> {
        let path = format!("/watch/{kind}?after={after}&wait_ms={wait_ms}");
        self.get(&path, wait_ms + WATCH_MARGIN_MS).await
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    /// `StoreError::Unavailable` if the platform gives no usable answer within `timeout_ms`.
    pub async fn vms(&self, timeout_ms: u64) -> Result<BTreeMap<Box<str>, Vm>, StoreError> {
        let list: Vec<Vm> = self.get("/vms", timeout_ms).await?;
        Ok(list.into_iter().map(|v| (v.name.clone(), v)).collect())
    }
}
