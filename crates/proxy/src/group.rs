//! One group: its members, the lease on its primary, and the statements that wait.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use base::{Event, Ms, Signal, emit};
use schema::Pos;

use crate::place::{Need, cost, may_hold};
use crate::suspect::Sight;
use crate::{
    Conn, Dialect, Entry, GroupRule, History, Lease, Lost, Member, Rank, Reply, Role, Settings,
    Status, Word, predicted_wait, tunnel::Peers,
};

/// Time to open a connection, in ms.
const CONNECT_MS: u64 = 400;
/// Silence after which a new connection is tried, in ms.
const PROBE_MS: u64 = 300;
/// Pause after a failed attempt to open a connection, in ms.
const RETRY_MS: u64 = 150;
/// Connections to one member that a daemon keeps when idle.
const KEEP: u64 = 2;
/// Connections to a nearly full member that a daemon keeps when idle.
const KEEP_FULL: u64 = 1;
/// Idle time after which a connection to a nearly full member is closed, in ms.
const TRIM_FULL_MS: u64 = 300;
/// Time without a lease after which statements for the primary are refused at once, in ms.
const HOPE_MS: u64 = 900;
/// The same while a change of primary is seen to run, in ms.
const HOPE_CHANGE_MS: u64 = 2500;
/// Silence after which a member counts as out of reach of this VM, in ms.
const SILENT_MS: u64 = 500;
/// Longest wait for a connection for a question of the daemon's own, in ms.
const CONTROL_MS: u64 = 150;
/// Time after which a member that has left no longer matters for a change of primary, counted
/// from its last sign of life to the primary's, in ms.
const SETTLE_MS: u64 = 1000;
/// Connections to one member that a daemon opens at most.
const MOST: u64 = 8;
/// Idle time after which a connection beyond those kept is closed, in ms.
const TRIM_MS: u64 = 3000;

/// A group of members.
pub struct Group {
    /// Its name.
    pub name: Box<str>,
    /// Its settings.
    pub rule: RefCell<GroupRule>,
    /// Its members, those that have left included while a session holds a connection.
    pub members: RefCell<Vec<Rc<Member>>>,
    /// Confirmed positions of the primary.
    pub history: RefCell<History>,
    /// Notified when roles, the lease or the members change.
    pub changed: Signal,
    /// Since when no primary is known.
    pub none_since: Cell<Ms>,
    /// Whether this daemon is one of those that serve the group.
    pub homed: Cell<bool>,
    /// Sessions that are served here.
    pub sessions: Cell<u64>,
    /// Oldest write that waits for its answer.
    pub writes: RefCell<Vec<Ms>>,
    /// Daemons through which a member may be reached.
    peers: Rc<Peers>,
    /// Name of this VM.
    vm: Box<str>,
    /// Data centre of this VM.
    pub(crate) home: Box<str>,
    pub(crate) dialect: Dialect,
    waiters: RefCell<Vec<Rc<Waiter>>>,
    /// When this daemon began to follow the group.
    began: Ms,
    held: RefCell<Lease>,
    had_lease: Cell<bool>,
    me: Weak<Group>,
}

struct Waiter {
    rank: Rank,
    need: Need,
    /// Members that were tried in vain.
    avoid: Vec<Box<str>>,
    /// Filled by whoever has a connection to give.
    given: RefCell<Option<Conn>>,
    ready: Signal,
}

/// Why a statement got no connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The wait would be longer than the statement's time.
    Full,
    /// The time ran out.
    Late,
    /// No primary can be used, and none soon.
    NoPrimary,
}

impl Group {
    /// An empty group.
    pub fn new(
        rule: GroupRule,
        settings: &Settings,
        dialect: Dialect,
        peers: &Rc<Peers>,
    ) -> Rc<Group> {
        Rc::new_cyclic(|me| Group {
            name: rule.name.clone(),
            rule: RefCell::new(rule),
            members: RefCell::default(),
            history: RefCell::default(),
            changed: Signal::default(),
            none_since: Cell::new(Ms::now()),
            homed: Cell::new(false),
            sessions: Cell::new(0),
            writes: RefCell::default(),
            peers: peers.clone(),
            vm: settings.name.clone(),
            home: settings.data_center.clone(),
            dialect,
            waiters: RefCell::default(),
            began: Ms::now(),
            held: RefCell::default(),
            had_lease: Cell::new(false),
            me: me.clone(),
        })
    }

