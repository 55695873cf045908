//! Object API of the platform: versioned objects with conditional updates and watches, and the list
//! of VMs, which tests set through `/admin` so that it can lag behind reality.

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

const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct Object {
    version: u64,
    /// Value of `Platform::revision` at the last update, by which watches select changes.
    revision: u64,
    value: Value,
}

/// State of the platform and the faults to inject.
#[derive(Default)]
struct Platform {
    objects: RefCell<BTreeMap<Box<str>, Object>>,
    revision: Cell<u64>,
    vms: RefCell<Value>,
    reads: Cell<u64>,
    writes: Cell<u64>,
    /// Fault: every call except `/admin` fails with status 503.
    down: Cell<bool>,
    /// Fault: delay added to every call except `/admin`.
    delay_ms: Cell<u64>,
    /// Fault: number of updates that are still to take effect without a response.
    lost_responses: Cell<u64>,
}

/// Serves the platform until the process ends.
pub fn run(listen: &str) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("failed to start the runtime");
    runtime.block_on(async move {
        let platform = Rc::new(Platform::default());
        *platform.vms.borrow_mut() = json!([]);
        let listener =
            monoio::net::TcpListener::bind(listen).expect("cannot bind the listen address");
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

type HandlerResult = Result<Response<Full<Bytes>>, std::io::Error>;

#[allow(clippy::unnecessary_wraps)]
fn respond(code: u16, value: &Value) -> HandlerResult {
    let body = Full::new(Bytes::from(value.to_string()));
    Ok(Response::builder()
        .status(code)
        .body(body)
        .expect("response parts are valid"))
}

fn query_param<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|p| p.split_once('='))
        .find(|p| p.0 == name)
        .map(|p| p.1)
}

async fn handle(platform: Rc<Platform>, request: Request<Incoming>) -> HandlerResult {
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
    if platform.delay_ms.get() > 0 {
        monoio::time::sleep(Duration::from_millis(platform.delay_ms.get())).await;
    }
    if platform.down.get() {
        return respond(503, &json!({"error": "unavailable"}));
    }
    let param = |name: &str| {
        query_param(&request, name)
            .and_then(|v| v.parse::<u64>().ok())
            .unwrap_or(0)
    };
    if request.method() == Method::PUT {
        let expected = param("version");
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
        return respond(200, &platform.vms.borrow());
    }
    if let Some(kind) = path.strip_prefix("/watch/") {
        let (after, wait_ms) = (param("after"), param("wait_ms"));
        return watch(&platform, kind, after, wait_ms).await;
    }
    let name = path.trim_start_matches("/objects/");
    match platform.objects.borrow().get(name) {
        Some(o) => respond(200, &json!({"version": o.version, "value": o.value})),
        None => respond(404, &json!({"error": "not found"})),
    }
}

fn put(platform: &Platform, name: &str, expected: u64, body: &[u8]) -> HandlerResult {
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return respond(400, &json!({"error": "not JSON"}));
    };
    let mut objects = platform.objects.borrow_mut();
    let version = objects.get(name).map_or(0, |o| o.version);
    if version != expected {
        return respond(409, &json!({"version": version}));
    }
    platform.revision.set(platform.revision.get() + 1);
    let object = Object {
        version: version + 1,
        revision: platform.revision.get(),
        value,
    };
    objects.insert(name.into(), object);
    if platform.lost_responses.get() > 0 {
        platform
            .lost_responses
            .set(platform.lost_responses.get() - 1);
        return Err(std::io::Error::other(
            "response dropped by an injected fault",
        ));
    }
    respond(200, &json!({"version": version + 1}))
}

/// Responds with the objects of a kind that changed after a revision, waiting up to `wait_ms` for a
/// change of any object.
async fn watch(platform: &Platform, kind: &str, after: u64, wait_ms: u64) -> HandlerResult {
    let polls = wait_ms
        / u64::try_from(WATCH_POLL_INTERVAL.as_millis())
            .expect("the poll interval fits in 64 bits");
    for _ in 0..polls {
        if platform.revision.get() != after || platform.down.get() {
            break;
        }
        monoio::time::sleep(WATCH_POLL_INTERVAL).await;
    }
    if platform.down.get() {
        return respond(503, &json!({"error": "unavailable"}));
    }
    // A revision from before a restart of the platform: report all objects.
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
    respond(
        200,
        &json!({"revision": platform.revision.get(), "changes": changes}),
    )
}

/// Sets faults and the list of VMs, restores an object at a given version, and responds with the
/// numbers of read and write calls.
fn admin(platform: &Platform, request: &Value) -> HandlerResult {
    if let Some(down) = request["down"].as_bool() {
        platform.down.set(down);
    }
    if let Some(ms) = request["slow_ms"].as_u64() {
        platform.delay_ms.set(ms);
    }
    if let Some(n) = request["lose"].as_u64() {
        platform.lost_responses.set(n);
    }
    if request["vms"].is_array() {
        *platform.vms.borrow_mut() = request["vms"].clone();
    }
    if let Some(name) = request["restore"].as_str() {
        platform.revision.set(platform.revision.get() + 1);
        let version = request["version"].as_u64().unwrap_or(1);
        let object = Object {
            version,
            revision: platform.revision.get(),
            value: request["value"].clone(),
        };
        platform.objects.borrow_mut().insert(name.into(), object);
    }
    respond(
        200,
        &json!({"reads": platform.reads.get(), "writes": platform.writes.get()}),
    )
}
