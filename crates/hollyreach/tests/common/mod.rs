//! Runs a daemon as a process against an emulated platform in the test's own process.

use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use link::BufferedStream;
use monoio::net::TcpStream;
use world::World;

/// A running daemon; it is killed on drop.
pub struct Daemon {
    pub process: Child,
    /// Address for callers.
    pub listen: String,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub async fn pause(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}

fn free_addr() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    listener
        .local_addr()
        .expect("the listener has an address")
        .to_string()
}

/// Starts a daemon called `name`; its log is written to `log`.
pub fn start(world: &Rc<World>, name: &str, grace_ms: u64, log: Stdio) -> Daemon {
    let (store, orders) = world.start_endpoints(name);
    let (listen, ready) = (free_addr(), free_addr());
    let file = format!("{}/{name}.yaml", env!("CARGO_TARGET_TMPDIR"));
    let text = format!(
        "name: {name}\ndata_center: z0\nlisten: {listen}\nready: {ready}\nstore: {store}\n\
         orders: {orders}\ngrace_ms: {grace_ms}\n"
    );
    std::fs::write(&file, text).expect("the settings file can be written");
    let process = Command::new(env!("CARGO_BIN_EXE_hollyreach"))
        .args(["gateway", "--config", &file])
        .stdout(log)
        .spawn()
        .expect("the daemon can be started");
    Daemon { process, listen }
}

/// Opens a session, retrying until the daemon accepts it.
pub async fn connect(listen: &str, database: &str) -> BufferedStream {
    loop {
        if let Ok(stream) = TcpStream::connect(listen).await {
            let mut caller = BufferedStream::new(stream).expect("the stream can be set up");
            let hello = format!("CONNECT {database} u\r\n");
            if ask(&mut caller, &hello).await.is_some() {
                return caller;
            }
        }
        pause(50).await;
    }
}

/// Sends a message and returns its answer, which ends in `READY`; `None` if the connection is
/// closed first.
pub async fn ask(caller: &mut BufferedStream, text: &str) -> Option<String> {
    caller.send(text.as_bytes()).await.ok()?;
    loop {
        let received = String::from_utf8_lossy(&caller.input).into_owned();
        if received.ends_with("\r\n") && received.contains("READY") {
            caller.input.clear();
            return Some(received);
        }
        if caller.read_more().await.ok()? == 0 {
            return None;
        }
    }
}