    /// Takes over what the platform lists; `None` as the new state means gone.
    pub fn list(&self, id: &str, entry: Option<&Entry>) {
        let known = self.member(id);
        match (known, entry) {
            (Some(member), Some(entry)) if member.addr == entry.addr => {
                let born = member.entry.borrow().born;
                if born != entry.born {
                    member.word.set(None);
                }
                member.gone.set(false);
                member.entry.replace(entry.clone());
            }
            (_, Some(entry)) => {
                self.supersede(entry);
                let member = Rc::new(Member::new(entry.clone()));
                self.members.borrow_mut().push(member);
            }
            (Some(member), None) => {
                member.gone.set(true);
                member.idle.borrow_mut().clear();
                member.left_at.set(Ms::now());
                emit(
                    Event::MemberGone,
                    &[("group", &self.name), ("member", &member.id)],
                );
            }
            (None, None) => return,
        }
        if let Some(entry) = entry {
            emit(
                Event::MemberSeen,
                &[
                    ("group", &self.name),
                    ("member", &entry.id),
                    ("draining", &entry.draining),
                    ("role", &format!("{:?}", entry.role)),
                    ("born", &entry.born),
                ],
            );
        }
        self.notify();
    }

    /// Forgets members whose place a new one takes: a restarted member, and one that replaces
    /// another, has the address and the log of the former.
    fn supersede(&self, entry: &Entry) {
        let mut members = self.members.borrow_mut();
        for old in members.iter() {
            if old.addr == entry.addr || old.id == entry.id {
                old.gone.set(true);
                old.word.set(None);
                old.idle.borrow_mut().clear();
            }
        }
        members.retain(|m| m.addr != entry.addr && m.id != entry.id);
    }

    /// The member with an identifier.
    pub fn member(&self, id: &str) -> Option<Rc<Member>> {
        let members = self.members.borrow();
        members.iter().find(|m| &*m.id == id).cloned()
    }

    /// Members that the platform lists.
    pub fn listed(&self) -> Vec<Rc<Member>> {
        let members = self.members.borrow();
        members.iter().filter(|m| !m.gone.get()).cloned().collect()
    }

    /// Newest term that any member has told.
    pub fn newest_term(&self) -> u64 {
        let members = self.members.borrow();
        let words = members.iter().filter_map(|m| m.word.get());
        words.map(|w| w.term).max().unwrap_or(0)
    }

    /// The member that says it is the primary of the newest term.
    pub fn primary(&self) -> Option<Rc<Member>> {
        let term = self.newest_term();
        let leads = |m: &&Rc<Member>| {
            let word = m.word.get();
            word.is_some_and(|w| w.role == Role::Primary && w.term == term)
        };
        let members = self.members.borrow();
        let listed = members.iter().filter(|m| !m.gone.get()).find(leads);
        listed.or_else(|| members.iter().find(leads)).cloned()
    }

    /// The instant until which the primary may be used.
    pub fn lease(&self) -> Ms {
        self.held.borrow().until(self.newest_term())
    }

    /// What is seen of the primary, for the decision on a change.
    pub fn sight(&self) -> Sight {
        let primary = self.primary();
        let listed = self.listed();
        let claimed = listed.iter().find(|m| m.claims_primary());
        let replicas = listed
            .iter()
            .filter(|m| m.down.get().is_none() && m.word.get().is_some());
        let oldest = self.writes.borrow().iter().min().copied();
        Sight {
            has_primary: primary.is_some() || claimed.is_some(),
            unknown: listed
                .iter()
                .any(|m| m.word.get().is_none() && m.down.get().is_none()),
            none_since: self.none_since.get(),
            changing: listed.iter().any(|m| m.is_fenced()),
            draining: primary.as_ref().is_some_and(|p| p.entry.borrow().draining),
            gone: primary.as_ref().is_some_and(|p| p.gone.get()),
            down: primary.as_ref().or(claimed).and_then(|p| p.down.get()),
            refused: primary
                .as_ref()
                .or(claimed)
                .is_some_and(|p| p.refused.get()),
            stuck: oldest,
            replicas: replicas.count().saturating_sub(1),
        }
    }

