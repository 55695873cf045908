//! A service of database members with their logs, and the platform's failover API.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::json::Json;
use crate::record::Record;
use crate::store::{Store, read_request, write_response};

/// Heartbeat interval of the members, in ms; an entry is removed after three intervals of silence.
const HEARTBEAT_MS: u64 = 1200;
/// Time from an accepted order to its effect, in ms.
const PROMOTE_MS: u64 = 1000;
/// Time after which an old primary that reaches the new one becomes a replica, in ms.
const STEP_DOWN_MS: u128 = 1000;
/// Run time of a read, write or commit, in ms.
const STATEMENT_MS: u64 = 4;
/// Time after which a commit without a replica's receipt gets `TIMEOUT`, in ms.
const REPLICATION_TIMEOUT_MS: u64 = 5000;

/// Term and number.
pub type Pos = (u64, u64);

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub pos: Pos,
    /// Identifier of the statement that committed it, and its writes as item and data.
    pub id: String,
    pub writes: Vec<(String, String)>,
}

pub struct Member {
    pub id: String,
    pub addr: SocketAddr,
    pub up: bool,
    pub is_primary: bool,
    pub term: u64,
    pub fenced: u64,
    pub born: u64,
    pub log: Vec<Entry>,
    conns: u64,
    /// Number of starts; connections of an earlier one are closed.
    starts: u64,
    last_beat: Instant,
    sequence: u64,
    /// Start and role in its entry; `None` while it has no entry.
    shown: Option<(u64, bool)>,
    /// Since when it is an old primary that reaches the new one.
    old_since: Option<Instant>,
}

pub struct Promoted {
    pub id: String,
    pub term: u64,
    pub log: Vec<Entry>,
}

/// A read, write or commit that a member ran.
pub struct Run {
    pub at: Instant,
    pub member: String,
    pub conn: u64,
    /// Who opened the connection, as its `CONNECT` says.
    pub from: String,
    pub id: String,
}

#[derive(Default)]
pub struct State {
    pub members: Vec<Member>,
    pub promoted: Vec<Promoted>,
    /// Statements that ran, oldest first.
    pub runs: Vec<Run>,
    /// When each daemon last asked a member for its status.
    pub probes: BTreeMap<String, Instant>,
    /// Orders seen by the platform: holder, token, member.
    pub orders: Vec<(String, u64, String)>,
}

pub struct Service {
    pub name: String,
    pub state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    streams: Mutex<BTreeMap<usize, Vec<TcpStream>>>,
    next_conn: Mutex<u64>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock");
    u64::try_from(now.as_millis()).expect("fits")
}

fn end(log: &[Entry]) -> Pos {
    log.last().map_or((0, 0), |e| e.pos)
}

fn pos_text(pos: Pos) -> String {
    format!("{}.{}", pos.0, pos.1)
}

impl Service {
    /// The daemons that have asked a member for its status within the last second: those that serve the
    /// service.
    pub fn probers(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let recent = state
            .probes
            .iter()
            .filter(|(_, at)| at.elapsed().as_secs() < 1);
        recent.map(|(name, _)| name.clone()).collect()
    }

    /// The run of a statement, if a member ran it.
    pub fn run_of(&self, id: &str) -> Option<(Instant, String)> {
        let state = self.state.lock().unwrap();
        state
            .runs
            .iter()
            .find(|r| r.id == id)
            .map(|r| (r.at, r.from.clone()))
    }

