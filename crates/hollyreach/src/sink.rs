//! Writes log lines without ever blocking the daemon.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Lines that wait for a slow reader of the log; more are dropped and counted.
const QUEUE: usize = 2048;

/// Longest wait for the lines that are left when the process ends.
const LAST: Duration = Duration::from_millis(200);
/// Pause between two looks at the lines that are left.
const LOOK: Duration = Duration::from_millis(2);

/// Lines handed over and not yet written.
static LEFT: AtomicU64 = AtomicU64::new(0);

/// Waits a moment for the last lines, before the process ends.
pub fn drain() {
    let until = Instant::now() + LAST;
    while LEFT.load(Ordering::Relaxed) > 0 && Instant::now() < until {
        std::thread::sleep(LOOK);
    }
}

/// The end that the logger writes to, a line at a time.
pub struct Sink {
    lines: SyncSender<Box<[u8]>>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes to standard output.
    pub fn start() -> Sink {
        let (lines, waiting) = sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = dropped.clone();
        std::thread::spawn(move || copy(&waiting, &count));
        Sink { lines, dropped }
    }
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        LEFT.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line.into()).is_err() {
            LEFT.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the logger is gone or nobody reads.
fn copy(waiting: &Receiver<Box<[u8]>>, dropped: &AtomicU64) {
    // The lock is not held, so that commands can print while no line is being written.
    let mut out = io::stdout();
    while let Ok(line) = waiting.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        let note = if lost > 0 {
            format!("log lines dropped: {lost}\n")
        } else {
            String::new()
        };
        let written = out
            .write_all(note.as_bytes())
            .and_then(|()| out.write_all(&line));
        LEFT.fetch_sub(1, Ordering::Relaxed);
        if written.and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