    /// Takes over what a member said of itself on a connection.
    pub fn on_status(&self, member: &Member, status: &Status, asked: Ms, up_since: Ms) {
        let before = member.word.get();
        if status.fenced == 0 {
            member.fenced_since.set(None);
        } else if member.fenced_since.get().is_none() {
            member.fenced_since.set(Some(asked));
        }
        member.status.set(Some(*status));
        let word = Word {
            asked,
            heard: Ms::now(),
            role: status.role,
            term: status.term,
            fenced: status.fenced,
            up_since,
        };
        member.word.set(Some(word));
        let cohort = self.cohort(self.primary().as_ref());
        let keys: Vec<_> = cohort.iter().map(|m| m.key).collect();
        self.held.borrow_mut().hear(member.key, word, &keys);
        let same = before.is_some_and(|w| w.role == status.role && w.term == status.term);
        if !same {
            emit(
                Event::MemberSeen,
                &[
                    ("group", &self.name),
                    ("member", &member.id),
                    ("role", &format!("{:?}", status.role)),
                    ("term", &status.term),
                    ("received", &status.received),
                    ("fenced", &status.fenced),
                ],
            );
        }
        if self.primary().is_some() {
            self.none_since.set(Ms::now());
        }
        let holds = self.lease().left() > 0;
        if holds != self.had_lease.replace(holds) {
            let event = if holds {
                Event::LeaseBack
            } else {
                Event::LeaseLost
            };
            emit(event, &[("group", &self.name), ("member", &member.id)]);
        }
        self.notify();
    }

    /// Takes over the position in an answer to a question sent at `asked`.
    pub fn on_reply(&self, member: &Rc<Member>, asked: Ms, reply: &Reply) {
        let Some(pos) = reply.pos else { return };
        member.pos.set(member.pos.get().max(pos));
        let leads = self.primary().is_some_and(|p| Rc::ptr_eq(&p, member));
        if leads && pos.term == self.newest_term() && asked <= self.lease() {
            self.history.borrow_mut().add(asked, pos);
        }
    }

    fn fits(&self, member: &Member, need: Need, now: Ms) -> bool {
        match need {
            Need::Primary(arrival) => {
                let lease = self.lease();
                lease >= arrival && lease > now && self.primary().is_some_and(|p| p.id == member.id)
            }
            Need::This(key) => member.key == key,
            Need::Holds(pos) => {
                member.is_serving() && may_hold(member, pos, now) && member.full_until.get() <= now
            }
        }
    }

    /// Gets a connection to a member that fits, waiting its turn.
    ///
    /// # Errors
    /// Tells why there is none.
    pub async fn acquire(
        &self,
        need: Need,
        rank: Rank,
        avoid: Vec<Box<str>>,
    ) -> Result<Conn, Refusal> {
        if let Some(conn) = self.take(need, &avoid).await {
            return Ok(conn);
        }
        let now = Ms::now();
        if rank.until <= now {
            return Err(Refusal::Late);
        }
        if matches!(need, Need::Primary(_)) && self.is_hopeless() {
            return Err(Refusal::NoPrimary);
        }
        if self.wait_ahead(need, &rank, now)
            > f64::from(u32::try_from(rank.until.left()).unwrap_or(u32::MAX))
        {
            return Err(Refusal::Full);
        }
        let waiter = Rc::new(Waiter {
            rank,
            need,
            avoid,
            given: RefCell::default(),
            ready: Signal::default(),
        });
        self.waiters.borrow_mut().push(waiter.clone());
        let _leave = Leave(self, waiter.clone());
        self.open_for(need);
        let seen = waiter.ready.count();
        let wait = std::time::Duration::from_millis(rank.until.left());
        let _ = monoio::time::timeout(wait, waiter.ready.wait_past(seen)).await;
        let given = waiter.given.borrow_mut().take();
        given.ok_or(Refusal::Late)
    }

