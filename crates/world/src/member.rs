//! The wire side of a member.

use std::rc::Rc;

use base::Ms;
use link::Link;
use monoio::net::TcpListener;
use schema::Pos;

use crate::group::{Entry, Group, Member};
use crate::pause;

/// Statements that a member runs at once.
pub const SLOTS: u64 = 2;
/// Statements that wait for a slot.
const QUEUE: u64 = 16;
/// Connections that a member takes.
pub const CONNS: u64 = 16;
/// Time of a statement, in ms.
const WORK_MS: u64 = 3;
/// Longest wait of a commit for a replica, in ms.
const ACK_MS: u64 = 2000;
/// Period of looks at a cut, in ms.
const LOOK_MS: u64 = 20;

struct Session {
    group: Rc<Group>,
    member: Rc<Member>,
    /// Name of the daemon at the other end.
    who: String,
    life: u64,
    /// Writes of the open transaction.
    tx: Option<Vec<(Box<str>, Box<str>)>>,
    read_only: bool,
    failed: bool,
    values: Vec<String>,
    plans: std::collections::HashMap<String, (bool, String)>,
}

/// Accepts connections as long as the test runs; a member that is down refuses them.
pub async fn accept(group: Rc<Group>, member: Rc<Member>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        if !member.up.get() {
            continue;
        }
        let Ok(link) = Link::new(stream) else {
            continue;
        };
        let (group, member) = (group.clone(), member.clone());
        monoio::spawn(async move {
            member.conns.set(member.conns.get() + 1);
            serve(group, member.clone(), link).await;
            member.conns.set(member.conns.get() - 1);
        });
    }
}

async fn line(link: &mut Link) -> Option<String> {
    loop {
        if let Some(end) = link.input.iter().position(|&b| b == b'\n') {
            let taken = link.input.split_to(end + 1);
            let text = String::from_utf8_lossy(&taken);
            return Some(text.trim_end().to_owned());
        }
        match link.fill().await {
            Ok(n) if n > 0 => {}
            _ => return None,
        }
    }
}

