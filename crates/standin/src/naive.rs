//! Naive TCP proxy, the baseline of `xtask prove`: forwards bytes, and with them acknowledgements,
//! without regard to terms or replication positions.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

/// Command-line options of the naive proxy.
pub struct Options {
    pub listen: Box<str>,
    pub targets: Vec<Box<str>>,
    /// Whether to distribute connections over the targets instead of preferring the first.
    pub round_robin: bool,
}

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const BUFFER_BYTES: usize = 16 * 1024;

/// Forwards each connection to the first target that accepts it, starting with the next target in
/// turn if `round_robin` is set.
pub fn run(options: &Options) {
    let listener = TcpListener::bind(&*options.listen).expect("cannot bind the listen address");
    for (i, inbound) in listener.incoming().flatten().enumerate() {
        let mut targets = options.targets.clone();
        if options.round_robin {
            let len = targets.len();
            targets.rotate_left(i % len);
        }
        std::thread::spawn(move || relay(&inbound, &targets));
    }
}

fn relay(inbound: &TcpStream, targets: &[Box<str>]) {
    let connect = |t: &str| TcpStream::connect_timeout(&t.parse().ok()?, CONNECT_TIMEOUT).ok();
    let Some(outbound) = targets.iter().find_map(|t| connect(t)) else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (Ok(inbound_clone), Ok(outbound_clone)) = (inbound.try_clone(), outbound.try_clone())
    else {
        return;
    };
    std::thread::spawn(move || copy(inbound_clone, outbound_clone));
    if let Ok(inbound) = inbound.try_clone() {
        copy(outbound, inbound);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
