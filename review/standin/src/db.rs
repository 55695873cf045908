//! Stand-in of a service with `sync_replicas` 1: a primary and replicas with logs, as PROTOCOL.md
//! ("Members") describes them. A member that is down closes its connections.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::Record;

pub const SERVICE: &str = "huvo11a";

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub id: String,
    pub text: String,
}

struct State {
    is_up: bool,
    is_primary: bool,
    /// Receives nothing from the primary.
    is_deaf: bool,
    term: u64,
    paused: u64,
    log: Vec<Entry>,
    conns: usize,
    /// Number of starts; connections of an earlier one are closed.
    starts: u64,
    /// Since when a demotable primary can reach the newer one.
    reaches_newer_since: Option<Instant>,
}

pub struct Member {
    pub id: String,
    pub addr: String,
}

pub struct Service {
    pub members: Vec<Member>,
    states: Mutex<Vec<State>>,
    changed: Condvar,
    record: Record,
    /// What each promotion began with: member, term, log.
    pub promoted: Mutex<Vec<(String, u64, Vec<Entry>)>>,
}

fn position(log: &[Entry]) -> String {
    log.last().map_or("0.0".to_owned(), |e| format!("{}.{}", e.term, log.len()))
}

impl Service {
    pub fn start(record: &Record, count: usize) -> Arc<Service> {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let member = |(n, l): (usize, &TcpListener)| Member {
            id: format!("i-7f3a91c{n}"),
            addr: l.local_addr().unwrap().to_string(),
        };
        let state = |n| State {
            is_up: true,
            is_primary: n == 0,
            is_deaf: false,
            term: 3,
            paused: 0,
            log: vec![Entry { term: 3, id: "-".to_owned(), text: "the data of before".to_owned() }],
            conns: 0,
            starts: 1,
            reaches_newer_since: None,
        };
        let service = Arc::new(Service {
            members: listeners.iter().enumerate().map(member).collect(),
            states: Mutex::new((0..count).map(state).collect()),
            changed: Condvar::new(),
            record: record.clone(),
            promoted: Mutex::default(),
        });
        for (n, listener) in listeners.into_iter().enumerate() {
            let service = service.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let service = service.clone();
                    std::thread::spawn(move || service.accept(n, stream));
                }
            });
        }
        let replicating = service.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(10));
            replicating.replicate(&mut replicating.states.lock().unwrap());
            replicating.changed.notify_all();
        });
        service
    }

    /// The member's entry in the store.
    pub fn entry(&self, n: usize, zone: &str, born: u64, sequence: u64, state: &str) -> String {
        let role = if self.states.lock().unwrap()[n].is_primary { "primary" } else { "replica" };
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":2,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"db_role\":\"{role}\",\"sequence\":{sequence},\"born\":{born}}}",
            self.members[n].addr
        )
    }

    pub fn set_deaf(&self, n: usize, is_deaf: bool) {
        self.states.lock().unwrap()[n].is_deaf = is_deaf;
        self.record.add(&format!("{}: receives {}", self.members[n].id, if is_deaf { "nothing" } else { "again" }));
    }

    pub fn crash(&self, n: usize) {
        let mut states = self.states.lock().unwrap();
        states[n].is_up = false;
        states[n].conns = 0;
        self.record.add(&format!("{}: crashes at {}", self.members[n].id, position(&states[n].log)));
        drop(states);
        self.changed.notify_all();
    }

    /// Starts a member again, with its log or with nothing of before.
    pub fn restart(&self, n: usize, keeps_log: bool) {
        let mut states = self.states.lock().unwrap();
        let newest = states.iter().map(|s| s.term).max().unwrap_or(0);
        let state = &mut states[n];
        // A primary comes back as a replica if another member was promoted.
        state.is_primary &= state.term == newest;
        if !keeps_log {
            state.log.clear();
            state.term = 0;
        }
        (state.is_up, state.paused, state.starts) = (true, 0, state.starts + 1);
        self.record.add(&format!("{}: starts again at {}", self.members[n].id, position(&state.log)));
    }

    /// Ids of the entries in a member's log.
    pub fn ids(&self, n: usize) -> HashSet<String> {
        self.states.lock().unwrap()[n].log.iter().map(|e| e.id.clone()).collect()
    }

    /// The platform's `POST /failover`, which has its effect 300 ms later.
    pub fn promote(self: &Arc<Self>, id: &str) -> u16 {
        let Some(n) = self.members.iter().position(|m| m.id == id) else {
            return 409;
        };
        let states = self.states.lock().unwrap();
        if !states[n].is_up {
            return 409;
        }
        let newest = states.iter().map(|s| s.term).max().unwrap_or(0);
        if states[n].is_primary && states[n].term == newest {
            return 200;
        }
        drop(states);
        let service = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(300));
            let mut states = service.states.lock().unwrap();
            let term = states.iter().map(|s| s.term).max().unwrap_or(0) + 1;
            let state = &mut states[n];
            if !state.is_up {
                return;
            }
            (state.is_primary, state.term, state.paused) = (true, term, 0);
            let (id, log) = (&service.members[n].id, state.log.clone());
            service.record.add(&format!("{id}: leads term {term} from {}", position(&log)));
            service.promoted.lock().unwrap().push((id.clone(), term, log));
        });
        200
    }

    /// Passes the log of the newest running primary on to the replicas that receive it.
    fn replicate(&self, states: &mut [State]) {
        let newest = (0..states.len()).filter(|n| states[*n].is_up && states[*n].is_primary);
        let Some(leader) = newest.max_by_key(|n| states[*n].term) else {
            return;
        };
        let (term, log) = (states[leader].term, states[leader].log.clone());
        for (n, state) in states.iter_mut().enumerate() {
            if n == leader || !state.is_up {
                continue;
            }
            if state.is_primary {
                let since = *state.reaches_newer_since.get_or_insert_with(Instant::now);
                if since.elapsed() < Duration::from_secs(1) {
                    continue;
                }
                (state.is_primary, state.reaches_newer_since) = (false, None);
                self.record.add(&format!("{}: follows term {term}", self.members[n].id));
            }
            if !state.is_deaf && state.paused == 0 && term >= state.term {
                (state.term, state.log) = (term, log.clone());
            }
        }
    }

    fn accept(&self, n: usize, stream: TcpStream) {
        let mut states = self.states.lock().unwrap();
        if !states[n].is_up {
            return;
        }
        states[n].conns += 1;
        let start = states[n].starts;
        drop(states);
        let _ = self.serve(n, start, stream);
        let mut states = self.states.lock().unwrap();
        if states[n].starts == start && states[n].is_up {
            states[n].conns -= 1;
        }
    }

    fn is_running(&self, n: usize, start: u64) -> bool {
        let states = self.states.lock().unwrap();
        states[n].is_up && states[n].starts == start
    }

    fn serve(&self, n: usize, start: u64, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(20)))?;
        let mut out = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        let Some(line) = self.read_line(n, start, &mut input)? else {
            return Ok(());
        };
        let words: Vec<&str> = line.split(' ').collect();
        let is_right = words.len() >= 3 && words[0] == "CONNECT" && words[1] == SERVICE;
        if !is_right || words.get(3).is_some_and(|id| *id != self.members[n].id) {
            return out.write_all(format!("ERROR WRONGNODE {}\r\n", self.members[n].id).as_bytes());
        }
        std::thread::sleep(Duration::from_millis(12));
        out.write_all(self.ready(n).as_bytes())?;
        while let Some(line) = self.read_line(n, start, &mut input)? {
            if line.starts_with("CLOSE") {
                return Ok(());
            }
            let answer = self.run(n, start, &line);
            if !self.is_running(n, start) {
                return Ok(());
            }
            out.write_all((answer + &self.ready(n)).as_bytes())?;
        }
        Ok(())
    }

    /// The next line; `None` at the end of the connection, or when the member is down.
    fn read_line(&self, n: usize, start: u64, input: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
        let mut line = String::new();
        loop {
            match input.read_line(&mut line) {
                Ok(0) => return Ok(None),
                Ok(_) => return Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned())),
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                    if !self.is_running(n, start) {
                        return Ok(None);
                    }
                }
                Err(e) => return Err(e),
            }
        }
    }

    fn ready(&self, n: usize) -> String {
        format!("READY I {}\r\n", position(&self.states.lock().unwrap()[n].log))
    }

    fn run(&self, n: usize, start: u64, line: &str) -> String {
        let mut fields = line.splitn(3, ' ');
        let (_, id, text) = (fields.next(), fields.next().unwrap_or(""), fields.next().unwrap_or(""));
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        let member = &self.members[n].id;
        match words[0] {
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                let term: u64 = words.get(1).and_then(|w| w.parse().ok()).unwrap_or(0);
                let mut states = self.states.lock().unwrap();
                let state = &mut states[n];
                match words[0] {
                    "PAUSE" if !state.is_primary && term > state.term => state.paused = term,
                    "RESUME" => state.paused = 0,
                    "DEMOTE" if state.is_primary && state.term < term => state.is_primary = false,
                    _ => {}
                }
                let role = if state.is_primary { "primary" } else { "replica" };
                let (position, conns) = (position(&state.log), state.conns);
                if words[0] != "STATUS" {
                    self.record.add(&format!("{member}: {text} -> {role} {} {position} {}", state.term, state.paused));
                }
                format!("ROW {role} {} {position} {} 0 0 {conns}\r\nCOMPLETE -\r\n", state.term, state.paused)
            }
            "WRITE" if words.len() > 2 => {
                std::thread::sleep(Duration::from_millis(4));
                self.write(n, start, id, text)
            }
            "SET" | "PREPARE" | "DEALLOC" | "RESET" => "COMPLETE -\r\n".to_owned(),
            _ => "ERROR MALFORMED no such statement here\r\n".to_owned(),
        }
    }

    /// Commits a write once one replica has received it; waits as long as none does.
    fn write(&self, n: usize, start: u64, id: &str, text: &str) -> String {
        let member = &self.members[n].id;
        let mut states = self.states.lock().unwrap();
        if !states[n].is_primary || !states[n].is_up || states[n].starts != start {
            return format!("ERROR READONLY {member}\r\n");
        }
        let term = states[n].term;
        let entry = Entry { term, id: id.to_owned(), text: text.to_owned() };
        states[n].log.push(entry.clone());
        let at = states[n].log.len() - 1;
        self.replicate(&mut states);
        loop {
            let is_lost = !states[n].is_up || states[n].starts != start || !states[n].is_primary;
            if is_lost || states[n].log.get(at) != Some(&entry) {
                return "ERROR FAILED the member has lost the lead\r\n".to_owned();
            }
            let has_it = |(m, s): (usize, &State)| m != n && s.is_up && s.log.get(at) == Some(&entry);
            if states.iter().enumerate().any(has_it) {
                return format!("COMPLETE {term}.{member}.{id}\r\n");
            }
            states = self.changed.wait_timeout(states, Duration::from_millis(20)).unwrap().0;
        }
    }
}
