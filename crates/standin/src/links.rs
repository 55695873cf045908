//! Simulated network between data centres: forwards TCP connections with a fixed delay. Each link
//! can be cut in one or both directions.
//!
//! Uses blocking threads, two for each direction of a connection, because a thread sleep is
//! accurate to well below a millisecond.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Command-line options of the link simulator.
pub struct Options {
    /// Address for control requests.
    pub control: Box<str>,
    /// Delay of each direction.
    pub delay_us: u64,
    /// One `LISTEN=TARGET` for each link.
    pub links: Vec<Box<str>>,
}

const BUFFER_BYTES: usize = 16 * 1024;
const STACK_BYTES: usize = 64 * 1024;
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A forwarded address. A direction that is cut holds bytes back without closing connections.
struct Link {
    target: Box<str>,
    forward_cut: AtomicBool,
    reverse_cut: AtomicBool,
}

fn spawn(task: impl FnOnce() + Send + 'static) {
    std::thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(task)
        .expect("failed to spawn a thread");
}

/// Runs all links in one process until it ends.
pub fn run(options: &Options) {
    let delay = Duration::from_micros(options.delay_us);
    let mut links = BTreeMap::new();
    for pair in &options.links {
        let (listen, target) = pair.split_once('=').expect("--link expects LISTEN=TARGET");
        let link = Arc::new(Link {
            target: target.into(),
            forward_cut: AtomicBool::new(false),
            reverse_cut: AtomicBool::new(false),
        });
        let listener = TcpListener::bind(listen).expect("cannot bind the listen address of a link");
        links.insert(Box::from(listen), link.clone());
        spawn(move || {
            for inbound in listener.incoming().flatten() {
                let link = link.clone();
                spawn(move || relay(&link, inbound, delay));
            }
        });
    }
    serve_control(&options.control, &links);
}

/// Forwards one connection, which is opened only when neither direction is cut.
fn relay(link: &Arc<Link>, inbound: TcpStream, delay: Duration) {
    while link.forward_cut.load(Ordering::Relaxed) || link.reverse_cut.load(Ordering::Relaxed) {
        std::thread::sleep(CUT_POLL_INTERVAL);
    }
    let Ok(outbound) = TcpStream::connect(&*link.target) else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (Ok(inbound_clone), Ok(outbound_clone)) = (inbound.try_clone(), outbound.try_clone())
    else {
        return;
    };
    let (forward, reverse) = (link.clone(), link.clone());
    spawn(move || {
        copy(inbound_clone, outbound_clone, delay, move || {
            forward.forward_cut.load(Ordering::Relaxed)
        });
    });
    copy(outbound, inbound, delay, move || {
        reverse.reverse_cut.load(Ordering::Relaxed)
    });
}

/// Copies one direction, writing each chunk `delay` after it was read.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    delay: Duration,
    is_cut: impl Fn() -> bool + Send + 'static,
) {
    let (tx, rx) = mpsc::channel::<(Instant, Vec<u8>)>();
    spawn(move || {
        for (due, chunk) in rx {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            while is_cut() {
                std::thread::sleep(CUT_POLL_INTERVAL);
            }
            if to.write_all(&chunk).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0
            || tx
                .send((Instant::now() + delay, buf[..n].to_vec()))
                .is_err()
        {
            break;
        }
    }
}

/// Serves control requests of the form `PREFIX FORWARD REVERSE`, one per connection.
///
/// The word `cut` cuts that direction of every link whose listen address starts with the prefix;
/// any other word restores it.
fn serve_control(addr: &str, links: &BTreeMap<Box<str>, Arc<Link>>) {
    let listener = TcpListener::bind(addr).expect("cannot bind the control address");
    for mut stream in listener.incoming().flatten() {
        let mut buf = [0; 256];
        let n = stream.read(&mut buf).unwrap_or(0);
        let text = String::from_utf8_lossy(&buf[..n]).into_owned();
        let words: Vec<&str> = text.split_whitespace().collect();
        let [prefix, forward, reverse] = words[..] else {
            continue;
        };
        for (_, link) in links
            .iter()
            .filter(|(listen, _)| listen.starts_with(prefix))
        {
            link.forward_cut.store(forward == "cut", Ordering::Relaxed);
            link.reverse_cut.store(reverse == "cut", Ordering::Relaxed);
        }
        let _ = stream.write_all(b"ok\n");
    }
}
