//! `GET` requests of other daemons, which a handler outside of this crate answers.

use std::io;
use std::rc::Rc;

use link::BufferedStream;
use monoio::net::TcpStream;

use super::{HEAD_END, MAX_HEAD_BYTES};
use crate::BoxFuture;

const METHOD: &str = "GET ";

/// The answer to a `GET` request.
pub struct GetAnswer {
    /// Code and text, as in the status line.
    pub status: &'static str,
    /// Lines of the head, each with CR LF, other than the length of the body.
    pub headers: String,
    pub body: Rc<str>,
}

impl GetAnswer {
    /// An answer that consists of its status.
    pub fn without_body(status: &'static str) -> GetAnswer {
        GetAnswer {
            status,
            headers: String::new(),
            body: "".into(),
        }
    }
}

/// Answers the request for a target.
pub type GetHandler = Box<dyn Fn(Box<str>) -> BoxFuture<GetAnswer>>;

/// A handler that refuses all requests.
pub(super) fn refuse_all() -> GetHandler {
    Box::new(|_| Box::pin(async { GetAnswer::without_body("404 Not Found") }))
}

pub(super) fn is_get(head: &str) -> bool {
    head.starts_with(METHOD)
}

/// Answers the request that begins with `head`, and those that follow on the same connection, until
/// the other side closes it.
///
/// # Errors
/// `InvalidData` for a request of another method or with too long a head, otherwise the error of
/// the connection.
pub(super) async fn serve(stream: TcpStream, head: String, handler: &GetHandler) -> io::Result<()> {
    let mut link = BufferedStream::new(stream)?;
    let mut head = head;
    while is_get(&head) {
        let target = head.split(' ').nth(1).unwrap_or("");
        let answer = handler(target.into()).await;
        send(&mut link, &answer).await?;
        drop(answer);
        let Some(next) = next_head(&mut link).await? else {
            return Ok(());
        };
        head = next;
    }
    Err(io::ErrorKind::InvalidData.into())
}

async fn send(link: &mut BufferedStream, answer: &GetAnswer) -> io::Result<()> {
    let (status, headers, length) = (answer.status, &answer.headers, answer.body.len());
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n");
    link.send(head.as_bytes()).await?;
    link.send(answer.body.as_bytes()).await
}

/// Reads the head of the next request; `None` if the other side has closed the connection.
async fn next_head(link: &mut BufferedStream) -> io::Result<Option<String>> {
    while !link.input.ends_with(HEAD_END) {
        link.release_buffer();
        if link.input.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if link.read_more().await? == 0 {
            return Ok(None);
        }
    }
    let head = link.input.split();
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}
