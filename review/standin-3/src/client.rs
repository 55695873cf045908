//! A caller's session.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub struct Client {
    reader: BufReader<TcpStream>,
    record: Arc<Record>,
    name: String,
}

/// An answer: its rows, its end as a line, and the transaction state. An answer that does not come has
/// the end `NONE`.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub rows: Vec<String>,
    pub end: String,
    pub state: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.end.starts_with("COMPLETE")
    }
}

impl Client {
    /// Opens a session without a key; `Err` holds the refusal.
    pub fn connect(
        addr: SocketAddr,
        database: &str,
        record: &Arc<Record>,
    ) -> Result<Client, String> {
        Client::connect_with_key(addr, database, "u1", record)
    }

    /// Opens a session with a key; `Err` holds the refusal.
    pub fn connect_with_key(
        addr: SocketAddr,
        database: &str,
        key: &str,
        record: &Arc<Record>,
    ) -> Result<Client, String> {
        let stream = TcpStream::connect(addr).map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut client = Client {
            reader: BufReader::new(stream),
            record: record.clone(),
            name: format!("{addr} {database}"),
        };
        client.send_line(&format!("CONNECT {database} {key}"));
        let line = client.read_line();
        if line.starts_with("READY") {
            Ok(client)
        } else {
            Err(line)
        }
    }

    pub fn send_line(&mut self, line: &str) -> bool {
        self.reader
            .get_mut()
            .write_all(format!("{line}\r\n").as_bytes())
            .is_ok()
    }

    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        let n = self.reader.read_line(&mut line).unwrap_or(0);
        if n == 0 {
            "NONE".into()
        } else {
            line.trim_end().into()
        }
    }

    /// Sends a statement under a new identifier, which it returns.
    pub fn send(&mut self, text: &str) -> String {
        let id = format!("q{:06}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        self.record
            .line(&format!("client {} sends {id} {text}", self.name));
        self.send_line(&format!("QUERY {id} {text}"));
        id
    }

    pub fn receive(&mut self, id: String) -> Answer {
        let mut answer = Answer {
            id,
            rows: Vec::new(),
            end: "NONE".into(),
            state: "-".into(),
        };
        loop {
            let line = self.read_line();
            if let Some(row) = line.strip_prefix("ROW ") {
                answer.rows.push(row.into());
            } else if let Some(state) = line.strip_prefix("READY ") {
                answer.state = state.into();
                break;
            } else {
                answer.end.clone_from(&line);
                if line == "NONE" {
                    break;
                }
            }
        }
        self.record.line(&format!(
            "client {} gets {} {:?} {} {}",
            self.name, answer.id, answer.rows, answer.end, answer.state
        ));
        answer
    }

    pub fn run(&mut self, text: &str) -> Answer {
        let id = self.send(text);
        self.receive(id)
    }
}
