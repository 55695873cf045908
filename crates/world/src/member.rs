//! Wire protocol of a simulated member.

use std::rc::Rc;

use base::Ms;
use link::BufferedStream;
use monoio::net::TcpListener;
use schema::Pos;

use crate::group::{Entry, Group, Member};
use crate::{StatementRun, sleep_ms};

/// Reads and writes that a member runs concurrently.
pub const SLOTS: u64 = 2;
/// Reads and writes that may wait for a slot; further ones get BUSY.
const MAX_QUEUED: u64 = 16;
/// Connections that a member accepts unless the test sets `Group::max_conns`.
pub const DEFAULT_MAX_CONNS: u64 = 16;
/// Run time of a read or write at normal speed.
const STATEMENT_MS: u64 = 3;
/// Maximum wait of a commit for its replication; after that it gets TIMEOUT.
const ACK_TIMEOUT_MS: u64 = 2000;
/// Interval of checks for crashes, partitions and replication.
const POLL_INTERVAL_MS: u64 = 20;

/// One connection of a daemon to a member.
struct Session {
    group: Rc<Group>,
    member: Rc<Member>,
    /// Name of the connected daemon.
    daemon: Box<str>,
    /// Name in the `CONNECT`: of the daemon or of a client account.
    name: Box<str>,
    /// When the current statement was received.
    received_at: Ms,
    /// Whether the open transaction has run a statement.
    tx_has_run: bool,
    /// Incarnation of the member when the handshake was read; the session ends when it changes.
    incarnation: u64,
    /// Uncommitted (item, data) writes of the open transaction.
    tx: Option<Vec<(Box<str>, Box<str>)>>,
    /// Whether the open transaction is read-only.
    read_only: bool,
    /// Whether the open transaction has failed; reads, writes and COMMIT then get an error.
    failed: bool,
    /// SET statements since the last RESET.
    settings: Vec<String>,
    /// Prepared statements by name: whether they write, and the rest of the PREPARE.
    prepared: std::collections::HashMap<String, (bool, String)>,
}

/// Accepts connections as long as the test runs; a member that is down closes them at once. They
/// are those of `daemon`, or of the daemon that their `CONNECT` names.
pub async fn accept(
    group: Rc<Group>,
    member: Rc<Member>,
    listener: TcpListener,
    daemon: Option<Box<str>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if !member.up.get() {
            continue;
        }
        let Ok(link) = BufferedStream::new(stream) else {
            continue;
        };
        let (group, member, daemon) = (group.clone(), member.clone(), daemon.clone());
        monoio::spawn(async move {
            member.conns.set(member.conns.get() + 1);
            serve_session(group, member.clone(), link, daemon).await;
            member.conns.set(member.conns.get() - 1);
        });
    }
}

/// Reads a line without its end; `None` when the connection ends or fails.
async fn read_line(link: &mut BufferedStream) -> Option<String> {
    loop {
        if let Some(end) = link.input.iter().position(|&b| b == b'\n') {
            let taken = link.input.split_to(end + 1);
            let text = String::from_utf8_lossy(&taken);
            return Some(text.trim_end().to_owned());
        }
        match link.read_more().await {
            Ok(n) if n > 0 => {}
            _ => return None,
        }
    }
}

