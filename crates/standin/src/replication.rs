//! Asynchronous replication: a follower pulls a stream of entries from the primary of its term.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::log::Entry;
use crate::member::Member;

const HEARTBEAT: Duration = Duration::from_millis(50);
const RETRY: Duration = Duration::from_millis(25);
const READ_LIMIT: Duration = Duration::from_secs(1);

/// First line of a follower.
#[derive(Serialize, Deserialize)]
struct Hello {
    term: u64,
    runs: Vec<(u64, usize)>,
}

/// One line of the primary; an empty batch is a heartbeat.
#[derive(Serialize, Deserialize)]
struct Batch {
    term: u64,
    from: usize,
    entries: Vec<Entry>,
}

/// The start-up parameter that asks for a replication stream.
pub const PARAMETER: &str = "hollyreach_replication";

fn startup() -> Vec<u8> {
    let mut body = 196_608_u32.to_be_bytes().to_vec();
    for text in ["user", "replica", PARAMETER, "1", ""] {
        body.extend(text.as_bytes());
        body.push(0);
    }
    let mut out = u32::try_from(body.len() + 4)
        .expect("short")
        .to_be_bytes()
        .to_vec();
    out.extend(body);
    out
}

/// Follows whichever primary the state names, for as long as the process lives.
pub fn follow_loop(member: &Arc<Member>) {
    loop {
        let target = {
            let state = member.lock();
            state.follow.clone().map(|f| (state.log.term, f))
        };
        if let Some((term, addr)) = target {
            let _ = follow_once(member, term, &addr);
        }
        std::thread::sleep(RETRY);
    }
}

fn follow_once(member: &Arc<Member>, term: u64, addr: &str) -> std::io::Result<()> {
    let target = member
        .mapped(addr)
        .to_socket_addrs()?
        .next()
        .ok_or(std::io::ErrorKind::NotFound)?;
    let mut stream = TcpStream::connect_timeout(&target, READ_LIMIT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_LIMIT))?;
    stream.write_all(&startup())?;
    let hello = Hello {
        term,
        runs: member.lock().log.runs(),
    };
    stream.write_all(format!("{}\n", serde_json::to_string(&hello)?).as_bytes())?;
    let mut first = true;
    // A reader of its own, so that each batch is late by the lag and not by the sum of all lags.
    let (tx, rx) = mpsc::channel();
    let ended = Arc::new(AtomicBool::new(false));
    let receiver = member.clone();
    let end = ended.clone();
    std::thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let Ok(batch) = serde_json::from_str::<Batch>(&line) else {
                return;
            };
            let mut state = receiver.lock();
            if batch.term == state.log.term {
                state.heard = Instant::now();
            }
            drop(state);
            if tx.send((Instant::now(), batch)).is_err() {
                return;
            }
        }
        end.store(true, Ordering::Relaxed);
    });
    for (came, batch) in rx {
        let lag = Duration::from_millis(member.lag_ms.load(Ordering::Relaxed));
        std::thread::sleep((came + lag).saturating_duration_since(Instant::now()));
        // The lag stands for time on the way, so what is on the way when the primary dies is gone.
        if ended.load(Ordering::Relaxed) {
            return Ok(());
        }
        let mut state = member.lock();
        if batch.term != state.log.term || state.follow.as_deref() != Some(addr) {
            return Ok(());
        }
        if first {
            state.log.truncate(batch.from);
            first = false;
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

/// Streams this member's log to a follower, while both are of one term.
pub fn stream_to(member: &Member, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(READ_LIMIT))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let hello: Hello = serde_json::from_str(&line)?;
    let mut sent = member.lock().log.shared(&hello.runs);
    loop {
        let batch = {
            let mut state = member.lock();
            if sent == state.log.entries.len() {
                state = member
                    .changed
                    .wait_timeout(state, HEARTBEAT)
                    .expect("lock is sound")
                    .0;
            }
            if !state.leader || state.log.term != hello.term {
                return Ok(());
            }
            Batch {
                term: hello.term,
                from: sent,
                entries: state.log.entries[sent..].to_vec(),
            }
        };
        sent += batch.entries.len();
        stream.write_all(format!("{}\n", serde_json::to_string(&batch)?).as_bytes())?;
    }
}
