//! Asynchronous replication: a replica pulls a stream of log entries from the primary of its term.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::log::Entry;
use crate::member::Member;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const RECONNECT_DELAY: Duration = Duration::from_millis(25);
const IO_TIMEOUT: Duration = Duration::from_secs(1);

/// First line that a replica sends.
#[derive(Serialize, Deserialize)]
struct StreamRequest {
    term: u64,
    /// Term runs of the replica's log.
    runs: Vec<(u64, usize)>,
}

/// A line that the primary sends; a batch without entries is a heartbeat.
#[derive(Serialize, Deserialize)]
struct Batch {
    term: u64,
    /// Length of the log before `entries`.
    from: usize,
    entries: Vec<Entry>,
}

/// Start-up parameter that requests a replication stream.
pub const STARTUP_PARAMETER: &str = "hollyreach_replication";

/// Start-up message of protocol version 3.0.
fn startup_message() -> Vec<u8> {
    let mut body = 196_608_u32.to_be_bytes().to_vec();
    for text in ["user", "replica", STARTUP_PARAMETER, "1", ""] {
        body.extend(text.as_bytes());
        body.push(0);
    }
    let mut out = u32::try_from(body.len() + 4)
        .expect("the start-up message is short")
        .to_be_bytes()
        .to_vec();
    out.extend(body);
    out
}

/// Replicates from the current primary, which is `State::follow`, until the process ends.
pub fn follow_loop(member: &Arc<Member>) {
    loop {
        let target = {
            let state = member.lock();
            state.follow.clone().map(|f| (state.log.term, f))
        };
        if let Some((term, addr)) = target {
            let _ = follow_once(member, term, &addr);
        }
        std::thread::sleep(RECONNECT_DELAY);
    }
}

/// Replicates from a primary until the connection ends, or the member's term or primary changes.
fn follow_once(member: &Arc<Member>, term: u64, addr: &str) -> std::io::Result<()> {
    let target = member
        .map_address(addr)
        .to_socket_addrs()?
        .next()
        .ok_or(std::io::ErrorKind::NotFound)?;
    let mut stream = TcpStream::connect_timeout(&target, IO_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.write_all(&startup_message())?;
    let request = StreamRequest {
        term,
        runs: member.lock().log.term_runs(),
    };
    stream.write_all(format!("{}\n", serde_json::to_string(&request)?).as_bytes())?;
    let mut first_batch = true;
    // Batches are read and time-stamped by a separate thread, so that each is delayed by the lag
    // once and the delays of consecutive batches do not add up.
    let (tx, rx) = mpsc::channel();
    let disconnected = Arc::new(AtomicBool::new(false));
    let reader_member = member.clone();
    let reader_disconnected = disconnected.clone();
    std::thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let Ok(batch) = serde_json::from_str::<Batch>(&line) else {
                return;
            };
            let mut state = reader_member.lock();
            if batch.term == state.log.term {
                state.last_contact = Instant::now();
            }
            drop(state);
            if tx.send((Instant::now(), batch)).is_err() {
                return;
            }
        }
        reader_disconnected.store(true, Ordering::Relaxed);
    });
    for (received_at, batch) in rx {
        let lag = Duration::from_millis(member.lag_ms.load(Ordering::Relaxed));
        std::thread::sleep((received_at + lag).saturating_duration_since(Instant::now()));
        // The lag simulates network delay: batches in flight when the connection breaks are lost.
        if disconnected.load(Ordering::Relaxed) {
            return Ok(());
        }
        let mut state = member.lock();
        if batch.term != state.log.term || state.follow.as_deref() != Some(addr) {
            return Ok(());
        }
        if first_batch {
            state.log.truncate(batch.from);
            first_batch = false;
        }
        if batch.from != state.log.entries.len() {
            return Ok(());
        }
        for entry in batch.entries {
            state.log.append(entry);
        }
        member.changed.notify_all();
    }
    Ok(())
}

/// Streams this member's log to a replica for as long as it is the primary of the replica's term.
pub fn stream_to(member: &Member, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let request: StreamRequest = serde_json::from_str(&line)?;
    let mut sent = member.lock().log.common_prefix(&request.runs);
    loop {
        let batch = {
            let mut state = member.lock();
            if sent == state.log.entries.len() {
                state = member
                    .changed
                    .wait_timeout(state, HEARTBEAT_INTERVAL)
                    .expect("the member lock is not poisoned")
                    .0;
            }
            if !state.is_primary || state.log.term != request.term {
                return Ok(());
            }
            Batch {
                term: request.term,
                from: sent,
                entries: state.log.entries[sent..].to_vec(),
            }
        };
        sent += batch.entries.len();
        stream.write_all(format!("{}\n", serde_json::to_string(&batch)?).as_bytes())?;
    }
}