/// Handles the handshake and the statements of one connection until it ends.
async fn serve_session(
    group: Rc<Group>,
    member: Rc<Member>,
    mut link: BufferedStream,
    daemon: Option<Box<str>>,
) {
    let Some(hello) = read_line(&mut link).await else {
        return;
    };
    let fields: Vec<&str> = hello.split(' ').collect();
    let [_, group_name, name, rest @ ..] = &fields[..] else {
        return;
    };
    let mut session = Session {
        incarnation: member.incarnation.get(),
        daemon: daemon.unwrap_or_else(|| (*name).into()),
        name: (*name).into(),
        received_at: Ms::now(),
        tx_has_run: false,
        group,
        member,
        tx: None,
        read_only: false,
        failed: false,
        settings: Vec::new(),
        prepared: std::collections::HashMap::new(),
    };
    let id_matches = rest
        .first()
        .is_none_or(|id| **session.member.id.borrow() == **id);
    if *group_name != &*session.group.name || !id_matches {
        let text = "ERROR WRONGNODE no such member here\r\n";
        // The daemon may have closed the connection; the error has no other recipient.
        let _ = link.send(text.as_bytes()).await;
        return;
    }
    if session.member.conns.get() > session.group.max_conns.get() {
        let refused = &session.member.refused_conns;
        refused.set(refused.get() + 1);
        let _ = link.send(b"ERROR CONNLIMIT too many\r\n").await;
        return;
    }
    let member = session.member.clone();
    member.conn_names.borrow_mut().push(session.name.clone());
    let accepted = member.accepted_conns.get() + 1;
    member.accepted_conns.set(accepted);
    member.peak_conns.set(member.peak_conns.get().max(accepted));
    if session.wait_until_reachable(true).await && link.send(b"READY I -\r\n").await.is_ok() {
        serve_statements(&mut session, &mut link).await;
    }
    member.accepted_conns.set(member.accepted_conns.get() - 1);
}

