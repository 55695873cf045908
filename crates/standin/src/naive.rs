//! The naive way that proofs compare with: one proxy that passes bytes on, acknowledges at once,
//! and knows neither terms nor positions.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

/// Command-line options of the naive proxy.
pub struct Options {
    pub listen: Box<str>,
    pub to: Vec<Box<str>>,
    pub spread: bool,
}

const CONNECT: Duration = Duration::from_millis(200);
const BUFFER: usize = 16 * 1024;

/// Passes each connection on to the first member that accepts, or to each in turn.
pub fn run(options: &Options) {
    let listener = TcpListener::bind(&*options.listen).expect("the proxy's address is free");
    for (i, near) in listener.incoming().flatten().enumerate() {
        let mut targets = options.to.clone();
        if options.spread {
            let len = targets.len();
            targets.rotate_left(i % len);
        }
        std::thread::spawn(move || pass(&near, &targets));
    }
}

fn pass(near: &TcpStream, targets: &[Box<str>]) {
    let open = |t: &str| TcpStream::connect_timeout(&t.parse().ok()?, CONNECT).ok();
    let Some(far) = targets.iter().find_map(|t| open(t)) else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    std::thread::spawn(move || copy(near_copy, far_copy));
    if let Ok(near) = near.try_clone() {
        copy(far, near);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = vec![0; BUFFER];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
