//! A daemon as a process, against stand-ins of the platform in the test's own process.

use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use link::BufferedStream;
use monoio::net::TcpStream;
use world::World;

/// The daemon, which ends with the test.
pub struct Daemon {
    /// Its process.
    pub process: Child,
    /// Address for callers.
    pub listen: String,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already; the wait tells the rest.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub async fn pause(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}

fn free_addr() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("bound").to_string()
}

/// Starts a daemon named after the test; its log goes to `log`.
pub fn start(world: &Rc<World>, name: &str, grace_ms: u64, log: Stdio) -> Daemon {
    let (store, orders) = world.start_endpoints(name);
    let (listen, ready) = (free_addr(), free_addr());
    let file = format!("{}/{name}.yaml", env!("CARGO_TARGET_TMPDIR"));
    let text = format!(
        "name: {name}\ndata_center: z0\nlisten: {listen}\nready: {ready}\nstore: {store}\n\
         orders: {orders}\ngrace_ms: {grace_ms}\n"
    );
    std::fs::write(&file, text).expect("written");
    let process = Command::new(env!("CARGO_BIN_EXE_hollyreach"))
        .args(["gateway", "--config", &file])
        .stdout(log)
        .spawn()
        .expect("started");
    Daemon { process, listen }
}

/// Opens a session, as soon as the daemon takes one.
pub async fn connect(listen: &str, database: &str) -> BufferedStream {
    loop {
        if let Ok(stream) = TcpStream::connect(listen).await {
            let mut caller = BufferedStream::new(stream).expect("a link");
            let hello = format!("CONNECT {database} u\r\n");
            if ask(&mut caller, &hello).await.is_some() {
                return caller;
            }
        }
        pause(50).await;
    }
}

/// Sends a message and reads up to the line that ends its answer; `None` at the end of the stream.
pub async fn ask(caller: &mut BufferedStream, text: &str) -> Option<String> {
    caller.send(text.as_bytes()).await.ok()?;
    loop {
        let got = String::from_utf8_lossy(&caller.input).into_owned();
        if got.ends_with("\r\n") && got.contains("READY") {
            caller.input.clear();
            return Some(got);
        }
        if caller.read_more().await.ok()? == 0 {
            return None;
        }
    }
}
