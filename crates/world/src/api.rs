//! HTTP endpoints of the store and of the promotion API.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

use base::Ms;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use monoio::io::IntoPollIo;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::MonoioIo;
use serde_json::{Value, json};

use crate::store::{Outage, PutError, Store};
use crate::{HeldOrder, PromotionRequest, World, sleep_ms};

/// Status code and body; an error closes the connection without an answer.
type ApiResult = Result<(u16, Value), std::io::Error>;

/// A parsed HTTP request.
struct ApiRequest {
    method: String,
    path_segments: Vec<String>,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: Value,
}

fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
    let addr = listener
        .local_addr()
        .expect("listener has a local address")
        .to_string();
    (listener, addr)
}

/// Serves the store to one daemon on a new port and returns the address. The daemon gets addresses
/// of the members with the address `member_ip`.
pub fn serve_store(world: Rc<World>, daemon: &str, member_ip: Ipv4Addr) -> String {
    let daemon: Rc<str> = daemon.into();
    let store = world.store.clone();
    serve(
        move || Some(store.era.get()),
        false,
        move |request| {
            let (world, daemon) = (world.clone(), daemon.clone());
            async move {
                let answer = handle_store_request(&world.store, &daemon, &request).await?;
                let is_of_members = request.path_segments.get(2).is_some_and(|k| k == "servers");
                Ok(if is_of_members {
                    (answer.0, replace_ip(&answer.1, member_ip))
                } else {
                    answer
                })
            }
        },
    )
}

/// Replaces the address that all members listen on by one that they listen on for a single daemon.
fn replace_ip(answer: &Value, member_ip: Ipv4Addr) -> Value {
    let shared = format!("\"{}:", Ipv4Addr::LOCALHOST);
    let text = answer
        .to_string()
        .replace(&shared, &format!("\"{member_ip}:"));
    serde_json::from_str(&text).expect("an address is replaced by another")
}

/// Serves the promotion API to one daemon on a new port and returns the address.
pub fn serve_promotion_api(world: Rc<World>, daemon: &str) -> String {
    let daemon: Rc<str> = daemon.into();
    serve(
        || None,
        // An order is carried out although its sender has closed the connection since.
        true,
        move |request| {
            let (world, daemon) = (world.clone(), daemon.clone());
            async move { handle_promotion(&world, &daemon, &request).await }
        },
    )
}

/// Serves requests with `handler` on a new port and returns the address. Answers carry the era of
/// the store, if any. With `half_close`, a request is handled although its sender has closed the
/// connection.
fn serve<E, F, A>(era: E, half_close: bool, handler: F) -> String
where
    E: Fn() -> Option<u64> + Clone + 'static,
    F: Fn(ApiRequest) -> A + Clone + 'static,
    A: Future<Output = ApiResult> + 'static,
{
    let (listener, addr) = bind();
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (era, handler) = (era.clone(), handler.clone());
            monoio::spawn(serve_connection(stream, era, half_close, handler));
        }
    });
    addr
}

async fn serve_connection<E, F, A>(stream: TcpStream, era: E, half_close: bool, handler: F)
where
    E: Fn() -> Option<u64>,
    F: Fn(ApiRequest) -> A,
    A: Future<Output = ApiResult>,
{
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let service = service_fn(|request: Request<Incoming>| {
        let (handler, era) = (&handler, &era);
        async move {
            let request = read_request(request).await.map_err(std::io::Error::other)?;
            let (code, body) = handler(request).await?;
            let body = Full::new(Bytes::from(body.to_string()));
            let mut answer = Response::builder().status(code);
            if let Some(era) = era().filter(|era| *era > 0) {
                answer = answer.header("store-era", era);
            }
            answer.body(body).map_err(std::io::Error::other)
        }
    });
    // Errors are expected: an injected outage closes the connection, and so may the daemon.
    let _ = hyper::server::conn::http1::Builder::new()
        .half_close(half_close)
        .serve_connection(MonoioIo::new(stream), service)
        .await;
}

async fn read_request(request: Request<Incoming>) -> Result<ApiRequest, hyper::Error> {
    let uri = request.uri().clone();
    let query_pairs = uri.query().unwrap_or("").split('&');
    let query = query_pairs
        .filter_map(|pair| pair.split_once('='))
        .map(|(k, v)| (k.to_owned(), v.to_owned()));
    let headers = request.headers().iter().map(|(name, value)| {
        let value = value.to_str().unwrap_or("").to_owned();
        (name.as_str().to_owned(), value)
    });
    Ok(ApiRequest {
        method: request.method().to_string(),
        path_segments: uri.path().split('/').skip(1).map(str::to_owned).collect(),
        query: query.collect(),
        headers: headers.collect(),
        body: {
            let bytes = request.into_body().collect().await?.to_bytes();
            serde_json::from_slice(&bytes).unwrap_or(Value::Null)
        },
    })
}

fn connection_reset() -> std::io::Error {
    std::io::ErrorKind::ConnectionReset.into()
}

