//! One `PostgreSQL` connection to a member, straight down on a thread of its own.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::member::Member;
use crate::replication;
use crate::sql::{self, Reply, Tx};

const SSL_REQUEST: u32 = 80_877_103;
const CANCEL_REQUEST: u32 = 80_877_102;
const TEXT_OID: u32 = 25;

/// Answers in the making; messages are added and sent together.
#[derive(Default)]
struct Out(Vec<u8>);

impl Out {
    fn message(&mut self, tag: u8, body: &[u8]) {
        self.0.push(tag);
        self.0
            .extend(u32::try_from(body.len() + 4).expect("short").to_be_bytes());
        self.0.extend(body);
    }

    fn reply(&mut self, reply: Reply, describe: bool) {
        match reply {
            Reply::Rows { names, rows } => {
                if describe {
                    self.row_description(&names);
                }
                for row in &rows {
                    let mut body = short(row.len()).to_vec();
                    for val in row {
                        body.extend(u32::try_from(val.len()).expect("short").to_be_bytes());
                        body.extend(val.as_bytes());
                    }
                    self.message(b'D', &body);
                }
                self.message(b'C', format!("SELECT {}\0", rows.len()).as_bytes());
            }
            Reply::Done(tag) if tag.is_empty() => self.message(b'I', &[]),
            Reply::Done(tag) => self.message(b'C', format!("{tag}\0").as_bytes()),
            Reply::Failed { code, text } => {
                self.message(
                    b'E',
                    format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes(),
                );
            }
        }
    }

    fn row_description(&mut self, names: &[&str]) {
        let mut body = short(names.len()).to_vec();
        for name in names {
            body.extend(name.as_bytes());
            body.extend([0; 7]);
            body.extend(TEXT_OID.to_be_bytes());
            body.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0]);
        }
        self.message(b'T', &body);
    }

    fn ready(&mut self, tx: &Tx) {
        let state = if tx.failed {
            b'E'
        } else {
            [b'I', b'T'][usize::from(tx.open)]
        };
        self.message(b'Z', &[state]);
    }
}

fn short(n: usize) -> [u8; 2] {
    u16::try_from(n).expect("short").to_be_bytes()
}

fn long(bytes: &[u8]) -> usize {
    u32::from_be_bytes(bytes.try_into().expect("four bytes")) as usize
}

/// Takes a zero-terminated string from the front.
fn cstr(body: &mut &[u8]) -> String {
    let end = body.iter().position(|b| *b == 0).unwrap_or(body.len());
    let text = String::from_utf8_lossy(&body[..end]).into_owned();
    *body = &body[(end + 1).min(body.len())..];
    text
}

/// Serves one connection until it ends.
pub fn serve(member: &Arc<Member>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(Some(params)) = read_startup(member, &mut stream) else {
        return;
    };
    if params.contains(replication::PARAMETER) {
        let _ = replication::stream_to(member, stream);
        return;
    }
    std::thread::sleep(Duration::from_millis(member.options.open_ms));
    let mut out = Out::default();
    if member.open.fetch_add(1, Ordering::Relaxed) >= member.options.limit {
        member.refused.fetch_add(1, Ordering::Relaxed);
        out.reply(
            Reply::Failed {
                code: "53300",
                text: "too many connections".to_owned(),
            },
            false,
        );
        let _ = stream.write_all(&out.0);
    } else {
        // The harness itself looks on without faults.
        let faulty = !["look", "audit", "fault", "op"]
            .iter()
            .any(|u| params.contains(u));
        let _ = statements(member, stream, faulty);
    }
    member.open.fetch_sub(1, Ordering::Relaxed);
}

fn read_startup(member: &Member, stream: &mut TcpStream) -> std::io::Result<Option<String>> {
    loop {
        let mut head = [0; 8];
        stream.read_exact(&mut head)?;
        let code = u32::try_from(long(&head[4..])).expect("four bytes");
        let mut body = vec![0; long(&head[..4]).saturating_sub(8).min(4096)];
        stream.read_exact(&mut body)?;
        match code {
            SSL_REQUEST => stream.write_all(b"N")?,
            CANCEL_REQUEST => {
                let key = u64::try_from(long(&body[..4])).expect("four bytes");
                member.cancelled.lock().expect("lock is sound").insert(key);
                return Ok(None);
            }
            _ => return Ok(Some(String::from_utf8_lossy(&body).into_owned())),
        }
    }
}

struct Portal {
    sql: String,
    params: Vec<String>,
}

