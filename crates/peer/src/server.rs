//! HTTP server for one connection of a peer.

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

/// Largest request body accepted from a peer.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A request of a peer.
pub struct Call {
    pub path: Box<str>,
    pub body: Bytes,
    /// Whether the request carried the fleet's secret.
    pub trusted: bool,
    /// Id of the connection on which the request arrived.
    pub conn_id: u64,
}

/// Status and body of an answer.
pub type StatusAndBody = (u16, Vec<u8>);

/// Request handler.
pub type Handler = Rc<dyn Fn(Call) -> Pin<Box<dyn Future<Output = StatusAndBody>>>>;

/// Encodes a message as `MessagePack`.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("messages always serialize")
}

/// Decodes a `MessagePack` message; `None` when it is malformed.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    rmp_serde::from_slice(body).ok()
}

/// Compares in constant time, so that the response time does not reveal how long the matching
/// prefix is.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

/// Serves one connection until it ends; `conn_id` is passed to the handler with each request.
pub async fn serve(stream: TcpStream, conn_id: u64, secret: Rc<str>, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_io() else {
        return;
    };
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        let expected = format!("Bearer {secret}");
        async move {
            let path = request.uri().path().into();
            let presented = request.headers().get("authorization");
            let trusted =
                presented.is_some_and(|v| constant_time_eq(v.as_bytes(), expected.as_bytes()));
            let body = match Limited::new(request.into_body(), MAX_BODY_BYTES)
                .collect()
                .await
            {
                Ok(body) => body.to_bytes(),
                Err(e) => return Err(std::io::Error::other(e)),
            };
            let (status, body) = handler(Call {
                path,
                body,
                trusted,
                conn_id,
            })
            .await;
            let body = Full::new(Bytes::from(body));
            Ok(Response::builder()
                .status(status)
                .body(body)
                .expect("status and body make a valid response"))
        }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    let _ = builder
        .serve_connection(MonoioIo::new(stream), service)
        .await;
}