    /// Starts a service, the first member of which is the primary of term 1.
    pub fn start(
        name: &str,
        count: usize,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Service> {
        let listeners: Vec<TcpListener> = (0..count)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let members = listeners.iter().enumerate().map(|(i, l)| Member {
            id: format!("{name}-m{i}"),
            addr: l.local_addr().expect("an address"),
            up: true,
            is_primary: i == 0,
            term: 1,
            fenced: 0,
            born: unix_ms(),
            log: Vec::new(),
            conns: 0,
            starts: 1,
            last_beat: Instant::now(),
            sequence: 0,
            shown: None,
            old_since: None,
        });
        let service = Arc::new(Service {
            name: name.into(),
            state: Mutex::new(State {
                members: members.collect(),
                ..State::default()
            }),
            changed: Condvar::new(),
            store: store.clone(),
            record: record.clone(),
            streams: Mutex::default(),
            next_conn: Mutex::new(0),
        });
        for (i, listener) in listeners.into_iter().enumerate() {
            let own = service.clone();
            std::thread::spawn(move || own.accept(i, listener));
        }
        for task in [Service::replicate as fn(&Service), Service::beat] {
            let own = service.clone();
            std::thread::spawn(move || {
                loop {
                    std::thread::sleep(Duration::from_millis(2));
                    task(&own);
                }
            });
        }
        service
    }

    fn log_event(&self, text: &str) {
        self.record.line(&format!("member {text}"));
    }

    /// The member ends: its connections close, and it sends nothing to the store any more.
    pub fn crash(&self, i: usize) {
        let mut state = self.state.lock().unwrap();
        let m = &mut state.members[i];
        m.up = false;
        m.starts += 1;
        m.fenced = 0;
        let text = format!("{} crashed, log end {}", m.id, pos_text(end(&m.log)));
        drop(state);
        for stream in self.streams.lock().unwrap().remove(&i).unwrap_or_default() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
        self.log_event(&text);
    }

    /// The member starts again under its identifier; with `is_empty` it knows nothing of before.
    pub fn restart(&self, i: usize, is_empty: bool) {
        let mut state = self.state.lock().unwrap();
        let has_successor = !state.promoted.is_empty();
        let m = &mut state.members[i];
        m.is_primary &= !has_successor;
        m.up = true;
        m.born = unix_ms();
        m.sequence = 0;
        if is_empty {
            m.log.clear();
            m.term = 0;
            m.is_primary = false;
        }
        let text = format!("{} started again, log end {}", m.id, pos_text(end(&m.log)));
        drop(state);
        self.publish(i);
        self.changed.notify_all();
        self.log_event(&text);
    }

    /// Writes the entries of all members that are up again, after a restore of the store.
    pub fn publish_again(&self) {
        let mut up = Vec::new();
        for (i, m) in self.state.lock().unwrap().members.iter_mut().enumerate() {
            m.shown = None;
            if m.up {
                up.push(i);
            }
        }
        up.into_iter().for_each(|i| self.publish(i));
    }

    /// The member that leads the newest term, once it is up and another one follows it.
    pub fn leader(&self) -> Option<usize> {
        let state = self.state.lock().unwrap();
        let newest = state.members.iter().map(|m| m.term).max()?;
        let leads = |m: &Member| m.up && m.is_primary && m.term == newest;
        state.members.iter().position(leads)
    }

    /// Writes the member's entry into the store.
    pub fn publish(&self, i: usize) {
        let mut state = self.state.lock().unwrap();
        let m = &mut state.members[i];
        m.sequence += 1;
        m.last_beat = Instant::now();
        // An entry changes only when more than `sequence` does.
        let shown = (m.born, m.is_primary);
        if m.shown == Some(shown) {
            return;
        }
        m.shown = Some(shown);
        let entry = Json::obj(&[
            ("service", Json::str(&self.name)),
            ("address", Json::str(&m.addr.to_string())),
            ("zone", Json::str(&format!("z{}", i % 3))),
            ("version", Json::str("v1")),
            ("slots", Json::num(2)),
            ("state", Json::str("ready")),
            ("cold_remaining_ms", Json::num(0)),
            (
                "db_role",
                Json::str(if m.is_primary { "primary" } else { "replica" }),
            ),
            ("born", Json::num(m.born)),
            ("sequence", Json::num(m.sequence)),
        ]);
        let id = m.id.clone();
        drop(state);
        self.store.put("servers", &id, &entry, None);
    }

    /// Renews the entries of the members that are up, and removes those of the others in time.
    fn beat(&self) {
        let mut due = Vec::new();
        let mut gone = Vec::new();
        for (i, m) in self.state.lock().unwrap().members.iter_mut().enumerate() {
            let silent_ms = m.last_beat.elapsed().as_millis();
            if m.up && (silent_ms >= u128::from(HEARTBEAT_MS) || m.sequence == 0) {
                due.push(i);
            }
            if !m.up && silent_ms >= u128::from(3 * HEARTBEAT_MS) {
                m.shown = None;
                gone.push(m.id.clone());
            }
        }
        due.into_iter().for_each(|i| self.publish(i));
        for id in gone {
            if self.store.remove("servers", &id) {
                self.log_event(&format!("{id} removed from the store"));
            }
        }
    }

    /// Replicas follow the newest primary; an old one steps down after a second.
    fn replicate(&self) {
        let mut state = self.state.lock().unwrap();
        let primaries = state.members.iter().filter(|m| m.up && m.is_primary);
        let Some(primary) = primaries.max_by_key(|m| m.term) else {
            return;
        };
        let (term, log, id) = (primary.term, primary.log.clone(), primary.id.clone());
        let mut changed = false;
        for m in &mut state.members {
            if m.up && m.is_primary && m.term < term {
                let since = *m.old_since.get_or_insert_with(Instant::now);
                if since.elapsed().as_millis() >= STEP_DOWN_MS {
                    (m.is_primary, m.old_since) = (false, None);
                }
            }
            if m.id == id || !m.up || m.fenced > 0 || m.term > term || m.is_primary {
                continue;
            }
            m.term = term;
            if m.log != log {
                m.log.clone_from(&log);
                changed = true;
            }
        }
        drop(state);
        if changed {
            self.changed.notify_all();
        }
    }

    fn accept(self: Arc<Service>, i: usize, listener: TcpListener) {
        let addr = listener.local_addr().expect("an address");
        let mut listener = Some(listener);
        loop {
            let up = self.state.lock().unwrap().members[i].up;
            match (&listener, up) {
                (Some(_), false) => listener = None,
                (None, true) => listener = TcpListener::bind(addr).ok(),
                _ => {}
            }
            let Some(open) = &listener else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            open.set_nonblocking(true).expect("non-blocking");
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.streams
                            .lock()
                            .unwrap()
                            .entry(i)
                            .or_default()
                            .push(copy);
                    }
                    let service = self.clone();
                    std::thread::spawn(move || service.serve(i, stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, i: usize, stream: TcpStream) {
        let Ok(out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let fields: Vec<&str> = line.trim_end().split(' ').collect();
        let mut out = out;
        let start = {
            let mut state = self.state.lock().unwrap();
            let m = &mut state.members[i];
            let is_valid = fields.len() >= 3
                && fields[0] == "CONNECT"
                && fields[1] == self.name
                && fields.get(3).is_none_or(|id| *id == m.id);
            if !is_valid {
                drop(state);
                let _ = out.write_all(b"ERROR WRONGNODE not this member\r\n");
                return;
            }
            m.conns += 1;
            m.starts
        };
        let conn = {
            let mut next = self.next_conn.lock().unwrap();
            *next += 1;
            *next
        };
        std::thread::sleep(Duration::from_millis(12));
        let from = fields[2].to_owned();
        let mut session = Session {
            service: self,
            i,
            start,
            conn,
            from,
            tx: None,
            failed: false,
            prepared: BTreeMap::new(),
        };
        if out.write_all(b"READY I -\r\n").is_ok() {
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line).unwrap_or(0) == 0 {
                    break;
                }
                let Some(answer) = session.execute(line.trim_end_matches(['\r', '\n'])) else {
                    break;
                };
                if out.write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
        }
        let _ = out.shutdown(Shutdown::Both);
        self.state.lock().unwrap().members[i].conns -= 1;
    }

    /// Carries out an accepted order.
    fn promote(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let term = state.members.iter().map(|m| m.term).max().unwrap_or(0) + 1;
        let Some(m) = state.members.iter_mut().find(|m| m.id == id && m.up) else {
            return;
        };
        if m.is_primary {
            return;
        }
        m.term = term;
        m.is_primary = true;
        m.fenced = 0;
        let log = m.log.clone();
        let text = format!("{id} leads term {term}, log end {}", pos_text(end(&log)));
        state.promoted.push(Promoted {
            id: id.into(),
            term,
            log,
        });
        for m in &mut state.members {
            m.fenced = 0;
        }
        let i = state
            .members
            .iter()
            .position(|m| m.id == id)
            .expect("found above");
        drop(state);
        self.publish(i);
        self.log_event(&text);
    }
}

struct Session<'a> {
    service: &'a Service,
    i: usize,
    start: u64,
    conn: u64,
    from: String,
    /// Writes of the open transaction.
    tx: Option<Vec<(String, String)>>,
    failed: bool,
    prepared: BTreeMap<String, bool>,
}

impl Session<'_> {
    fn ready(&self, m: &Member) -> String {
        let state = match (&self.tx, self.failed) {
            (_, true) => "E",
            (Some(_), _) => "T",
            (None, _) => "I",
        };
        format!("READY {state} {}\r\n", pos_text(end(&m.log)))
    }

    fn done(&self, m: &Member, rows: &str, signature: &str) -> Option<String> {
        Some(format!("{rows}COMPLETE {signature}\r\n{}", self.ready(m)))
    }

    fn error(&mut self, m: &Member, code: &str) -> Option<String> {
        self.failed = self.tx.is_some();
        Some(format!("ERROR {code} {}\r\n{}", m.id, self.ready(m)))
    }

    fn status(&self, m: &Member) -> Option<String> {
        let role = if m.is_primary { "primary" } else { "replica" };
        let row = format!(
            "ROW {role} {} {} {} 0 0 {}\r\n",
            m.term,
            pos_text(end(&m.log)),
            m.fenced,
            m.conns
        );
        self.done(m, &row, "-")
    }

    fn execute(&mut self, line: &str) -> Option<String> {
        let (id, mut text) = line.strip_prefix("QUERY ")?.split_once(' ')?;
        let mut after = None;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (pos, rest) = rest.split_once(' ')?;
            let (term, number) = pos.split_once('.')?;
            after = Some((term.parse().ok()?, number.parse().ok()?));
            text = rest;
        }
        let words: Vec<&str> = text.split(' ').collect();
        let is_work = matches!(words[0], "READ" | "WRITE" | "EXECUTE" | "COMMIT");
        if is_work {
            std::thread::sleep(Duration::from_millis(STATEMENT_MS));
        }
        let service = self.service;
        let mut state = service.state.lock().unwrap();
        if !state.members[self.i].up || state.members[self.i].starts != self.start {
            return None;
        }
        let newest_term = state.members.iter().map(|m| m.term).max().unwrap_or(0);
        if is_work {
            let run = Run {
                at: Instant::now(),
                member: state.members[self.i].id.clone(),
                conn: self.conn,
                from: self.from.clone(),
                id: id.to_owned(),
            };
            let Run {
                member, conn, from, ..
            } = &run;
            service.record.line(&format!(
                "run at {member} on connection {conn} of {from}: {id} {text}"
            ));
            state.runs.push(run);
        }
        let m = &mut state.members[self.i];
        let is_behind = after.is_some_and(|pos| end(&m.log) < pos);
        match &words[..] {
            ["STATUS"] => {
                let answer = self.status(m);
                state.probes.insert(self.from.clone(), Instant::now());
                answer
            }
            ["PAUSE", term] => {
                let term = term.parse().ok()?;
                if !m.is_primary && term > newest_term {
                    m.fenced = term;
                }
                self.status(m)
            }
            ["RESUME"] => {
                m.fenced = 0;
                self.status(m)
            }
            ["DEMOTE", term] => {
                let term: u64 = term.parse().ok()?;
                if m.is_primary && m.term < term {
                    m.is_primary = false;
                    let text = format!("{} demoted", m.id);
                    service.log_event(&text);
                }
                self.status(m)
            }
            ["RESET"] => {
                self.prepared.clear();
                self.done(m, "", "-")
            }
            ["SET", ..] => self.done(m, "", "-"),
            ["PREPARE", name, mode, ..] => {
                self.prepared.insert((*name).into(), *mode == "WRITE");
                self.done(m, "", "-")
            }
            ["ROLLBACK"] => {
                (self.tx, self.failed) = (None, false);
                self.done(m, "", "-")
            }
            _ if self.failed => self.error(m, "MALFORMED"),
            ["BEGIN"] if !m.is_primary => self.error(m, "READONLY"),
            ["BEGIN", ..] if is_behind => self.error(m, "LAGGING"),
            ["BEGIN", ..] => {
                self.tx = Some(Vec::new());
                self.done(m, "", "-")
            }
            ["READ", ..] if is_behind => self.error(m, "LAGGING"),
            ["READ", item] => {
                let writes = m
                    .log
                    .iter()
                    .flat_map(|e| &e.writes)
                    .filter(|w| w.0 == *item);
                let data = writes.last().map_or("-", |w| &w.1);
                let row = format!("ROW {data}\r\n");
                self.done(m, &row, &format!("{}.{id}", m.id))
            }
            ["WRITE", ..] if !m.is_primary => self.error(m, "READONLY"),
            ["WRITE", item, data @ ..] => {
                let write = ((*item).to_owned(), data.join(" "));
                if let Some(tx) = &mut self.tx {
                    tx.push(write);
                    return self.done(m, "", &format!("{}.{id}", m.id));
                }
                self.commit(state, id, vec![write])
            }
            ["COMMIT"] => {
                let writes = self.tx.take().unwrap_or_default();
                if writes.is_empty() {
                    return self.done(m, "", &format!("{}.{id}", m.id));
                }
                if !m.is_primary {
                    return self.error(m, "READONLY");
                }
                self.commit(state, id, writes)
            }
            _ => self.error(m, "MALFORMED"),
        }
    }

