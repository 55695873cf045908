//! The platform's object API: versions, conditional updates, watches, the lagging list of VMs.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use monoio::io::IntoPollIo;
use monoio_compat::hyper::MonoioIo;
use serde_json::{Value, json};

const WATCH_STEP: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct Object {
    version: u64,
    revision: u64,
    value: Value,
}

/// All state of the platform, and the faults to bring about.
#[derive(Default)]
struct Platform {
    objects: RefCell<BTreeMap<Box<str>, Object>>,
    revision: Cell<u64>,
    vms: RefCell<Value>,
    reads: Cell<u64>,
    writes: Cell<u64>,
    /// Every call fails with 503.
    down: Cell<bool>,
    /// Added to every call, in ms.
    slow_ms: Cell<u64>,
    /// Updates whose answer is lost after they took effect.
    lose: Cell<u64>,
}

/// Serves the platform until the process ends.
pub fn run(listen: &str) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the legacy driver starts");
    runtime.block_on(async move {
        let platform = Rc::new(Platform::default());
        *platform.vms.borrow_mut() = json!([]);
        let listener =
            monoio::net::TcpListener::bind(listen).expect("the platform's address is free");
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let Ok(stream) = stream.into_poll_io() else {
                continue;
            };
            let platform = platform.clone();
            monoio::spawn(async move {
                let service =
                    hyper::service::service_fn(move |request| handle(platform.clone(), request));
                let builder = hyper::server::conn::http1::Builder::new();
                let _ = builder
                    .serve_connection(MonoioIo::new(stream), service)
                    .await;
            });
        }
    });
}

type Answer = Result<Response<Full<Bytes>>, std::io::Error>;

#[allow(clippy::unnecessary_wraps)]
fn answer(code: u16, value: &Value) -> Answer {
    let body = Full::new(Bytes::from(value.to_string()));
    Ok(Response::builder()
        .status(code)
        .body(body)
        .expect("a plain response"))
}

fn query<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|p| p.split_once('='))
        .find(|p| p.0 == name)
        .map(|p| p.1)
}

async fn handle(platform: Rc<Platform>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    if path == "/admin" {
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        return admin(
            &platform,
            &serde_json::from_slice(&body).unwrap_or_default(),
        );
    }
    if platform.slow_ms.get() > 0 {
        monoio::time::sleep(Duration::from_millis(platform.slow_ms.get())).await;
    }
    if platform.down.get() {
        return answer(503, &json!({"error": "unavailable"}));
    }
    let number = |name: &str| {
        query(&request, name)
            .and_then(|v| v.parse::<u64>().ok())
            .unwrap_or(0)
    };
    if request.method() == Method::PUT {
        let expected = number("version");
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        platform.writes.set(platform.writes.get() + 1);
        return put(
            &platform,
            path.trim_start_matches("/objects/"),
            expected,
            &body,
        );
    }
    platform.reads.set(platform.reads.get() + 1);
    if path == "/vms" {
        return answer(200, &platform.vms.borrow());
    }
    if let Some(kind) = path.strip_prefix("/watch/") {
        let (after, wait_ms) = (number("after"), number("wait_ms"));
        return watch(&platform, kind, after, wait_ms).await;
    }
    let name = path.trim_start_matches("/objects/");
    match platform.objects.borrow().get(name) {
        Some(o) => answer(200, &json!({"version": o.version, "value": o.value})),
        None => answer(404, &json!({"error": "not found"})),
    }
}

fn put(platform: &Platform, name: &str, expected: u64, body: &[u8]) -> Answer {
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return answer(400, &json!({"error": "not JSON"}));
    };
    let mut objects = platform.objects.borrow_mut();
    let version = objects.get(name).map_or(0, |o| o.version);
    if version != expected {
        return answer(409, &json!({"version": version}));
    }
    platform.revision.set(platform.revision.get() + 1);
    let object = Object {
        version: version + 1,
        revision: platform.revision.get(),
        value,
    };
    objects.insert(name.into(), object);
    if platform.lose.get() > 0 {
        platform.lose.set(platform.lose.get() - 1);
        return Err(std::io::Error::other("answer lost"));
    }
    answer(200, &json!({"version": version + 1}))
}

async fn watch(platform: &Platform, kind: &str, after: u64, wait_ms: u64) -> Answer {
    let steps = wait_ms / u64::try_from(WATCH_STEP.as_millis()).expect("short");
    for _ in 0..steps {
        if platform.revision.get() != after || platform.down.get() {
            break;
        }
        monoio::time::sleep(WATCH_STEP).await;
    }
    if platform.down.get() {
        return answer(503, &json!({"error": "unavailable"}));
    }
    let after = if after > platform.revision.get() {
        0
    } else {
        after
    };
    let prefix = format!("{kind}/");
    let objects = platform.objects.borrow();
    let changed = objects
        .iter()
        .filter(|(n, o)| n.starts_with(&prefix) && o.revision > after);
    let changes: Vec<Value> = changed
        .map(|(n, o)| json!({"name": n[prefix.len()..], "version": o.version, "value": o.value}))
        .collect();
    answer(
        200,
        &json!({"revision": platform.revision.get(), "changes": changes}),
    )
}

/// Sets faults, the list of VMs or a restored object, and reports the counts of calls.
fn admin(platform: &Platform, order: &Value) -> Answer {
    if let Some(down) = order["down"].as_bool() {
        platform.down.set(down);
    }
    if let Some(ms) = order["slow_ms"].as_u64() {
        platform.slow_ms.set(ms);
    }
    if let Some(n) = order["lose"].as_u64() {
        platform.lose.set(n);
    }
    if order["vms"].is_array() {
        *platform.vms.borrow_mut() = order["vms"].clone();
    }
    if let Some(name) = order["restore"].as_str() {
        platform.revision.set(platform.revision.get() + 1);
        let version = order["version"].as_u64().unwrap_or(1);
        let object = Object {
            version,
            revision: platform.revision.get(),
            value: order["value"].clone(),
        };
        platform.objects.borrow_mut().insert(name.into(), object);
    }
    answer(
        200,
        &json!({"reads": platform.reads.get(), "writes": platform.writes.get()}),
    )
}
