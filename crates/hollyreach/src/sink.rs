//! Writes log lines on a thread of its own, so that a slow reader of the log never blocks the
//! daemon.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Maximum number of queued lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2048;

/// Maximum time that `drain` waits.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Poll interval of `drain`.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Number of lines that are queued or being written.
static PENDING_LINES: AtomicU64 = AtomicU64::new(0);

/// Waits until all lines are written, but at most `DRAIN_TIMEOUT`; called before the process exits.
pub fn drain() {
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while PENDING_LINES.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}

/// The output of the logger, which passes one line to each `write`.
pub struct LogSink {
    lines: SyncSender<Box<[u8]>>,
    dropped: Arc<AtomicU64>,
}

impl LogSink {
    /// Starts a thread that writes the lines to standard output.
    pub fn start() -> LogSink {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = dropped.clone();
        std::thread::spawn(move || write_lines(&queue, &dropped_count));
        LogSink { lines, dropped }
    }
}

impl Write for LogSink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        PENDING_LINES.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line.into()).is_err() {
            PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the logger is dropped or a write fails; before the next line, reports how
/// many were dropped.
fn write_lines(queue: &Receiver<Box<[u8]>>, dropped: &AtomicU64) {
    // Each write takes the lock of standard output separately, so that commands can print in
    // between.
    let mut out = io::stdout();
    while let Ok(line) = queue.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        let notice = if lost > 0 {
            format!("log lines dropped: {lost}\n")
        } else {
            String::new()
        };
        let written = out
            .write_all(notice.as_bytes())
            .and_then(|()| out.write_all(&line));
        PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
        if written.and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
