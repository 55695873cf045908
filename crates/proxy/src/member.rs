//! What a daemon knows of one member, and its connections to it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use base::Ms;
use schema::Pos;

use crate::{Conn, LagBackoff, MemberRecord, ProbeResult, Role, Status};

/// Weight of the newest sample in the mean time of a statement.
const NEWEST_WEIGHT: f64 = 0.2;
/// Time after which half of a mean's distance to the start value is forgotten, in ms.
const FORGET_MS: f64 = 2000.0;
/// Mean time of a statement that is assumed at first, in ms.
const FIRST_COST_MS: f64 = 12.0;

/// Names a member within one daemon; never used again for another.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct MemberKey(pub u64);

thread_local! {
    static NEXT: Cell<u64> = const { Cell::new(0) };
}

impl MemberKey {
    fn next() -> MemberKey {
        MemberKey(NEXT.replace(NEXT.get() + 1))
    }
}

/// A member of a group.
pub struct Member {
    /// Names it within this daemon.
    pub key: MemberKey,
    /// Its identifier.
    pub id: Box<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// What the platform lists.
    pub record: RefCell<MemberRecord>,
    /// Whether the platform no longer lists it; it then gets no new work.
    pub removed: Cell<bool>,
    /// When the platform stopped listing it.
    pub removed_at: Cell<Ms>,
    /// When it was last heard, on any connection.
    pub last_heard: Cell<Ms>,
    /// What it said last of itself.
    pub last_probe: Cell<Option<ProbeResult>>,
    /// The status that the word came from.
    pub status: Cell<Option<Status>>,
    /// Since when it says that it is fenced.
    pub fenced_since: Cell<Option<Ms>>,
    /// Newest position that it answered with.
    pub pos: Cell<Pos>,
    /// Connections that no session holds, the newest last.
    pub(crate) idle_conns: RefCell<Vec<Conn>>,
    /// Connections open, idle ones included.
    pub(crate) open_conns: Cell<u64>,
    /// Whether a connection is being opened.
    pub(crate) opening: Cell<bool>,
    /// Whether a connection through another daemon is being opened.
    pub(crate) tunneling: Cell<bool>,
    /// Instant before which none is opened.
    pub(crate) retry_at: Cell<Ms>,
    /// Since when connections fail at the transport, if they do.
    pub(crate) unreachable_since: Cell<Option<Ms>>,
    /// Whether the latest failure was a refused or reset connection.
    pub(crate) conns_refused: Cell<bool>,
    /// Whether it is being asked about itself.
    pub(crate) probing: Cell<bool>,
    /// Statements that wait for its answer.
    pub(crate) in_flight: Cell<u64>,
    /// When it was last heard, or a question was sent to it while none was waiting.
    pub(crate) silent_since: Cell<Ms>,
    /// What it said of positions that it lacks.
    pub(crate) lag: Cell<LagBackoff>,
    /// Instant before which it gets no reads, since it had no room.
    pub(crate) full_until: Cell<Ms>,
    cost: Cell<(Ms, f64)>,
}

impl Member {
    /// A member as listed.
    pub fn new(entry: MemberRecord) -> Member {
        Member {
            key: MemberKey::next(),
            id: entry.id.clone(),
            addr: entry.addr,
            record: RefCell::new(entry),
            removed: Cell::new(false),
            removed_at: Cell::new(Ms(0)),
            last_heard: Cell::new(Ms(0)),
            last_probe: Cell::new(None),
            status: Cell::new(None),
            fenced_since: Cell::new(None),
            pos: Cell::new(Pos::ZERO),
            idle_conns: RefCell::default(),
            open_conns: Cell::new(0),
            opening: Cell::new(false),
            tunneling: Cell::new(false),
            retry_at: Cell::new(Ms(0)),
            unreachable_since: Cell::new(None),
            conns_refused: Cell::new(false),
            probing: Cell::new(false),
            in_flight: Cell::new(0),
            silent_since: Cell::new(Ms(0)),
            lag: Cell::default(),
            full_until: Cell::new(Ms(0)),
            cost: Cell::new((Ms(0), FIRST_COST_MS)),
        }
    }

    /// Whether it may get new work that a replica can do.
    pub fn is_serving(&self) -> bool {
        !self.removed.get() && !self.record.borrow().draining
    }

    /// Whether the platform lists it as primary, while it has not said anything else itself.
    pub fn claims_primary(&self) -> bool {
        self.last_probe.get().is_none() && self.record.borrow().role == Role::Primary
    }

    /// Whether it said that it is fenced for a change of primary.
    pub fn is_fenced(&self) -> bool {
        self.last_probe.get().is_some_and(|w| w.fenced > 0)
    }

    /// Takes over that it lacks a position.
    pub(crate) fn record_lag(&self, now: Ms) {
        let mut behind = self.lag.get();
        behind.record_lag(now);
        self.lag.set(behind);
    }

    /// Takes over a position that it answered with.
    pub(crate) fn record_position(&self, pos: Pos) {
        if pos <= self.pos.get() {
            return;
        }
        self.pos.set(pos);
        let mut behind = self.lag.get();
        behind.record_progress();
        self.lag.set(behind);
    }

    /// Counts the time that a statement took.
    pub(crate) fn record_latency(&self, ms: u64, now: Ms) {
        let sample = f64::from(u32::try_from(ms).unwrap_or(u32::MAX));
        let mean = self.mean_latency(now);
        self.cost.set((now, mean + (sample - mean) * NEWEST_WEIGHT));
    }

    /// Mean time of a statement in ms; old samples fade.
    pub fn mean_latency(&self, now: Ms) -> f64 {
        let (at, mean) = self.cost.get();
        let age = f64::from(u32::try_from(now.0.saturating_sub(at.0)).unwrap_or(u32::MAX));
        let kept = 0.5_f64.powf(age / FORGET_MS);
        FIRST_COST_MS + (mean - FIRST_COST_MS) * kept
    }

    /// Time that a question has waited without any sign of life, in ms.
    pub fn silent_for(&self, now: Ms) -> u64 {
        if self.in_flight.get() == 0 {
            return 0;
        }
        now.0.saturating_sub(self.silent_since.get().0)
    }

    pub(crate) fn on_input(&self, now: Ms) {
        self.silent_since.set(now);
        self.last_heard.set(now);
        self.unreachable_since.set(None);
    }

    pub(crate) fn on_request(&self, now: Ms) {
        if self.in_flight.replace(self.in_flight.get() + 1) == 0 {
            self.silent_since.set(now);
        }
    }

    pub(crate) fn on_response(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
    }
}