/// Applies the daemon's current outage to a request before it is handled: delays it, or returns
/// the answer that replaces the handler's.
///
/// # Errors
/// A connection reset, when the outage closes the connection.
async fn apply_outage(store: &Store, daemon: &str) -> Result<Option<(u16, Value)>, std::io::Error> {
    match store.outage(daemon) {
        None | Some(Outage::AnswerLost) => Ok(None),
        Some(Outage::Unavailable) => Ok(Some((503, Value::Null))),
        Some(Outage::Silent) => std::future::pending().await,
        Some(Outage::Reset) => Err(connection_reset()),
        Some(Outage::Slow(ms)) => {
            sleep_ms(ms).await;
            Ok(None)
        }
        Some(Outage::Unresponsive) => {
            while store.outage(daemon).is_some() {
                sleep_ms(20).await;
            }
            Err(connection_reset())
        }
    }
}

async fn handle_store_request(store: &Store, daemon: &str, request: &ApiRequest) -> ApiResult {
    // The path is /hollyreach/objects/KIND[/NAME].
    let kind = request.path_segments.get(2).map_or("", String::as_str);
    store.count_call(daemon, kind);
    if let Some(answer) = apply_outage(store, daemon).await? {
        return Ok(answer);
    }
    let name = request.path_segments.get(3).map(String::as_str);
    if request.method == "GET" {
        return Ok(match (name, request.query.get("watch")) {
            (Some(name), _) => match store.get(kind, name) {
                Some(object) => (200, object),
                None => (404, Value::Null),
            },
            (None, None) => (200, store.list(kind)),
            (None, Some(revision)) => {
                let wait_ms = request.query.get("wait_ms").and_then(|w| w.parse().ok());
                let revision = revision.parse().unwrap_or(0);
                return watch(store, daemon, kind, revision, wait_ms.unwrap_or(0)).await;
            }
        });
    }
    if request.method == "DELETE" {
        let revision = request.query.get("revision").and_then(|r| r.parse().ok());
        return Ok(
            match store.remove_if_revision(kind, name.unwrap_or(""), revision) {
                Ok(object) => (200, object),
                Err(PutError::Conflict(object)) => (409, object),
                Err(PutError::NotFound) => (404, Value::Null),
            },
        );
    }
    let spec = &request.body["spec"];
    let body_name = request.body["meta"]["name"].as_str().unwrap_or("");
    let revision = request.body["meta"]["revision"].as_u64();
    let result = store.put_if_revision(kind, name.unwrap_or(body_name), revision, spec);
    if result.is_ok() {
        store.record_writer(kind, daemon);
    }
    if store.outage(daemon) == Some(Outage::AnswerLost) && fastrand::bool() {
        return Err(connection_reset());
    }
    Ok(match result {
        Ok(object) => (200, object),
        Err(PutError::Conflict(object)) => (409, object),
        Err(PutError::NotFound) => (404, Value::Null),
    })
}

/// Answers with the events after a revision, waiting up to `wait_ms` for the first.
async fn watch(store: &Store, daemon: &str, kind: &str, revision: u64, wait_ms: u64) -> ApiResult {
    let deadline = Ms::now().plus(wait_ms);
    loop {
        if let Some(answer) = apply_outage(store, daemon).await? {
            return Ok(answer);
        }
        let seen = store.changed.generation();
        let Some(answer) = store.events_since(kind, revision) else {
            return Ok((410, Value::Null));
        };
        let has_events = answer["events"].as_array().is_some_and(|e| !e.is_empty());
        if has_events || deadline.left() == 0 {
            return Ok((200, answer));
        }
        // An outage that starts meanwhile takes effect within 100 ms.
        let timeout = std::time::Duration::from_millis(deadline.left().min(100));
        let _ = monoio::time::timeout(timeout, store.changed.wait_past(seen)).await;
    }
}

async fn handle_promotion(world: &Rc<World>, daemon: &str, request: &ApiRequest) -> ApiResult {
    if let Some(answer) = apply_outage(&world.store, daemon).await? {
        return Ok(answer);
    }
    let field = |name: &str| request.body[name].as_str().unwrap_or("").to_owned();
    let token = request.headers.get("hollyreach-fencing-token");
    let holder = request.headers.get("hollyreach-duty-holder");
    let (Some(token), Some(holder)) = (token.and_then(|t| t.parse().ok()), holder) else {
        return Ok((400, json!({"error": "no holder or token"})));
    };
    let (service, id) = (field("service"), field("id"));
    let request = Rc::new(PromotionRequest {
        group: service.into(),
        member: id.into(),
        token,
        holder: holder.as_str().into(),
        called_at: Ms::now(),
        arrived_at: Cell::new(None),
    });
    world.order_calls.borrow_mut().push(request.clone());
    if world.hold_orders.get() {
        let order = Rc::new(HeldOrder::new(request));
        world.held_orders.borrow_mut().push(order.clone());
        return Ok(order_answer(order.accepted().await));
    }
    let answer_delay_ms = world.order_answer_delay_ms.get();
    let (delay_ms, world) = (world.order_delay_of(daemon), world.clone());
    // The handler ends with the connection of the sender, the order does not.
    let delivery = monoio::spawn(async move {
        if delay_ms > 0 {
            sleep_ms(delay_ms).await;
        }
        world.await_orders().await;
        world.take_order(request)
    });
    let accepted = delivery.await;
    if answer_delay_ms > 0 {
        sleep_ms(answer_delay_ms).await;
    }
    Ok(order_answer(accepted))
}

fn order_answer(accepted: bool) -> (u16, Value) {
    (if accepted { 200 } else { 409 }, Value::Null)
}