async fn serve(group: Rc<Group>, member: Rc<Member>, mut link: Link) {
    let Some(hello) = line(&mut link).await else {
        return;
    };
    let fields: Vec<&str> = hello.split(' ').collect();
    let [_, named, who, rest @ ..] = &fields[..] else {
        return;
    };
    let mut session = Session {
        life: member.life.get(),
        who: (*who).to_owned(),
        group,
        member,
        tx: None,
        read_only: false,
        failed: false,
        values: Vec::new(),
        plans: std::collections::HashMap::new(),
    };
    let right = rest
        .first()
        .is_none_or(|id| **session.member.id.borrow() == **id);
    if *named != &*session.group.name || !right {
        let text = "ERROR WRONGNODE no such member here\r\n";
        // The daemon may be gone; there is nobody else to tell.
        let _ = link.send(text.as_bytes()).await;
        return;
    }
    if session.member.conns.get() > CONNS {
        let _ = link.send(b"ERROR CONNLIMIT too many\r\n").await;
        return;
    }
    if !session.passes(true).await || link.send(b"READY I -\r\n").await.is_err() {
        return;
    }
    loop {
        let life = session.life;
        let member = session.member.clone();
        let next = monoio::select! {
            next = line(&mut link) => next,
            () = ended(&member, life) => None,
        };
        let Some(text) = next else { return };
        if !session.passes(true).await {
            return;
        }
        let Some(answer) = session.statement(&text).await else {
            return;
        };
        if session.is_over() || !session.passes(false).await {
            return;
        }
        if link.send(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn ended(member: &Member, life: u64) {
    while member.life.get() == life {
        pause(LOOK_MS).await;
    }
}

impl Session {
    fn is_over(&self) -> bool {
        self.member.life.get() != self.life
    }

    /// Holds bytes back while the path is cut; false when the process has ended meanwhile.
    async fn passes(&self, inwards: bool) -> bool {
        loop {
            if self.is_over() {
                return false;
            }
            let cut = self.member.cut.borrow().get(&*self.who).copied();
            let held = match cut {
                Some(answers_only) => !(inwards && answers_only),
                None => false,
            };
            if !held && !self.member.dark.get() {
                return true;
            }
            pause(LOOK_MS).await;
        }
    }

    fn ready(&self) -> String {
        let state = match (&self.tx, self.failed) {
            (_, true) => "E",
            (Some(_), _) => "T",
            (None, _) => "I",
        };
        let pos = self.member.applied_pos();
        format!("READY {state} {}.{}\r\n", pos.term, pos.log)
    }

    fn done(&self) -> String {
        format!("COMPLETE -\r\n{}", self.ready())
    }

    fn error(&mut self, code: &str) -> String {
        if self.tx.is_some() {
            self.failed = true;
        }
        format!(
            "ERROR {code} {}\r\n{}",
            self.member.id.borrow(),
            self.ready()
        )
    }

    async fn statement(&mut self, text: &str) -> Option<String> {
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
            ["STATUS"] => self.status(),
            ["PAUSE", term] => self.fence(term.parse().ok()?),
            ["RESUME"] => {
                self.member.fenced.set(0);
                self.status()
            }
            ["DEMOTE", term] => {
                if self.member.term.get() < term.parse().ok()? {
                    self.group.demote(&self.member);
                }
                self.status()
            }
            ["RESET"] => {
                self.values.clear();
                self.plans.clear();
                self.done()
            }
            ["SET", ..] => {
                self.values.push(text.to_owned());
                self.done()
            }
            ["PREPARE", name, mode, shape @ ..] => {
                let plan = (*mode == "WRITE", shape.join(" "));
                self.plans.insert((*name).to_owned(), plan);
                self.done()
            }
            ["ROLLBACK"] => {
                self.tx = None;
                self.failed = false;
                self.done()
            }
            _ if self.failed => self.error("MALFORMED"),
            ["BEGIN", mode @ ..] => self.begin(!mode.is_empty(), after),
            ["COMMIT"] => self.commit(id).await?,
            ["READ", item] => self.read(id, item, after).await?,
            ["WRITE", item, data @ ..] => self.write(id, item, &data.join(" ")).await?,
            ["EXECUTE", name, item, data @ ..] => match self.plans.get(*name).cloned() {
                None => self.error("NOSTMT"),
                Some((true, _)) => self.write(id, item, &data.join(" ")).await?,
                Some((false, _)) => self.read(id, item, after).await?,
            },
            _ => self.error("MALFORMED"),
        })
    }

    fn status(&self) -> String {
        let m = &self.member;
        let role = if m.leads.get() { "primary" } else { "replica" };
        let pos = m.received();
        let row = format!(
            "ROW {role} {} {}.{} {} 0 {} {}\r\n",
            m.term.get(),
            pos.term,
            pos.log,
            m.fenced.get(),
            m.running.get(),
            m.conns.get()
        );
        row + &self.done()
    }

    fn fence(&self, term: u64) -> String {
        if !self.member.leads.get() && term > self.group.term.get() {
            self.member.fenced.set(term);
        }
        self.status()
    }

    fn begin(&mut self, read_only: bool, after: Option<Pos>) -> String {
        if !read_only && !self.member.leads.get() {
            return self.error("READONLY");
        }
        if after.is_some_and(|pos| self.member.applied_pos() < pos) {
            return self.error("LAGGING");
        }
        self.tx = Some(Vec::new());
        self.read_only = read_only;
        self.done()
    }

    /// Waits for a slot and works; `None` when the process ended.
    async fn work(&self) -> Option<bool> {
        let m = &self.member;
        if m.running.get() >= SLOTS + QUEUE {
            return Some(false);
        }
        m.running.set(m.running.get() + 1);
        while m.working.get() >= SLOTS {
            let seen = m.free.count();
            m.free.wait_past(seen).await;
        }
        m.working.set(m.working.get() + 1);
        pause(WORK_MS * m.slow.get()).await;
        m.working.set(m.working.get() - 1);
        m.running.set(m.running.get() - 1);
        m.free.notify();
        (!self.is_over()).then_some(true)
    }

    async fn read(&mut self, id: &str, item: &str, after: Option<Pos>) -> Option<String> {
        self.group.heard.borrow_mut().insert(id.into());
        if self.tx.is_some() && !self.read_only && !self.member.leads.get() {
            return Some(self.error("READONLY"));
        }
        if after.is_some_and(|pos| self.member.applied_pos() < pos) {
            return Some(self.error("LAGGING"));
        }
        if !self.work().await? {
            return Some(self.error("BUSY"));
        }
        let log = self.member.log.borrow();
        let seen = &log[..self.member.applied.get().min(log.len())];
        let own = self.tx.as_deref().unwrap_or_default();
        let all = seen.iter().flat_map(|e| e.writes.iter()).chain(own);
        let last = all.rev().find(|(i, _)| &**i == item);
        let data = last.map_or("-", |(_, data)| data);
        let echo = format!("{id}.{item}");
        Some(format!(
            "ROW {item} {data}\r\nCOMPLETE {echo}\r\n{}",
            self.ready()
        ))
    }

    async fn write(&mut self, id: &str, item: &str, data: &str) -> Option<String> {
        self.group.heard.borrow_mut().insert(id.into());
        if !self.member.leads.get() || self.read_only && self.tx.is_some() {
            return Some(self.error("READONLY"));
        }
        if !self.work().await? {
            return Some(self.error("BUSY"));
        }
        let write = (Box::from(item), Box::from(data));
        if let Some(tx) = &mut self.tx {
            tx.push(write);
        } else {
            let entry = self.group.commit(&self.member, vec![write]);
            if !self.acknowledged(&entry).await? {
                return Some(self.error("TIMEOUT"));
            }
        }
        Some(format!("COMPLETE {id}.{item}\r\n{}", self.ready()))
    }

    async fn commit(&mut self, id: &str) -> Option<String> {
        self.group.heard.borrow_mut().insert(id.into());
        let writes = self.tx.take().unwrap_or_default();
        if !writes.is_empty() {
            if !self.member.leads.get() {
                return Some(self.error("READONLY"));
            }
            let entry = self.group.commit(&self.member, writes);
            if !self.acknowledged(&entry).await? {
                return Some(self.error("TIMEOUT"));
            }
        }
        Some(format!("COMPLETE {id}.commit\r\n{}", self.ready()))
    }

    async fn acknowledged(&self, entry: &Entry) -> Option<bool> {
        let until = Ms::now().plus(ACK_MS);
        loop {
            let seen = self.group.grown.count();
            if self.is_over() {
                return None;
            }
            if self.group.is_held(&self.member, entry) {
                return Some(true);
            }
            if until.left() == 0 {
                return Some(false);
            }
            let step = std::time::Duration::from_millis(LOOK_MS);
            let _ = monoio::time::timeout(step, self.group.grown.wait_past(seen)).await;
        }
    }
}
