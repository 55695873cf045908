//! The server side: one task for each connection of a peer.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest body taken from a peer, in bytes.
const BODY_MAX: usize = 64 << 20;

/// One request.
pub struct Call {
    /// Path of the request.
    pub path: Box<str>,
    /// Body of the request.
    pub body: Bytes,
    /// Whether the request showed the fleet's secret.
    pub trusted: bool,
    /// Number of the connection that it came on.
    pub link: u64,
}

/// What is answered: a status and a body.
pub type Served = (u16, Vec<u8>);

/// Answers requests.
pub type Handler = Rc<dyn Fn(Call) -> Pin<Box<dyn Future<Output = Served>>>>;

/// Writes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("messages are plain data")
}

/// Reads a message; `None` when it is malformed.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    rmp_serde::from_slice(body).ok()
}

/// Compares without telling by its duration where the texts differ.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

/// Serves one connection until it ends.
pub async fn serve(stream: TcpStream, link: u64, secret: Rc<str>, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        let wanted = format!("Bearer {secret}");
        async move {
            let path = request.uri().path().into();
            let shown = request.headers().get("authorization");
            let trusted = shown.is_some_and(|v| same(v.as_bytes(), wanted.as_bytes()));
            let body = match Limited::new(request.into_body(), BODY_MAX).collect().await {
                Ok(body) => body.to_bytes(),
                Err(e) => return Err(std::io::Error::other(e)),
            };
            let (code, body) = handler(Call {
                path,
                body,
                trusted,
                link,
            })
            .await;
            let body = Full::new(Bytes::from(body));
            Ok(Response::builder()
                .status(code)
                .body(body)
                .expect("a plain response"))
        }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    let _ = builder
        .serve_connection(MonoioIo::new(stream), service)
        .await;
}