    /// Commits, and waits until a replica has received that.
    fn commit(
        &mut self,
        mut state: std::sync::MutexGuard<'_, State>,
        id: &str,
        writes: Vec<(String, String)>,
    ) -> Option<String> {
        let m = &mut state.members[self.i];
        let pos = (m.term, end(&m.log).1 + 1);
        m.log.push(Entry {
            pos,
            id: id.into(),
            writes,
        });
        let deadline = Instant::now() + Duration::from_millis(REPLICATION_TIMEOUT_MS);
        loop {
            let m = &state.members[self.i];
            if !m.up || m.starts != self.start {
                return None;
            }
            let holds = |o: &Member| {
                o.id != m.id && o.up && o.log.iter().any(|e| e.pos == pos && e.id == id)
            };
            if state.members.iter().any(holds) {
                return self.done(m, "", &format!("{}.{id}", m.id));
            }
            if Instant::now() >= deadline {
                return Some(format!("ERROR TIMEOUT {}\r\n{}", m.id, self.ready(m)));
            }
            state = self
                .service
                .changed
                .wait_timeout(state, Duration::from_millis(10))
                .unwrap()
                .0;
        }
    }
}

/// Starts the platform's failover API; returns its address.
pub fn start_failover_api(service: &Arc<Service>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let service = service.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let service = service.clone();
            std::thread::spawn(move || serve_orders(&service, stream));
        }
    });
    addr
}

fn serve_orders(service: &Arc<Service>, stream: TcpStream) {
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let header = |n: &str| {
            request
                .headers
                .iter()
                .find(|h| h.0 == n)
                .map(|h| h.1.clone())
        };
        let id = request.body.get("id").as_str().unwrap_or("").to_owned();
        let holder = header("hollyreach-duty-holder").unwrap_or_default();
        let token: u64 = header("hollyreach-fencing-token")
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        service
            .record
            .line(&format!("order by {holder} under token {token}: {id}"));
        let accepted = {
            let mut state = service.state.lock().unwrap();
            state.orders.push((holder, token, id.clone()));
            state.members.iter().any(|m| m.id == id && m.up)
        };
        if accepted {
            let service = service.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(PROMOTE_MS));
                service.promote(&id);
            });
        }
        if !write_response(
            &mut out,
            if accepted { 200 } else { 409 },
            &Json::Null,
            None,
        ) {
            return;
        }
    }
}

/// Set once the case has ended, so that nothing is recorded later.
pub static ENDED: AtomicBool = AtomicBool::new(false);

pub fn has_ended() -> bool {
    ENDED.load(Ordering::Relaxed)
}
