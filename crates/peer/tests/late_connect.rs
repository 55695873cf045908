//! Calls of a process that was frozen while it connected.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use peer::{CallError, Client, SingleCall};

/// Timeout for connecting, in ms.
const CONNECT_TIMEOUT_MS: u64 = 200;
/// Time for which the process is frozen, in ms.
const FROZEN_MS: u64 = 600;
/// Timeout of the call, in ms.
const CALL_TIMEOUT_MS: u64 = 1000;

/// Answers the first request on one connection.
fn answer_one(listener: &TcpListener) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut input = [0; 1024];
    if matches!(stream.read(&mut input), Ok(n) if n > 0) {
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).expect("sent");
    }
}

/// Runs a test in a process that is frozen as soon as it waits.
fn run_frozen(test: impl Future<Output = ()>) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        monoio::spawn(async { std::thread::sleep(Duration::from_millis(FROZEN_MS)) });
        test.await;
    });
}

/// Guards against a call that is sent long after its sender has decided to make it.
#[test]
fn a_call_whose_connection_opened_too_late_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || answer_one(&listener));
    run_frozen(async {
        let client = Client::without_secret(CONNECT_TIMEOUT_MS);
        let call = client.plain(addr, "POST", "/failover", Bytes::new(), CALL_TIMEOUT_MS);
        let result = call.await;
        assert!(
            matches!(result, Err(CallError::NotSent(_))),
            "sent {FROZEN_MS} ms late: {result:?}"
        );
    });
}

/// Guards against an order of a promotion over a connection that says nothing of the path any more.
#[test]
fn a_connection_for_one_call_that_opened_too_late_is_not_used() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    run_frozen(async {
        let opened = SingleCall::open(addr, CONNECT_TIMEOUT_MS).await;
        let result = opened.map(|_| ());
        assert!(
            matches!(result, Err(CallError::NotSent(_))),
            "used {FROZEN_MS} ms late: {result:?}"
        );
    });
}
