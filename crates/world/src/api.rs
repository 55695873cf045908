//! The HTTP side of the store and of the promotion API.

use std::collections::HashMap;
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

use crate::store::{Outage, Refused, Store};
use crate::{Order, World, pause};

type Answer = Result<(u16, Value), std::io::Error>;

/// A request, taken apart.
struct Call {
    method: String,
    parts: Vec<String>,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: Value,
}

fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound").to_string();
    (listener, addr)
}

/// Serves the store to one daemon.
pub fn serve_store(world: Rc<World>, daemon: &str) -> String {
    let daemon: Rc<str> = daemon.into();
    serve(move |call| {
        let (world, daemon) = (world.clone(), daemon.clone());
        async move { store_call(&world.store, &daemon, &call).await }
    })
}

/// Serves the promotion API to one daemon.
pub fn serve_orders(world: Rc<World>, daemon: &str) -> String {
    let daemon: Rc<str> = daemon.into();
    serve(move |call| {
        let (world, daemon) = (world.clone(), daemon.clone());
        async move { promote(&world, &daemon, &call).await }
    })
}

/// Answers calls on a port of its own; returns the address.
fn serve<F, A>(handler: F) -> String
where
    F: Fn(Call) -> A + Clone + 'static,
    A: Future<Output = Answer> + 'static,
{
    let (listener, addr) = bind();
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(connection(stream, handler.clone()));
        }
    });
    addr
}

async fn connection<F, A>(stream: TcpStream, handler: F)
where
    F: Fn(Call) -> A,
    A: Future<Output = Answer>,
{
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let service = service_fn(|request: Request<Incoming>| {
        let handler = &handler;
        async move {
            let call = read(request).await.map_err(std::io::Error::other)?;
            let (code, body) = handler(call).await?;
            let body = Full::new(Bytes::from(body.to_string()));
            Response::builder()
                .status(code)
                .body(body)
                .map_err(std::io::Error::other)
        }
    });
    // An error here is one that was brought about, or a daemon that is gone.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(MonoioIo::new(stream), service)
        .await;
}

async fn read(request: Request<Incoming>) -> Result<Call, hyper::Error> {
    let uri = request.uri().clone();
    let pairs = uri.query().unwrap_or("").split('&');
    let query = pairs
        .filter_map(|pair| pair.split_once('='))
        .map(|(k, v)| (k.to_owned(), v.to_owned()));
    let headers = request.headers().iter().map(|(name, value)| {
        let value = value.to_str().unwrap_or("").to_owned();
        (name.as_str().to_owned(), value)
    });
    Ok(Call {
        method: request.method().to_string(),
        parts: uri.path().split('/').skip(1).map(str::to_owned).collect(),
        query: query.collect(),
        headers: headers.collect(),
        body: {
            let bytes = request.into_body().collect().await?.to_bytes();
            serde_json::from_slice(&bytes).unwrap_or(Value::Null)
        },
    })
}

fn broken() -> std::io::Error {
    std::io::ErrorKind::ConnectionReset.into()
}

/// Lets an outage act before a call; an error ends the connection.
async fn suffer(store: &Store, daemon: &str) -> Result<Option<(u16, Value)>, std::io::Error> {
    match store.outage(daemon) {
        None | Some(Outage::Lost) => Ok(None),
        Some(Outage::Busy) => Ok(Some((503, Value::Null))),
        Some(Outage::Reset) => Err(broken()),
        Some(Outage::Slow(ms)) => {
            pause(ms).await;
            Ok(None)
        }
        Some(Outage::Silent) => {
            while store.outage(daemon).is_some() {
                pause(20).await;
            }
            Err(broken())
        }
    }
}

async fn store_call(store: &Store, daemon: &str, call: &Call) -> Answer {
    if let Some(answer) = suffer(store, daemon).await? {
        return Ok(answer);
    }
    let kind = call.parts.get(2).map_or("", String::as_str);
    let name = call.parts.get(3).map(String::as_str);
    if call.method == "GET" {
        return Ok(match (name, call.query.get("watch")) {
            (Some(name), _) => match store.get(kind, name) {
                Some(object) => (200, object),
                None => (404, Value::Null),
            },
            (None, None) => (200, store.list(kind)),
            (None, Some(revision)) => {
                let wait = call.query.get("wait_ms").and_then(|w| w.parse().ok());
                let revision = revision.parse().unwrap_or(0);
                return watch(store, daemon, kind, revision, wait.unwrap_or(0)).await;
            }
        });
    }
    let spec = &call.body["spec"];
    let named = call.body["meta"]["name"].as_str().unwrap_or("");
    let revision = call.body["meta"]["revision"].as_u64();
    let result = store.put_if(kind, name.unwrap_or(named), revision, spec);
    if store.outage(daemon) == Some(Outage::Lost) && fastrand::bool() {
        return Err(broken());
    }
    Ok(match result {
        Ok(object) => (200, object),
        Err(Refused::Conflict(object)) => (409, object),
        Err(Refused::Missing) => (404, Value::Null),
    })
}

async fn watch(store: &Store, daemon: &str, kind: &str, revision: u64, wait: u64) -> Answer {
    let until = Ms::now().plus(wait);
    loop {
        if let Some(answer) = suffer(store, daemon).await? {
            return Ok(answer);
        }
        let seen = store.changed.count();
        let Some(answer) = store.since(kind, revision) else {
            return Ok((410, Value::Null));
        };
        let some = answer["events"].as_array().is_some_and(|e| !e.is_empty());
        if some || until.left() == 0 {
            return Ok((200, answer));
        }
        // Outages are noticed within this time.
        let step = std::time::Duration::from_millis(until.left().min(100));
        let _ = monoio::time::timeout(step, store.changed.wait_past(seen)).await;
    }
}

async fn promote(world: &Rc<World>, daemon: &str, call: &Call) -> Answer {
    if let Some(answer) = suffer(&world.store, daemon).await? {
        return Ok(answer);
    }
    let text = |name: &str| call.body[name].as_str().unwrap_or("").to_owned();
    let token = call.headers.get("hollyreach-fencing-token");
    let holder = call.headers.get("hollyreach-duty-holder");
    let (Some(token), Some(holder)) = (token.and_then(|t| t.parse().ok()), holder) else {
        return Ok((400, json!({"error": "no holder or token"})));
    };
    let (service, id) = (text("service"), text("id"));
    world.promotions.borrow_mut().push(Order {
        group: service.as_str().into(),
        token,
        holder: holder.as_str().into(),
    });
    let accepted = world.group(&service).is_some_and(|g| g.promote(&id));
    Ok((if accepted { 200 } else { 409 }, Value::Null))
}
