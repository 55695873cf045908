//! Calls that must not reach their peer late.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use base::Ms;
use bytes::Bytes;
use peer::{CallError, SingleCall};

/// Timeout for connecting, in ms.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time for which a call may be written, in ms.
const SEND_MS: u64 = 1000;
/// Time for which a process does nothing, in ms.
const STALL_MS: u64 = 300;
/// Longest wait of the peer for input, in ms.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

fn run(test: impl Future<Output = ()>) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// Reads until nothing comes any more; returns what came and how it ended.
fn read_all(stream: &mut TcpStream) -> (Vec<u8>, ErrorKind) {
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    let (mut all, mut input) = (Vec::new(), [0; 1024]);
    loop {
        match stream.read(&mut input) {
            Ok(0) => return (all, ErrorKind::UnexpectedEof),
            Ok(len) => all.extend_from_slice(&input[..len]),
            Err(e) => return (all, e.kind()),
        }
    }
}

async fn send(call: SingleCall, until: Ms) -> Result<u16, CallError> {
    let headers = [("fence", "7")];
    let body = Bytes::from_static(b"{}");
    call.send("POST", "/failover", &headers, body, until).await
}

/// Guards against an answer that is not understood.
#[test]
fn the_status_of_the_answer_is_returned() {
    let (listener, addr) = listen();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut input = [0; 1024];
        let len = stream.read(&mut input).expect("a request");
        let answer = b"HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).expect("sent");
        String::from_utf8_lossy(&input[..len]).into_owned()
    });
    run(async {
        let call = SingleCall::open(addr, CONNECT_TIMEOUT_MS).await;
        let call = call.expect("a connection");
        let status = send(call, Ms::now().plus(SEND_MS)).await;
        assert_eq!(status.expect("an answer"), 409);
    });
    let request = peer.join().expect("no panic");
    assert!(
        request.starts_with("POST /failover HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(request.contains("content-length: 2"), "{request}");
    assert!(request.ends_with("\r\n\r\n{}"), "{request}");
}

/// Guards against an order that is sent after its sender may have lost its claim, by a process that stood
/// still between the check and the write.
#[test]
fn a_call_that_is_too_late_is_not_written() {
    let (listener, addr) = listen();
    run(async {
        let call = SingleCall::open(addr, CONNECT_TIMEOUT_MS).await;
        let call = call.expect("a connection");
        let call = send(call, Ms::now().plus(STALL_MS / 2));
        std::thread::sleep(Duration::from_millis(STALL_MS));
        let result = call.await;
        assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    });
    let (mut stream, _) = listener.accept().expect("a connection");
    let (input, _) = read_all(&mut stream);
    assert_eq!(String::from_utf8_lossy(&input), "");
}

/// Guards against an orderly close, after which the kernel goes on sending what was written.
#[test]
fn a_call_that_is_given_up_resets_its_connection() {
    let (listener, addr) = listen();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_all(&mut stream)
    });
    run(async {
        let call = SingleCall::open(addr, CONNECT_TIMEOUT_MS).await;
        let call = send(call.expect("a connection"), Ms::now().plus(SEND_MS));
        let timeout = Duration::from_millis(STALL_MS);
        let answer = monoio::time::timeout(timeout, call).await;
        assert!(answer.is_err(), "{answer:?}");
    });
    let (input, end) = peer.join().expect("no panic");
    assert!(!input.is_empty(), "the request was written");
    assert_eq!(end, ErrorKind::ConnectionReset);
}

/// Guards against a daemon that orders a promotion without a path to the platform.
#[test]
fn a_peer_that_does_not_listen_cannot_be_called() {
    let (listener, addr) = listen();
    drop(listener);
    run(async {
        let call = SingleCall::open(addr, CONNECT_TIMEOUT_MS).await;
        let result = call.map(|_| ());
        assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    });
}