/// Handles the statements of one connection until it ends.
async fn serve_statements(session: &mut Session, link: &mut BufferedStream) {
    loop {
        let incarnation = session.incarnation;
        let member = session.member.clone();
        let next = monoio::select! {
            next = read_line(link) => next,
            () = wait_for_crash(&member, incarnation) => None,
        };
        let Some(text) = next else { return };
        session.received_at = Ms::now();
        if !session.wait_until_reachable(true).await {
            return;
        }
        let Some(answer) = session.execute(&text).await else {
            return;
        };
        if session.has_crashed() || !session.wait_until_reachable(false).await {
            return;
        }
        if link.send(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Waits until the member is no longer in the given incarnation.
async fn wait_for_crash(member: &Member, incarnation: u64) {
    while member.incarnation.get() == incarnation {
        sleep_ms(POLL_INTERVAL_MS).await;
    }
}

impl Session {
    fn has_crashed(&self) -> bool {
        self.member.incarnation.get() != self.incarnation
    }

    /// Waits while a fault holds back bytes to the member (`inbound`) or from it; false when the
    /// member has crashed.
    async fn wait_until_reachable(&self, inbound: bool) -> bool {
        loop {
            if self.has_crashed() {
                return false;
            }
            let block = self
                .member
                .blocked_daemons
                .borrow()
                .get(&self.daemon)
                .copied();
            let held = match block {
                Some(answers_only) => !(inbound && answers_only),
                None => false,
            };
            if !held && !self.member.unresponsive.get() {
                return true;
            }
            sleep_ms(POLL_INTERVAL_MS).await;
        }
    }

    fn ready_line(&self) -> String {
        let state = match (&self.tx, self.failed) {
            (_, true) => "E",
            (Some(_), _) => "T",
            (None, _) => "I",
        };
        let pos = self.member.applied_pos();
        format!("READY {state} {}.{}\r\n", pos.term, pos.log)
    }

    fn complete_reply(&self) -> String {
        format!("COMPLETE -\r\n{}", self.ready_line())
    }

    /// Error reply, which also fails an open transaction.
    fn error_reply(&mut self, code: &str) -> String {
        if self.tx.is_some() {
            self.failed = true;
        }
        format!(
            "ERROR {code} {}\r\n{}",
            self.member.id.borrow(),
            self.ready_line()
        )
    }

    /// Executes a statement and returns the reply; `None` closes the connection.
    async fn execute(&mut self, text: &str) -> Option<String> {
        let rest = text.strip_prefix("QUERY ")?;
        let (id, text) = rest.split_once(' ')?;
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (pos, text) = rest.split_once(' ')?;
                let (term, log) = pos.split_once('.')?;
                let (term, log) = (term.parse().ok()?, log.parse().ok()?);
                (Some(Pos { term, log }), text)
            }
            None => (None, text),
        };
        let fields: Vec<&str> = text.split(' ').collect();
        Some(match &fields[..] {
            ["STATUS"] => self.status_reply(),
            ["PAUSE", term] => self.fence(term.parse().ok()?),
            ["RESUME"] => {
                self.member.fenced_term.set(0);
                self.status_reply()
            }
            ["DEMOTE", term] => {
                if self.member.term.get() < term.parse().ok()? {
                    self.group.demote(&self.member);
                }
                self.status_reply()
            }
            ["RESET"] => {
                self.settings.clear();
                self.prepared.clear();
                self.complete_reply()
            }
            ["SET", ..] => {
                self.settings.push(text.to_owned());
                self.complete_reply()
            }
            ["PREPARE", name, mode, rest @ ..] => {
                let statement = (*mode == "WRITE", rest.join(" "));
                self.prepared.insert((*name).to_owned(), statement);
                self.complete_reply()
            }
            ["ROLLBACK"] => {
                self.tx = None;
                self.failed = false;
                self.complete_reply()
            }
            _ if self.failed => self.error_reply("MALFORMED"),
            ["BEGIN", mode @ ..] => self.begin(!mode.is_empty(), after),
            ["COMMIT"] => self.commit(id).await?,
            ["READ", item] => self.read(id, item, after).await?,
            ["WRITE", item, data @ ..] => self.write(id, item, &data.join(" ")).await?,
            ["EXECUTE", name, item, data @ ..] => match self.prepared.get(*name).cloned() {
                None => self.error_reply("NOSTMT"),
                Some((true, _)) => self.write(id, item, &data.join(" ")).await?,
                Some((false, _)) => self.read(id, item, after).await?,
            },
            _ => self.error_reply("MALFORMED"),
        })
    }

    fn status_reply(&self) -> String {
        let m = &self.member;
        let role = if m.is_primary.get() {
            "primary"
        } else {
            "replica"
        };
        let pos = m.received_pos();
        let row = format!(
            "ROW {role} {} {}.{} {} 0 {} {}\r\n",
            m.term.get(),
            pos.term,
            pos.log,
            m.fenced_term.get(),
            m.admitted.get(),
            m.conns.get()
        );
        row + &self.complete_reply()
    }

    /// Fences a replica for a term newer than that of the group, until RESUME, a promotion or a
    /// restart. Without effect on a primary or for another term.
    fn fence(&self, term: u64) -> String {
        let newest_term = if self.group.fences_by_own_term.get() {
            self.member.term.get()
        } else {
            self.group.term.get()
        };
        if !self.member.is_primary.get() && term > newest_term {
            self.member.fenced_term.set(term);
        }
        self.status_reply()
    }

    fn begin(&mut self, read_only: bool, after: Option<Pos>) -> String {
        if !read_only && !self.member.is_primary.get() {
            return self.error_reply("READONLY");
        }
        if after.is_some_and(|pos| self.member.applied_pos() < pos) {
            return self.error_reply("LAGGING");
        }
        self.tx = Some(Vec::new());
        self.tx_has_run = false;
        self.read_only = read_only;
        self.complete_reply()
    }

    /// Records that the current statement runs.
    fn record_run(&mut self, id: &str) {
        let begins_operation = self.tx.is_none() || !self.tx_has_run;
        self.tx_has_run = true;
        self.member.runs.borrow_mut().push(StatementRun {
            received_at: self.received_at,
            conn_name: self.name.clone(),
            id: id.into(),
            begins_operation,
        });
    }

    /// Waits for a slot and occupies it for the run time of a statement.
    ///
    /// `Some(false)` when the wait queue is full, `None` when the member has crashed.
    async fn simulate_work(&mut self, id: &str) -> Option<bool> {
        if self.member.admitted.get() >= SLOTS + MAX_QUEUED {
            return Some(false);
        }
        self.record_run(id);
        let m = &self.member;
        m.admitted.set(m.admitted.get() + 1);
        while m.busy_slots.get() >= SLOTS {
            let seen = m.slot_freed.generation();
            m.slot_freed.wait_past(seen).await;
        }
        m.busy_slots.set(m.busy_slots.get() + 1);
        sleep_ms(STATEMENT_MS * m.slowdown.get()).await;
        m.busy_slots.set(m.busy_slots.get() - 1);
        m.admitted.set(m.admitted.get() - 1);
        m.slot_freed.notify();
        (!self.has_crashed()).then_some(true)
    }

    async fn read(&mut self, id: &str, item: &str, after: Option<Pos>) -> Option<String> {
        self.group.received_ids.borrow_mut().insert(id.into());
        if self.tx.is_some() && !self.read_only && !self.member.is_primary.get() {
            return Some(self.error_reply("READONLY"));
        }
        if after.is_some_and(|pos| self.member.applied_pos() < pos) {
            return Some(self.error_reply("LAGGING"));
        }
        if !self.simulate_work(id).await? {
            return Some(self.error_reply("BUSY"));
        }
        let log = self.member.log.borrow();
        let applied = &log[..self.member.applied_len.get().min(log.len())];
        let tx_writes = self.tx.as_deref().unwrap_or_default();
        let writes = applied
            .iter()
            .flat_map(|e| e.writes.iter())
            .chain(tx_writes);
        let last = writes.rev().find(|(i, _)| &**i == item);
        let data = last.map_or("-", |(_, data)| data);
        let echo = format!("{id}.{item}");
        Some(format!(
            "ROW {item} {data}\r\nCOMPLETE {echo}\r\n{}",
            self.ready_line()
        ))
    }

    async fn write(&mut self, id: &str, item: &str, data: &str) -> Option<String> {
        self.group.received_ids.borrow_mut().insert(id.into());
        if !self.member.is_primary.get() || self.read_only && self.tx.is_some() {
            return Some(self.error_reply("READONLY"));
        }
        if !self.simulate_work(id).await? {
            return Some(self.error_reply("BUSY"));
        }
        let write = (Box::from(item), Box::from(data));
        if let Some(tx) = &mut self.tx {
            tx.push(write);
        } else {
            let entry = self.group.append(&self.member, vec![write]);
            if !self.wait_for_replication(&entry).await? {
                return Some(self.error_reply("TIMEOUT"));
            }
        }
        Some(format!("COMPLETE {id}.{item}\r\n{}", self.ready_line()))
    }

    async fn commit(&mut self, id: &str) -> Option<String> {
        self.group.received_ids.borrow_mut().insert(id.into());
        self.record_run(id);
        let writes = self.tx.take().unwrap_or_default();
        if !writes.is_empty() {
            if !self.member.is_primary.get() {
                return Some(self.error_reply("READONLY"));
            }
            let entry = self.group.append(&self.member, writes);
            if !self.wait_for_replication(&entry).await? {
                return Some(self.error_reply("TIMEOUT"));
            }
        }
        Some(format!("COMPLETE {id}.commit\r\n{}", self.ready_line()))
    }

    /// Waits until a replica has an entry.
    ///
    /// `Some(false)` after `ACK_TIMEOUT_MS`, `None` when the member has crashed.
    async fn wait_for_replication(&self, entry: &Entry) -> Option<bool> {
        let deadline = Ms::now().plus(ACK_TIMEOUT_MS);
        loop {
            let seen = self.group.log_changed.generation();
            if self.has_crashed() {
                return None;
            }
            if self.group.is_replicated(&self.member, entry) {
                return Some(true);
            }
            if deadline.left() == 0 {
                return Some(false);
            }
            let timeout = std::time::Duration::from_millis(POLL_INTERVAL_MS);
            let _ = monoio::time::timeout(timeout, self.group.log_changed.wait_past(seen)).await;
        }
    }
}
