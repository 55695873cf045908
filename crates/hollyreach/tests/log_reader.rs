//! A reader of the log that stops reading delays no answer.

use std::process::{Child, Command, Stdio};
use std::time::Duration;

use base::Ms;
use link::Link;
use monoio::net::TcpStream;
use world::World;

/// Time under statements, in ms; long enough to fill the pipe and the queue before it.
const LOAD_MS: u64 = 12_000;
/// Time in which each answer must come, in s. A daemon that waits for the reader never answers.
const ANSWER_S: u64 = 10;

/// The daemon, which ends with the test.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already; the wait tells the rest.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_addr() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("bound").to_string()
}

async fn connect(listen: &str) -> Link {
    loop {
        if let Ok(stream) = TcpStream::connect(listen).await {
            let mut caller = Link::new(stream).expect("a link");
            if ask(&mut caller, "CONNECT g0-newest u\r\n").await.is_some() {
                return caller;
            }
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a message and reads up to the line that ends its answer; `None` at the end of the stream.
async fn ask(caller: &mut Link, text: &str) -> Option<String> {
    caller.send(text.as_bytes()).await.ok()?;
    loop {
        let got = String::from_utf8_lossy(&caller.input).into_owned();
        if got.ends_with("\r\n") && got.contains("READY") {
            caller.input.clear();
            return Some(got);
        }
        if caller.fill().await.ok()? == 0 {
            return None;
        }
    }
}

#[test]
fn a_log_that_nobody_reads_delays_no_answer() {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let world = World::start(1, 1000);
        let (store, orders) = world.open_for("vm-0");
        let (listen, ready) = (free_addr(), free_addr());
        let file = format!("{}/log_reader.yaml", env!("CARGO_TARGET_TMPDIR"));
        let text = format!(
            "name: vm-0\ndata_center: z0\nlisten: {listen}\nready: {ready}\nstore: {store}\n\
             orders: {orders}\ngrace_ms: 1000\n"
        );
        std::fs::write(&file, text).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_hollyreach"))
            .args(["gateway", "--config", &file])
            .stdout(Stdio::piped())
            .spawn()
            .expect("started");
        // Its standard output is held open and never read.
        let _daemon = Daemon(child);
        let mut caller = connect(&listen).await;
        let until = Ms::now().plus(LOAD_MS);
        let mut answers = 0;
        while until.left() > 0 {
            let message = format!("QUERY {}{answers} READ x\r\n", "q".repeat(200));
            let answer =
                monoio::time::timeout(Duration::from_secs(ANSWER_S), ask(&mut caller, &message));
            let answer = answer.await.expect("an answer in time");
            assert!(answer.is_some(), "closed after {answers} answers");
            answers += 1;
        }
        assert!(answers > 0);
    });
}
