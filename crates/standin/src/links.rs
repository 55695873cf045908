//! The network between data centres: forwards TCP with a delay and can be cut, one way or both.
//!
//! Each direction of a connection has two threads, because a thread's sleep is exact to well below
//! a millisecond.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Command-line options of the links.
pub struct Options {
    pub control: Box<str>,
    pub delay_us: u64,
    pub pair: Vec<Box<str>>,
}

const BUFFER: usize = 16 * 1024;
const STACK: usize = 64 * 1024;
const CUT_POLL: Duration = Duration::from_millis(5);

/// One link; a cut direction holds bytes back without closing the connection.
struct Link {
    target: Box<str>,
    forward_cut: AtomicBool,
    back_cut: AtomicBool,
}

fn spawn(work: impl FnOnce() + Send + 'static) {
    std::thread::Builder::new()
        .stack_size(STACK)
        .spawn(work)
        .expect("a thread can be started");
}

/// Runs all links of a test in one process.
pub fn run(options: &Options) {
    let delay = Duration::from_micros(options.delay_us);
    let mut links = BTreeMap::new();
    for pair in &options.pair {
        let (listen, target) = pair.split_once('=').expect("--link takes LISTEN=TARGET");
        let link = Arc::new(Link {
            target: target.into(),
            forward_cut: AtomicBool::new(false),
            back_cut: AtomicBool::new(false),
        });
        let listener = TcpListener::bind(listen).expect("a link's address is free");
        links.insert(Box::from(listen), link.clone());
        spawn(move || {
            for near in listener.incoming().flatten() {
                let link = link.clone();
                spawn(move || connect(&link, near, delay));
            }
        });
    }
    control(&options.control, &links);
}

fn connect(link: &Arc<Link>, near: TcpStream, delay: Duration) {
    while link.forward_cut.load(Ordering::Relaxed) || link.back_cut.load(Ordering::Relaxed) {
        std::thread::sleep(CUT_POLL);
    }
    let Ok(far) = TcpStream::connect(&*link.target) else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let (forward, back) = (link.clone(), link.clone());
    spawn(move || {
        copy(near_copy, far_copy, delay, move || {
            forward.forward_cut.load(Ordering::Relaxed)
        });
    });
    copy(far, near, delay, move || {
        back.back_cut.load(Ordering::Relaxed)
    });
}

/// Copies one direction; each chunk leaves `delay` after it came.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    delay: Duration,
    cut: impl Fn() -> bool + Send + 'static,
) {
    let (tx, rx) = mpsc::channel::<(Instant, Vec<u8>)>();
    spawn(move || {
        for (due, chunk) in rx {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            while cut() {
                std::thread::sleep(CUT_POLL);
            }
            if to.write_all(&chunk).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
    let mut buf = vec![0; BUFFER];
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

/// Control lines `PREFIX FORWARD BACK`: sets the cuts of every link whose address starts so.
fn control(addr: &str, links: &BTreeMap<Box<str>, Arc<Link>>) {
    let listener = TcpListener::bind(addr).expect("the control address is free");
    for mut stream in listener.incoming().flatten() {
        let mut buf = [0; 256];
        let n = stream.read(&mut buf).unwrap_or(0);
        let text = String::from_utf8_lossy(&buf[..n]).into_owned();
        let words: Vec<&str> = text.split_whitespace().collect();
        let [prefix, forward, back] = words[..] else {
            continue;
        };
        for (_, link) in links
            .iter()
            .filter(|(listen, _)| listen.starts_with(prefix))
        {
            link.forward_cut.store(forward == "cut", Ordering::Relaxed);
            link.back_cut.store(back == "cut", Ordering::Relaxed);
        }
        let _ = stream.write_all(b"ok\n");
    }
}
