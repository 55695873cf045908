//! Settings of a session that an upstream refuses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;

use pg::{BatchJob, Login, Upstream, UpstreamError};
use schema::{Batch, ByteBuf, Var};

const AUTHENTICATION_OK: &[u8] = b"R\0\0\0\x08\0\0\0\0";
const READY: &[u8] = b"Z\0\0\0\x05I";

/// Starts an upstream that refuses every query with settings; returns the texts of all queries.
fn start_upstream() -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let task = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_message(&mut stream, 0).expect("a startup message");
        stream.write_all(AUTHENTICATION_OK).expect("it is open");
        stream.write_all(READY).expect("it is open");
        let mut queries = Vec::new();
        while let Some(body) = read_message(&mut stream, 1) {
            let text = String::from_utf8_lossy(&body).into_owned();
            let answer = if text.starts_with("RESET") {
                error_response()
            } else {
                b"C\0\0\0\x08SET\0".to_vec()
            };
            queries.push(text);
            stream.write_all(&answer).expect("it is open");
            stream.write_all(READY).expect("it is open");
        }
        queries
    });
    (addr, task)
}

/// Reads a message with a tag of `tag_len` bytes; `None` once the connection is closed.
fn read_message(stream: &mut TcpStream, tag_len: usize) -> Option<Vec<u8>> {
    let mut head = vec![0; tag_len + 4];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[tag_len..].try_into().expect("four bytes"));
    let mut body = vec![0; usize::try_from(length).expect("a small number") - 4];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

fn error_response() -> Vec<u8> {
    let fields = b"SERROR\0C22023\0Mno such value\0\0";
    let length = u32::try_from(fields.len() + 4).expect("a small number");
    [b"E".as_slice(), &length.to_be_bytes(), fields].concat()
}

/// Guards against a statement that runs with the settings of another session: nothing may follow
/// settings that the upstream has refused.
#[test]
fn nothing_is_sent_behind_refused_settings() {
    let (addr, task) = start_upstream();
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let login = Login {
            addr,
            user: "u".into(),
            password: "p".into(),
            database: "d".into(),
        };
        let mut upstream = Upstream::open(&login).await.expect("logged in");
        let batch = Batch {
            simple: true,
            sql: "insert into t values (1)".into(),
            body: ByteBuf::new(),
            steps: Vec::new(),
            prepares: Vec::new(),
        };
        let vars = [Var {
            name: "datestyle".into(),
            sql: "SET datestyle = 'none'".into(),
        }];
        let job = BatchJob {
            batch: &batch,
            vars: &vars,
            barrier: "select 'nonce'",
            nonce: "nonce",
            max_answer_bytes: 1 << 20,
        };
        let result = upstream.run(&job).await;
        assert!(matches!(result, Err(UpstreamError::Refused(..))));
    });
    let queries = task.join().expect("the upstream ended");
    assert_eq!(queries.len(), 1, "{queries:?}");
}
