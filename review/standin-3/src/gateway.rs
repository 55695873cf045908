//! The daemons under test, as the deploy file starts them.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::{Path, Store};

pub struct Gateway {
    pub name: String,
    pub zone: usize,
    pub front: SocketAddr,
    ready: SocketAddr,
    pub store: Arc<Path>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

/// `grace_s` of the sheets, in ms.
const GRACE_MS: u64 = 6000;
/// Ports for the daemons, below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Free addresses that are all different, also from those returned before.
fn free_addrs(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let span = u32::from(PORTS.end - PORTS.start);
    let offset = (std::process::id() * 97) % span;
    let mut addrs = Vec::new();
    while addrs.len() < count {
        let n = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + u16::try_from((offset + n) % span).expect("below the span");
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            addrs.push(addr);
        }
    }
    addrs
}

impl Gateway {
    /// Writes the settings of a daemon as `deploy/node.yaml` has them, with the bounds of a small site.
    pub fn new(
        name: &str,
        zone: usize,
        store: &Arc<Store>,
        orders: SocketAddr,
        folder: &std::path::Path,
        record: &Arc<Record>,
    ) -> Gateway {
        let path = Path::start(store);
        let addrs = free_addrs(4);
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "name: \"{name}\"\ndata_center: \"z{}\"\nlisten: \"{}\"\nready: \"{}\"\nmetrics: \"{}\"\nstore: \"{}\"\n\
             orders: \"{orders}\"\ngrace_ms: 6e3\ndrain_ms: 7000\nheartbeat_ms: 1200\ninternal: \"{}\"\n",
            zone, addrs[0], addrs[1], addrs[2], path.addr, addrs[3]
        );
        std::fs::write(&settings, text).expect("settings");
        let log = folder.join(format!("{name}.log"));
        Gateway {
            name: name.into(),
            zone,
            front: addrs[0],
            ready: addrs[1],
            store: path,
            settings,
            log,
            child: None,
            record: record.clone(),
        }
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new("target/release/hollyreach")
            .args(["gateway", "--config"])
            .arg(&self.settings)
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .stdin(Stdio::null())
            .spawn();
        let Ok(child) = child else {
            eprintln!("target/release/hollyreach does not start");
            std::process::exit(2);
        };
        self.child = Some(child);
        self.record.line(&format!("{} started", self.name));
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} killed", self.name));
        }
    }

    /// Stops the daemon as the platform does: SIGTERM, and SIGKILL after `grace_s`.
    pub fn stop(&mut self) {
        let Some(child) = &mut self.child else { return };
        let command = format!("kill -TERM {}", child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
        self.record.line(&format!("{} gets SIGTERM", self.name));
        let deadline = Instant::now() + Duration::from_millis(GRACE_MS);
        while Instant::now() < deadline && matches!(child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        if stream
            .write_all(b"GET /hollyreach/ready HTTP/1.1\r\nhost: x\r\n\r\n")
            .is_err()
        {
            return false;
        }
        let mut head = [0; 12];
        stream.read_exact(&mut head).is_ok() && head.ends_with(b"200")
    }

    pub fn wait_until_ready(&self, timeout_s: u64) -> bool {
        let deadline = Instant::now() + Duration::from_secs(timeout_s);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