    fn wait_ahead(&self, need: Need, rank: &Rank, now: Ms) -> f64 {
        let waiters = self.waiters.borrow();
        let before = |w: &&Rc<Waiter>| w.rank.key(now) <= rank.key(now);
        let same =
            |w: &&Rc<Waiter>| !matches!(w.need, Need::Holds(_)) || matches!(need, Need::Holds(_));
        let ahead = waiters.iter().filter(before).filter(same).count();
        let members = self.members.borrow();
        let fitting = members.iter().filter(|m| self.fits(m, need, now));
        let (mut conns, mut service) = (0, 0.0_f64);
        for member in fitting {
            conns += member.open.get();
            service = service.max(member.cost(now));
        }
        predicted_wait(ahead, conns, service)
    }

    /// Takes an idle connection to the cheapest member that fits.
    async fn take(&self, need: Need, avoid: &[Box<str>]) -> Option<Conn> {
        loop {
            let now = Ms::now();
            let best = {
                let members = self.members.borrow();
                let able = members.iter().filter(|m| {
                    !m.idle.borrow().is_empty() && !avoid.contains(&m.id) && self.fits(m, need, now)
                });
                able.min_by(|a, b| cost(a, &self.home, now).total_cmp(&cost(b, &self.home, now)))
                    .cloned()
            };
            let best = best?;
            let conn = best.idle.borrow_mut().pop();
            let Some(mut conn) = conn else { continue };
            if conn.is_quiet().await {
                return Some(conn);
            }
        }
    }

    /// Gives a connection back; the first waiter that it fits gets it.
    pub fn put(&self, mut conn: Conn) {
        let member = conn.member.clone();
        if member.gone.get() {
            return;
        }
        conn.idle_since = Ms::now();
        member.idle.borrow_mut().push(conn);
        self.pump();
    }