#[allow(clippy::too_many_lines)]
fn statements(member: &Member, mut stream: TcpStream, faulty: bool) -> std::io::Result<()> {
    let mut out = Out::default();
    let key = member.next_key.fetch_add(1, Ordering::Relaxed);
    let mut tx = Tx::default();
    tx.key = key;
    out.message(b'R', &[0, 0, 0, 0]);
    for (name, val) in [
        ("server_version", "16.0"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
    ] {
        out.message(b'S', format!("{name}\0{val}\0").as_bytes());
    }
    let low = u32::try_from(key).expect("few connections").to_be_bytes();
    out.message(b'K', &[low, low].concat());
    out.ready(&tx);
    stream.write_all(&out.0)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let mut prepared: HashMap<String, String> = HashMap::new();
    let mut portals: HashMap<String, Portal> = HashMap::new();
    let mut skip = false;
    let mut last = Vec::new();
    let mut held: Option<Vec<u8>> = None;
    out.0.clear();
    loop {
        let mut head = [0; 5];
        input.read_exact(&mut head)?;
        let mut raw = vec![0; long(&head[1..]).saturating_sub(4)];
        input.read_exact(&mut raw)?;
        let mut body = raw.as_slice();
        match head[0] {
            b'X' => return Ok(()),
            b'Q' => {
                let text = cstr(&mut body);
                for part in text.split(';').filter(|p| !p.trim().is_empty()) {
                    let reply = sql::run(member, &mut tx, part, &[]);
                    let stop = matches!(reply, Reply::Failed { .. });
                    out.reply(reply, true);
                    if stop {
                        break;
                    }
                }
                out.ready(&tx);
            }
            b'S' => {
                skip = false;
                out.ready(&tx);
            }
            _ if skip => {}
            b'P' => {
                let name = cstr(&mut body);
                prepared.insert(name, cstr(&mut body));
                out.message(b'1', &[]);
            }
            b'B' => {
                let (portal, name) = (cstr(&mut body), cstr(&mut body));
                if let Some(sql) = prepared.get(&name).cloned() {
                    portals.insert(
                        portal,
                        Portal {
                            sql,
                            params: bind_values(body),
                        },
                    );
                    out.message(b'2', &[]);
                } else {
                    out.reply(
                        Reply::Failed {
                            code: "26000",
                            text: format!("prepared statement {name:?} does not exist"),
                        },
                        false,
                    );
                    skip = true;
                }
            }
            b'D' => {
                let kind = body[0];
                body = &body[1..];
                let name = cstr(&mut body);
                let sql = if kind == b'S' {
                    prepared.get(&name).cloned()
                } else {
                    portals.get(&name).map(|p| p.sql.clone())
                };
                describe(&mut out, kind, &sql.unwrap_or_default());
            }
            b'E' => {
                let name = cstr(&mut body);
                if let Some(portal) = portals.get(&name) {
                    let reply = sql::run(member, &mut tx, &portal.sql, &portal.params);
                    skip = matches!(reply, Reply::Failed { .. });
                    out.reply(reply, false);
                } else {
                    out.reply(
                        Reply::Failed {
                            code: "34000",
                            text: "portal does not exist".to_owned(),
                        },
                        false,
                    );
                    skip = true;
                }
            }
            b'C' => {
                let kind = body[0];
                body = &body[1..];
                let name = cstr(&mut body);
                if kind == b'S' {
                    prepared.remove(&name);
                }
                out.message(b'3', &[]);
            }
            _ => {}
        }
        if !matches!(head[0], b'Q' | b'S' | b'H') {
            continue;
        }
        if faulty && take(&member.lose) {
            return Ok(());
        }
        if faulty && held.is_none() && !last.is_empty() && take(&member.crossed) {
            // From here on each statement gets the answer to the one before it.
            held = Some(last.clone());
        }
        let mut bytes = std::mem::take(&mut out.0);
        last.clone_from(&bytes);
        if let Some(late) = &mut held {
            std::mem::swap(late, &mut bytes);
        }
        stream.write_all(&bytes)?;
    }
}

/// Takes one from a counter of faults to bring about.
fn take(counter: &std::sync::atomic::AtomicU64) -> bool {
    counter
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
        .is_ok()
}

fn describe(out: &mut Out, kind: u8, sql: &str) {
    if kind == b'S' {
        let count = (1..=9).filter(|n| sql.contains(&format!("${n}"))).count();
        let mut body = short(count).to_vec();
        for _ in 0..count {
            body.extend(TEXT_OID.to_be_bytes());
        }
        out.message(b't', &body);
    }
    let names = sql::columns(sql);
    if names.is_empty() {
        out.message(b'n', &[]);
    } else {
        out.row_description(&names);
    }
}

/// Parameter values of a Bind message, read as text.
fn bind_values(body: &[u8]) -> Vec<String> {
    let word = |at: usize| {
        body.get(at..at + 2)
            .map_or(0, |b| usize::from(u16::from_be_bytes([b[0], b[1]])))
    };
    let mut at = 2 + 2 * word(0);
    let count = word(at);
    at += 2;
    let mut out = Vec::new();
    for _ in 0..count {
        let Some(len) = body.get(at..at + 4).map(long) else {
            break;
        };
        at += 4;
        if len == u32::MAX as usize {
            out.push(String::new());
            continue;
        }
        out.push(
            body.get(at..at + len)
                .map_or(String::new(), |v| String::from_utf8_lossy(v).into_owned()),
        );
        at += len;
    }
    out
}
