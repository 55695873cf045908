//! The network between data centres: forwards TCP with a delay and can be cut, one way or both.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};

/// Command-line options of the links.
pub struct Options {
    pub control: Box<str>,
    pub delay_us: u64,
    pub pair: Vec<Box<str>>,
}

const BUFFER: usize = 16 * 1024;
const CUT_POLL: Duration = Duration::from_millis(5);

/// One link; a cut direction holds bytes back without closing the connection.
struct Link {
    listen: Box<str>,
    target: Box<str>,
    forward_cut: Cell<bool>,
    back_cut: Cell<bool>,
}

/// Runs all links of a test in one process.
pub fn run(options: Options) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the legacy driver starts");
    runtime.block_on(async move {
        let delay = Duration::from_micros(options.delay_us);
        let mut links = BTreeMap::new();
        for pair in &options.pair {
            let (listen, target) = pair.split_once('=').expect("--link takes LISTEN=TARGET");
            let link = Rc::new(Link {
                listen: listen.into(),
                target: target.into(),
                forward_cut: Cell::new(false),
                back_cut: Cell::new(false),
            });
            links.insert(link.listen.clone(), link.clone());
            let listener = TcpListener::bind(listen).expect("a link's address is free");
            monoio::spawn(accept(link, listener, delay));
        }
        control(&options.control, &links).await;
    });
}

async fn accept(link: Rc<Link>, listener: TcpListener, delay: Duration) {
    while let Ok((stream, _)) = listener.accept().await {
        let link = link.clone();
        monoio::spawn(async move {
            while link.forward_cut.get() || link.back_cut.get() {
                monoio::time::sleep(CUT_POLL).await;
            }
            if let Ok(target) = TcpStream::connect(&*link.target).await {
                forward(link, stream, target, delay).await;
            }
        });
    }
}

async fn forward(link: Rc<Link>, near: TcpStream, far: TcpStream, delay: Duration) {
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let back = link.clone();
    monoio::spawn(copy(near_read, far_write, delay, move || {
        link.forward_cut.get()
    }));
    copy(far_read, near_write, delay, move || back.back_cut.get()).await;
}

/// Copies one direction; each chunk leaves `delay` after it came.
async fn copy(
    mut from: impl AsyncReadRent + 'static,
    mut to: impl AsyncWriteRent + 'static,
    delay: Duration,
    cut: impl Fn() -> bool + 'static,
) {
    let (tx, mut rx) = monoio_channel();
    monoio::spawn(async move {
        while let Some((due, chunk)) = rx.recv().await {
            monoio::time::sleep_until(monoio::time::Instant::from_std(due)).await;
            while cut() {
                monoio::time::sleep(CUT_POLL).await;
            }
            if to.write_all(chunk).await.0.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    });
    loop {
        let (result, mut chunk) = from.read(Vec::with_capacity(BUFFER)).await;
        let Ok(n) = result else { return };
        if n == 0 {
            return;
        }
        chunk.truncate(n);
        tx.send((Instant::now() + delay, chunk));
    }
}

/// A small queue between the two halves of one direction.
struct Sender(Rc<Queue>);
struct Receiver(Rc<Queue>);

#[derive(Default)]
struct Queue {
    items: std::cell::RefCell<std::collections::VecDeque<(Instant, Vec<u8>)>>,
    waker: std::cell::RefCell<Option<std::task::Waker>>,
    closed: Cell<bool>,
}

fn monoio_channel() -> (Sender, Receiver) {
    let queue = Rc::new(Queue::default());
    (Sender(queue.clone()), Receiver(queue))
}

impl Sender {
    fn send(&self, item: (Instant, Vec<u8>)) {
        self.0.items.borrow_mut().push_back(item);
        if let Some(waker) = self.0.waker.take() {
            waker.wake();
        }
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.0.closed.set(true);
        if let Some(waker) = self.0.waker.take() {
            waker.wake();
        }
    }
}

impl Receiver {
    async fn recv(&mut self) -> Option<(Instant, Vec<u8>)> {
        std::future::poll_fn(|cx| {
            if let Some(item) = self.0.items.borrow_mut().pop_front() {
                return std::task::Poll::Ready(Some(item));
            }
            if self.0.closed.get() {
                return std::task::Poll::Ready(None);
            }
            *self.0.waker.borrow_mut() = Some(cx.waker().clone());
            std::task::Poll::Pending
        })
        .await
    }
}

/// Control lines `PREFIX FORWARD BACK`: sets the cuts of every link whose address starts so.
async fn control(addr: &str, links: &BTreeMap<Box<str>, Rc<Link>>) {
    let listener = TcpListener::bind(addr).expect("the control address is free");
    while let Ok((mut stream, _)) = listener.accept().await {
        let (result, buf) = stream.read(Vec::with_capacity(256)).await;
        let text = String::from_utf8_lossy(&buf[..result.unwrap_or(0)]).into_owned();
        let words: Vec<&str> = text.split_whitespace().collect();
        let [prefix, forward, back] = words[..] else {
            continue;
        };
        for link in links.values().filter(|l| l.listen.starts_with(prefix)) {
            link.forward_cut.set(forward == "cut");
            link.back_cut.set(back == "cut");
        }
        let _ = stream.write_all(b"ok\n".to_vec()).await;
    }
}