    /// Hands idle connections to waiters, in order.
    pub fn pump(&self) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let now = Ms::now();
        let mut order = self.waiters.borrow().clone();
        order.sort_by_key(|w| w.rank.key(now));
        let members = self.members.borrow().clone();
        for waiter in order {
            if waiter.given.borrow().is_some() {
                continue;
            }
            let able = members.iter().filter(|m| {
                !m.idle.borrow().is_empty()
                    && !waiter.avoid.contains(&m.id)
                    && self.fits(m, waiter.need, now)
            });
            let best =
                able.min_by(|a, b| cost(a, &self.home, now).total_cmp(&cost(b, &self.home, now)));
            let Some(best) = best else { continue };
            *waiter.given.borrow_mut() = best.idle.borrow_mut().pop();
            self.waiters
                .borrow_mut()
                .retain(|w| !Rc::ptr_eq(w, &waiter));
            waiter.ready.notify();
        }
    }

    /// Tells waiters and tasks that something has changed.
    pub fn notify(&self) {
        self.pump();
        self.changed.notify();
    }

    fn open_for(&self, need: Need) {
        let now = Ms::now();
        let members = self.members.borrow().clone();
        for member in members.iter().filter(|m| self.fits(m, need, now)) {
            if self.may_open(member) {
                self.open(member);
            }
        }
    }

    /// Whether another connection leaves enough for the other daemons.
    fn may_open(&self, member: &Member) -> bool {
        let own = member.open.get();
        if member.opening.get() || member.gone.get() || member.retry_at.get().left() > 0 {
            return false;
        }
        let most = self.rule.borrow().conns;
        let used = member.status.get().map_or(0, |s| s.conns);
        match own {
            0 => true,
            1 => used < most * 3 / 4,
            n => n < MOST && used < most / 2,
        }
    }

    /// Keeps at least one connection to a member, and tries a new one when it has fallen silent.
    pub fn ensure(&self, member: &Rc<Member>) {
        let silent = member.silent_for(Ms::now()) >= PROBE_MS && member.down.get().is_none();
        let probe = silent && !member.opening.get() && !member.gone.get();
        if probe || (member.open.get() == 0 && self.may_open(member)) {
            self.open(member);
        }
    }

    fn open(&self, member: &Rc<Member>) {
        let Some(group) = self.me.upgrade() else {
            return;
        };
        member.opening.set(true);
        let member = member.clone();
        if member.down.get().is_some() || member.silent_for(Ms::now()) >= PROBE_MS {
            monoio::spawn(group.clone().open_tunnel(member.clone()));
        }
        monoio::spawn(async move {
            let result = Conn::open(member.clone(), group.dialect, &group.vm, CONNECT_MS).await;
            member.opening.set(false);
            match result {
                Ok(conn) => group.opened(conn).await,
                Err(e) => group.not_opened(&member, &e),
            }
        });
    }

    /// Tries to reach a silent member through another daemon.
    async fn open_tunnel(self: Rc<Self>, member: Rc<Member>) {
        if member.tunneling.replace(true) {
            return;
        }
        let peers = self.peers.order(&member.entry.borrow().data_center);
        let result =
            Conn::open_through(&peers, member.clone(), self.dialect, &self.vm, CONNECT_MS).await;
        member.tunneling.set(false);
        // A failure says nothing new; the direct attempt judges the member.
        if let Ok(conn) = result {
            emit(
                Event::TunnelOpened,
                &[("group", &self.name), ("member", &member.id)],
            );
            self.opened(conn).await;
        }
    }

    async fn opened(&self, mut conn: Conn) {
        let member = conn.member.clone();
        if member.down.replace(None).is_some() {
            emit(
                Event::MemberBack,
                &[("group", &self.name), ("member", &member.id)],
            );
        }
        match self
            .ask(&mut conn, &crate::Command::Status, CONNECT_MS)
            .await
        {
            Ok(_) => self.put(conn),
            Err(e) => self.not_opened(&member, &e),
        }
    }

    fn not_opened(&self, member: &Rc<Member>, e: &Lost) {
        let now = Ms::now();
        member.retry_at.set(now.plus(RETRY_MS));
        if let Lost::Refused(..) = e {
            return;
        }
        member.refused.set(e.is_refused());
        if member.down.get().is_none() {
            // Questions may have gone unanswered for longer than the attempt took.
            let silent = member
                .silent_for(now)
                .max(if e.is_refused() { 0 } else { CONNECT_MS });
            member.down.set(Some(Ms(now.0.saturating_sub(silent))));
            emit(
                Event::MemberLost,
                &[("group", &self.name), ("member", &member.id), ("cause", e)],
            );
        }
        self.notify();
    }

    /// Notes that a connection in use was lost.
    pub fn on_lost(&self, member: &Rc<Member>, e: &Lost) {
        if e.is_refused() {
            // Others to the same member are likely to be lost too; the next attempt tells.
            self.ensure(member);
        }
    }

    /// Asks a member of itself, or orders it something that is answered in the same way.
    ///
    /// # Errors
    /// As `Conn::run`; `Lost::Refused` when it has no room.
    pub async fn ask(
        &self,
        conn: &mut Conn,
        command: &crate::Command<'_>,
        within: u64,
    ) -> Result<Status, Lost> {
        let asked = Ms::now();
        let reply = conn.run(command, within).await?;
        let row = reply.rows.first();
        let status = row.and_then(|row| (self.dialect.status)(row));
        let Some(status) = status else {
            return Err(match reply.end {
                crate::End::Error(kind, text) => Lost::Refused(kind, text),
                crate::End::Done(_) => Lost::Wire(crate::WireError::Malformed),
            });
        };
        let member = conn.member.clone();
        self.on_status(&member, &status, asked, conn.opened);
        self.on_reply(&member, asked, &reply);
        Ok(status)
    }

    /// Opens a connection for an order.
    ///
    /// # Errors
    /// As `Conn::open`.
    pub async fn connect(&self, member: &Rc<Member>) -> Result<Conn, Lost> {
        Conn::open(member.clone(), self.dialect, &self.vm, CONNECT_MS).await
    }

    /// Takes a connection for a question of the daemon's own, before all callers' statements.
    ///
    /// # Errors
    /// As `Conn::open`; `Lost::Slow` when none became free.
    pub async fn control(&self, member: &Rc<Member>) -> Result<Conn, Lost> {
        if member.open.get() == 0 {
            return Conn::open(member.clone(), self.dialect, &self.vm, CONNECT_MS).await;
        }
        let now = Ms::now();
        let rank = Rank {
            priority: 0,
            target: now,
            until: now.plus(CONTROL_MS),
        };
        let conn = self.acquire(Need::This(member.key), rank, Vec::new()).await;
        conn.map_err(|_| Lost::Slow)
    }

    /// Members that may have acknowledged a commit of the primary which no other member has:
    /// all but the primary, less those that left while the primary still served.
    pub fn cohort(&self, primary: Option<&Rc<Member>>) -> Vec<Rc<Member>> {
        let heard = primary.map_or(Ms(0), |p| p.heard_at.get());
        let members = self.members.borrow();
        let may_hold = |m: &&Rc<Member>| {
            let settled = m.gone.get() && m.left_at.get().plus(SETTLE_MS) < heard;
            primary.is_none_or(|p| p.key != m.key) && !settled
        };
        members.iter().filter(may_hold).cloned().collect()
    }

    /// Closes all idle connections, while other daemons serve the group.
    pub fn release_idle(&self) {
        for member in self.members.borrow().iter() {
            member.idle.borrow_mut().clear();
        }
    }

    /// Closes connections that have been idle for long, beyond those kept.
    pub fn trim(&self) {
        for member in self.members.borrow().iter() {
            let mut idle = member.idle.borrow_mut();
            let most = self.rule.borrow().conns;
            let full = member.status.get().is_some_and(|s| s.conns + 1 >= most);
            let (keep, after) = if full {
                (KEEP_FULL, TRIM_FULL_MS)
            } else {
                (KEEP, TRIM_MS)
            };
            while member.open.get() > keep
                && idle.first().is_some_and(|c| c.idle_since.elapsed() > after)
            {
                idle.remove(0);
            }
        }
        let cohort = self.cohort(self.primary().as_ref());
        let primary = self.primary();
        self.members.borrow_mut().retain(|m| {
            !m.gone.get()
                || m.open.get() > 0
                || primary.as_ref().is_none_or(|p| p.key == m.key)
                || cohort.iter().any(|c| c.key == m.key)
        });
    }

    /// Forgets signs of failure, after this process itself has stood still.
    pub fn forget_silence(&self) {
        let now = Ms::now();
        for member in self.members.borrow().iter() {
            member.quiet_since.set(now);
            member.down.set(None);
        }
    }

    /// Members listed, and how many of them give no sign of life.
    pub fn silence(&self) -> (usize, usize) {
        let now = Ms::now();
        let listed = self.listed();
        let silent = listed
            .iter()
            .filter(|m| m.down.get().is_some() || m.silent_for(now) >= SILENT_MS);
        (listed.len(), silent.count())
    }

    /// Whether this daemon serves the group, by choice or since sessions were handed to it.
    pub fn is_served(&self) -> bool {
        self.homed.get() || self.sessions.get() > 0
    }

    /// Whether the primary cannot be used and nothing says that it soon can.
    pub fn is_hopeless(&self) -> bool {
        let now = Ms::now();
        let lease = self.lease();
        if lease > now {
            return false;
        }
        let out_for = now.0 - lease.0.max(self.began.0);
        let soon = self.sight().changing || self.newest_term() == 0;
        out_for > if soon { HOPE_CHANGE_MS } else { HOPE_MS }
    }

    /// Statements that wait.
    pub fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// A position that any read of this session may be served at, for logs.
    pub fn newest_pos(&self) -> Pos {
        let members = self.members.borrow();
        members
            .iter()
            .map(|m| m.pos.get())
            .max()
            .unwrap_or(Pos::ZERO)
    }
}

/// Removes a waiter when its statement stops waiting, and gives back what it did not use.
struct Leave<'a>(&'a Group, Rc<Waiter>);

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let waiter = &self.1;
        self.0
            .waiters
            .borrow_mut()
            .retain(|w| !Rc::ptr_eq(w, waiter));
        if let Some(conn) = waiter.given.borrow_mut().take() {
            self.0.put(conn);
        }
    }
}
