//! A `PostgreSQL` connection to a member, served with blocking I/O on a thread of its own.

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

/// Buffer of outgoing messages, which are sent together.
#[derive(Default)]
struct OutBuffer(Vec<u8>);

impl OutBuffer {
    fn message(&mut self, tag: u8, body: &[u8]) {
        self.0.push(tag);
        self.0.extend(
            u32::try_from(body.len() + 4)
                .expect("the message fits in 32 bits")
                .to_be_bytes(),
        );
        self.0.extend(body);
    }

    fn reply(&mut self, reply: Reply, with_description: bool) {
        match reply {
            Reply::Rows { columns, rows } => {
                if with_description {
                    self.row_description(&columns);
                }
                for row in &rows {
                    let mut body = u16_bytes(row.len()).to_vec();
                    for val in row {
                        body.extend(
                            u32::try_from(val.len())
                                .expect("the value fits in 32 bits")
                                .to_be_bytes(),
                        );
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

    fn row_description(&mut self, columns: &[&str]) {
        let mut body = u16_bytes(columns.len()).to_vec();
        for name in columns {
            body.extend(name.as_bytes());
            body.extend([0; 7]);
            body.extend(TEXT_OID.to_be_bytes());
            body.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0]);
        }
        self.message(b'T', &body);
    }

    fn ready(&mut self, tx: &Tx) {
        let status = if tx.failed {
            b'E'
        } else {
            [b'I', b'T'][usize::from(tx.active)]
        };
        self.message(b'Z', &[status]);
    }
}

fn u16_bytes(n: usize) -> [u8; 2] {
    u16::try_from(n)
        .expect("the count fits in 16 bits")
        .to_be_bytes()
}

fn read_u32(bytes: &[u8]) -> usize {
    u32::from_be_bytes(bytes.try_into().expect("a slice of four bytes")) as usize
}

/// Splits a zero-terminated string off the front.
fn take_cstr(body: &mut &[u8]) -> String {
    let end = body.iter().position(|b| *b == 0).unwrap_or(body.len());
    let text = String::from_utf8_lossy(&body[..end]).into_owned();
    *body = &body[(end + 1).min(body.len())..];
    text
}

/// Serves a connection until it ends.
pub fn serve(member: &Arc<Member>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(Some(params)) = read_startup(member, &mut stream) else {
        return;
    };
    if params.contains(replication::STARTUP_PARAMETER) {
        let _ = replication::stream_to(member, stream);
        return;
    }
    std::thread::sleep(Duration::from_millis(member.options.open_ms));
    let mut out = OutBuffer::default();
    if member.open_connections.fetch_add(1, Ordering::Relaxed) >= member.options.max_connections {
        member.refused_connections.fetch_add(1, Ordering::Relaxed);
        out.reply(
            Reply::Failed {
                code: "53300",
                text: "too many connections".to_owned(),
            },
            false,
        );
        let _ = stream.write_all(&out.0);
    } else {
        // Injected faults must not affect the connections of the test harness itself.
        let inject_faults = !["look", "audit", "fault", "op"]
            .iter()
            .any(|u| params.contains(u));
        let _ = serve_statements(member, stream, inject_faults);
    }
    member.open_connections.fetch_sub(1, Ordering::Relaxed);
}

/// Reads the start-up message and returns its parameters as one text; `None` after a cancel
/// request.
fn read_startup(member: &Member, stream: &mut TcpStream) -> std::io::Result<Option<String>> {
    loop {
        let mut header = [0; 8];
        stream.read_exact(&mut header)?;
        let code = u32::try_from(read_u32(&header[4..])).expect("read from four bytes");
        let mut body = vec![0; read_u32(&header[..4]).saturating_sub(8).min(4096)];
        stream.read_exact(&mut body)?;
        match code {
            SSL_REQUEST => stream.write_all(b"N")?,
            CANCEL_REQUEST => {
                let key = u64::try_from(read_u32(&body[..4])).expect("read from four bytes");
                member
                    .cancelled
                    .lock()
                    .expect("the set of cancelled keys is not poisoned")
                    .insert(key);
                return Ok(None);
            }
            _ => return Ok(Some(String::from_utf8_lossy(&body).into_owned())),
        }
    }
}

/// A prepared statement bound to parameters.
struct Portal {
    sql: String,
    params: Vec<String>,
}

/// Serves a connection after its start-up message, until it ends. Any password is accepted.
#[allow(clippy::too_many_lines)]
fn serve_statements(
    member: &Member,
    mut stream: TcpStream,
    inject_faults: bool,
) -> std::io::Result<()> {
    let mut out = OutBuffer::default();
    let key = member.next_cancel_key.fetch_add(1, Ordering::Relaxed);
    let mut tx = Tx::default();
    tx.cancel_key = key;
    out.message(b'R', &[0, 0, 0, 0]);
    for (name, val) in [
        ("server_version", "16.0"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
    ] {
        out.message(b'S', format!("{name}\0{val}\0").as_bytes());
    }
    let key_bytes = u32::try_from(key)
        .expect("the cancel key fits in 32 bits")
        .to_be_bytes();
    out.message(b'K', &[key_bytes, key_bytes].concat());
    out.ready(&tx);
    stream.write_all(&out.0)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let mut prepared: HashMap<String, String> = HashMap::new();
    let mut portals: HashMap<String, Portal> = HashMap::new();
    let mut skip_to_sync = false;
    let mut last_answer = Vec::new();
    let mut delayed_answer: Option<Vec<u8>> = None;
    out.0.clear();
    loop {
        let mut header = [0; 5];
        input.read_exact(&mut header)?;
        let mut payload = vec![0; read_u32(&header[1..]).saturating_sub(4)];
        input.read_exact(&mut payload)?;
        let mut body = payload.as_slice();
        match header[0] {
            b'X' => return Ok(()),
            b'Q' => {
                let text = take_cstr(&mut body);
                for part in text.split(';').filter(|p| !p.trim().is_empty()) {
                    let reply = sql::run(member, &mut tx, part, &[]);
                    let failed = matches!(reply, Reply::Failed { .. });
                    out.reply(reply, true);
                    if failed {
                        break;
                    }
                }
                out.ready(&tx);
            }
            b'S' => {
                skip_to_sync = false;
                out.ready(&tx);
            }
            _ if skip_to_sync => {}
            b'P' => {
                let name = take_cstr(&mut body);
                prepared.insert(name, take_cstr(&mut body));
                out.message(b'1', &[]);
            }
            b'B' => {
                let (portal, name) = (take_cstr(&mut body), take_cstr(&mut body));
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
                    skip_to_sync = true;
                }
            }
            b'D' => {
                let kind = body[0];
                body = &body[1..];
                let name = take_cstr(&mut body);
                let sql = if kind == b'S' {
                    prepared.get(&name).cloned()
                } else {
                    portals.get(&name).map(|p| p.sql.clone())
                };
                describe(&mut out, kind, &sql.unwrap_or_default());
            }
            b'E' => {
                let name = take_cstr(&mut body);
                if let Some(portal) = portals.get(&name) {
                    let reply = sql::run(member, &mut tx, &portal.sql, &portal.params);
                    skip_to_sync = matches!(reply, Reply::Failed { .. });
                    out.reply(reply, false);
                } else {
                    out.reply(
                        Reply::Failed {
                            code: "34000",
                            text: "portal does not exist".to_owned(),
                        },
                        false,
                    );
                    skip_to_sync = true;
                }
            }
            b'C' => {
                let kind = body[0];
                body = &body[1..];
                let name = take_cstr(&mut body);
                if kind == b'S' {
                    prepared.remove(&name);
                }
                out.message(b'3', &[]);
            }
            _ => {}
        }
        if !matches!(header[0], b'Q' | b'S' | b'H') {
            continue;
        }
        if inject_faults && take_fault(&member.pending_lost) {
            return Ok(());
        }
        if inject_faults
            && delayed_answer.is_none()
            && !last_answer.is_empty()
            && take_fault(&member.pending_crossed)
        {
            // From now on each statement gets the answer to the one before it.
            delayed_answer = Some(last_answer.clone());
        }
        let mut answer = std::mem::take(&mut out.0);
        last_answer.clone_from(&answer);
        if let Some(delayed) = &mut delayed_answer {
            std::mem::swap(delayed, &mut answer);
        }
        stream.write_all(&answer)?;
    }
}

/// Takes one fault from a counter of pending faults; returns false if there is none.
fn take_fault(counter: &std::sync::atomic::AtomicU64) -> bool {
    counter
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
        .is_ok()
}

/// Answers a Describe message of a statement (`S`) or portal (`P`).
fn describe(out: &mut OutBuffer, kind: u8, sql: &str) {
    if kind == b'S' {
        let count = (1..=9).filter(|n| sql.contains(&format!("${n}"))).count();
        let mut body = u16_bytes(count).to_vec();
        for _ in 0..count {
            body.extend(TEXT_OID.to_be_bytes());
        }
        out.message(b't', &body);
    }
    let columns = sql::columns(sql);
    if columns.is_empty() {
        out.message(b'n', &[]);
    } else {
        out.row_description(&columns);
    }
}

/// Parameter values of a Bind message, as text.
fn bind_values(body: &[u8]) -> Vec<String> {
    let read_u16 = |at: usize| {
        body.get(at..at + 2)
            .map_or(0, |b| usize::from(u16::from_be_bytes([b[0], b[1]])))
    };
    let mut at = 2 + 2 * read_u16(0);
    let count = read_u16(at);
    at += 2;
    let mut values = Vec::new();
    for _ in 0..count {
        let Some(len) = body.get(at..at + 4).map(read_u32) else {
            break;
        };
        at += 4;
        if len == u32::MAX as usize {
            values.push(String::new());
            continue;
        }
        values.push(
            body.get(at..at + len)
                .map_or(String::new(), |v| String::from_utf8_lossy(v).into_owned()),
        );
        at += len;
    }
    values
}
