//! Stand-in of a service: one primary and two replicas that receive and apply each commit at once.
//! It runs single reads and writes, and answers the control commands.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const SERVICE: &str = "huvo11a";

#[derive(Default)]
pub struct Log {
    position: u64,
    data: HashMap<String, String>,
    /// What the members have run: member, id, text.
    pub runs: Vec<(String, String, String)>,
}

pub struct Member {
    pub id: String,
    pub addr: String,
    pub is_primary: bool,
    log: Arc<Mutex<Log>>,
    conns: AtomicUsize,
    paused: Mutex<u64>,
}

pub fn start_service(log: &Arc<Mutex<Log>>, count: usize) -> Vec<Arc<Member>> {
    (0..count)
        .map(|n| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let member = Arc::new(Member {
                id: format!("i-7f3a91c{n}"),
                addr: listener.local_addr().unwrap().to_string(),
                is_primary: n == 0,
                log: log.clone(),
                conns: AtomicUsize::new(0),
                paused: Mutex::new(0),
            });
            let shared = member.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let member = shared.clone();
                    std::thread::spawn(move || {
                        member.conns.fetch_add(1, Ordering::SeqCst);
                        let _ = member.serve(stream);
                        member.conns.fetch_sub(1, Ordering::SeqCst);
                    });
                }
            });
            member
        })
        .collect()
}

impl Member {
    /// The member's entry in the store.
    pub fn record(&self, zone: &str) -> String {
        let role = if self.is_primary { "primary" } else { "replica" };
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"cold_remaining_ms\":0,\"db_role\":\"{role}\",\"sequence\":1}}",
            self.addr
        )
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        input.read_line(&mut line)?;
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let is_right = words.len() >= 3 && words[0] == "CONNECT" && words[1] == SERVICE;
        if !is_right || words.get(3).is_some_and(|id| *id != self.id) {
            return out.write_all(format!("ERROR WRONGNODE {}\r\n", self.id).as_bytes());
        }
        std::thread::sleep(Duration::from_millis(12));
        out.write_all(self.ready().as_bytes())?;
        loop {
            line.clear();
            if input.read_line(&mut line)? == 0 || line.starts_with("CLOSE") {
                return Ok(());
            }
            let answer = self.run(line.trim_end_matches(['\r', '\n']));
            out.write_all((answer + &self.ready()).as_bytes())?;
        }
    }

    fn ready(&self) -> String {
        format!("READY I 3.{}\r\n", self.log.lock().unwrap().position)
    }

    fn run(&self, line: &str) -> String {
        let mut fields = line.splitn(3, ' ');
        let (_, id, text) = (fields.next(), fields.next().unwrap_or(""), fields.next().unwrap_or(""));
        let text = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map_or("", |(_, t)| t),
            None => text,
        };
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        match words[0] {
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                match words[0] {
                    "PAUSE" => *self.paused.lock().unwrap() = words[1].parse().unwrap_or(0),
                    "RESUME" => *self.paused.lock().unwrap() = 0,
                    _ => {}
                }
                let role = if self.is_primary { "primary" } else { "replica" };
                let position = self.log.lock().unwrap().position;
                let (paused, conns) = (*self.paused.lock().unwrap(), self.conns.load(Ordering::SeqCst));
                format!("ROW {role} 3 3.{position} {paused} 0 0 {conns}\r\nCOMPLETE -\r\n")
            }
            "READ" if words.len() > 1 => {
                std::thread::sleep(Duration::from_millis(5));
                let mut log = self.log.lock().unwrap();
                log.runs.push((self.id.clone(), id.to_owned(), text.to_owned()));
                let row = log.data.get(words[1]).cloned().unwrap_or_else(|| "none".to_owned());
                format!("ROW {row}\r\nCOMPLETE 3.{}.{id}\r\n", self.id)
            }
            "WRITE" if words.len() > 2 && self.is_primary => {
                std::thread::sleep(Duration::from_millis(5));
                let mut log = self.log.lock().unwrap();
                log.runs.push((self.id.clone(), id.to_owned(), text.to_owned()));
                log.position += 1;
                log.data.insert(words[1].to_owned(), words[2].to_owned());
                format!("COMPLETE 3.{}.{id}\r\n", self.id)
            }
            "WRITE" => format!("ERROR READONLY {}\r\n", self.id),
            "SET" | "PREPARE" | "DEALLOC" | "RESET" => "COMPLETE -\r\n".to_owned(),
            _ => "ERROR MALFORMED no such statement here\r\n".to_owned(),
        }
    }
}
