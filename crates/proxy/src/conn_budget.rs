//! Decides how a statement gets a connection of its client account to a member.
//!
//! A connection serves one account only, and a member has fewer connections than there are accounts.
//! Each owner of a group therefore has a share of the member's connections, and divides it among the
//! accounts whose sessions it serves.

use base::Ms;

use crate::{AccountKey, ConnEntry, ConnKey, ConnState, Purpose};

/// Connections of a member that no owner's share includes, for changes of primary and for openings
/// that overlap with the closing of other connections.
const SPARE_CONNS: u64 = 2;
/// Age below which a connection is not closed for another account, in ms. An opening takes 12 ms of
/// a slot, so this bounds what two accounts cost that evict each other's connections in turn.
const MIN_EVICTION_AGE_MS: u64 = 100;
/// Idle time from which a connection may be closed for an account that has as many as its own, in
/// ms. Without it, a hot account would close the only connections of accounts that are used every
/// few hundred ms.
const LONG_IDLE_MS: u64 = 1000;
/// Expected time until a new connection can be used, in ms: 12 ms of a slot and two round trips.
const OPENING_MS: f64 = 20.0;
/// Idle time after which a connection above the share is given back while the member is nearly full,
/// in ms. With the interval of the health check, this is within the 300 ms of the design.
const RETURN_IDLE_MS: u64 = 200;
/// As `RETURN_IDLE_MS`, while the member has free connections.
const SURPLUS_IDLE_MS: u64 = 3000;
/// Idle time after which any connection is closed, in ms; an opening every 30 s costs the member
/// next to nothing.
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// What a daemon knows of a member when it decides on connections to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnBudget {
    /// Connections that the member accepts from all daemons together.
    pub limit: u64,
    /// Connections that the member has, as last reported, with this daemon's changes since.
    pub used: u64,
    /// Connections that this daemon has opened since that report, less those that it has closed.
    pub growth: u64,
    /// Number of daemons that serve the group.
    pub owners: u64,
    /// Whether this daemon is none of them, and serves the group because it knows or reaches none.
    pub stands_in: bool,
    /// Number of statements that the member runs concurrently.
    pub slots: u64,
    /// Number of connections to the member that may be opened at once.
    pub max_opening: u64,
    /// Instant before which no connection is opened, after a failure or a refusal of the member.
    pub retry_at: Ms,
}

/// How a statement gets a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnStep {
    /// It takes this idle connection of its account.
    Use(ConnKey),
    /// A connection is opened for it.
    Open,
    /// This idle connection of another account is closed, and one is opened for it.
    Evict(ConnKey),
    /// It waits until one of the others is possible.
    Wait,
}

impl ConnBudget {
    /// Connections of the member that this daemon opens without regard to the others.
    ///
    /// A daemon that stands in for the owners cannot know whether they use their shares behind a cut. It has
    /// one connection, and others only as long as the member has free ones.
    pub fn share(&self) -> u64 {
        if self.stands_in {
            return 1;
        }
        let share = self.limit.saturating_sub(self.reserve()) / self.owners.max(1);
        share.max(1)
    }

    /// One control connection of each owner, and the spare connections.
    fn reserve(&self) -> u64 {
        self.owners.max(1) + SPARE_CONNS
    }

    /// Connections of one account while statements of others wait.
    fn account_limit(&self) -> u64 {
        (self.share() / 2).max(1)
    }

    /// Whether an account has more connections than it may have while statements of others wait.
    pub fn is_over_account_limit(&self, conns: &[ConnEntry], account: Option<AccountKey>) -> bool {
        count_of(conns, account) > self.account_limit()
    }

    /// Whether an account has connections enough to fill the member's slots, so that its statements
    /// wait for these and not for a connection.
    pub fn fills_slots(&self, conns: &[ConnEntry], account: Option<AccountKey>) -> bool {
        count_of(conns, account) >= self.slots.max(1)
    }

    /// Whether this daemon has more connections for statements than its share.
    pub fn is_above_share(&self, conns: &[ConnEntry]) -> bool {
        to_u64(statement_conns(conns).count()) > self.share()
    }

    /// Connections that this daemon may still open without regard to the others.
    fn room(&self, conns: &[ConnEntry]) -> u64 {
        let used = to_u64(statement_conns(conns).count());
        self.share().saturating_sub(used)
    }

    /// Whether the member has connections that no share needs now. The other owners are taken to have
    /// opened as many since the last report as this daemon: after a start, all of them open some.
    fn has_free(&self) -> bool {
        let used = self.used + self.growth * (self.owners.max(1) - 1);
        used + self.reserve() < self.limit
    }

    /// The first step that is possible for a waiting statement of an account. `others_wait` tells
    /// whether statements of other accounts wait.
    pub fn next_step(
        &self,
        conns: &[ConnEntry],
        account: Option<AccountKey>,
        others_wait: bool,
        now: Ms,
    ) -> ConnStep {
        let own = || conns.iter().filter(|c| c.is_of(account));
        let idle = own().filter(|c| c.state == ConnState::Idle);
        if let Some(latest) = idle.max_by_key(|c| c.since) {
            return ConnStep::Use(latest.key);
        }
        let is_opening = |c: &&ConnEntry| c.state == ConnState::Opening;
        let opening = to_u64(conns.iter().filter(is_opening).count());
        if self.retry_at > now || opening >= self.max_opening.max(1) {
            return ConnStep::Wait;
        }
        if others_wait && to_u64(own().count()) >= self.account_limit() {
            return ConnStep::Wait;
        }
        let has_room = self.room(conns) > 0 || self.has_free();
        if has_room {
            return ConnStep::Open;
        }
        let victim = self.victim(conns, account, now);
        victim.map_or(ConnStep::Wait, ConnStep::Evict)
    }

    /// The least recently used idle connection that may be closed for a statement of an account.
    fn victim(&self, conns: &[ConnEntry], account: Option<AccountKey>, now: Ms) -> Option<ConnKey> {
        let own = count_of(conns, account);
        let may_close = |c: &&ConnEntry| {
            let Purpose::Statements(other) = c.purpose else {
                return false;
            };
            let is_old = c.opened_at.plus(MIN_EVICTION_AGE_MS) <= now;
            let is_spared =
                own > 0 && count_of(conns, other) <= own && c.since.plus(LONG_IDLE_MS) > now;
            other != account && c.state == ConnState::Idle && is_old && !is_spared
        };
        let victim = conns.iter().filter(may_close).min_by_key(|c| c.since)?;
        Some(victim.key)
    }

    /// The idle connections that are to be closed: those above the share after an idle time that
    /// depends on whether the member is nearly full, and those that are hardly used.
    pub fn surplus(&self, conns: &[ConnEntry], now: Ms) -> Vec<ConnKey> {
        let is_nearly_full = self.used + SPARE_CONNS >= self.limit;
        let idle_ms = if is_nearly_full {
            RETURN_IDLE_MS
        } else {
            SURPLUS_IDLE_MS
        };
        let mut surplus = self.above_share(conns, idle_ms, now);
        let unused = idle_for(conns, IDLE_TIMEOUT_MS, now).map(|c| c.key);
        let unused: Vec<ConnKey> = unused.filter(|key| !surplus.contains(key)).collect();
        surplus.extend(unused);
        surplus
    }

    /// The least recently used connections above the share that have been idle for `idle_ms`.
    pub fn above_share(&self, conns: &[ConnEntry], idle_ms: u64, now: Ms) -> Vec<ConnKey> {
        let above = statement_conns(conns).count();
        let above = above.saturating_sub(usize::try_from(self.share()).unwrap_or(usize::MAX));
        let mut idle: Vec<&ConnEntry> = idle_for(conns, idle_ms, now).collect();
        idle.sort_by_key(|c| c.since);
        idle.into_iter().take(above).map(|c| c.key).collect()
    }

    /// Expected time until a waiting statement has a connection, in ms, behind `ahead` others that
    /// wait for the same ones. `hold_ms` is the mean time for which a connection is held.
    ///
    /// A connection that has been held for long, as by a transaction, is expected to be held for as
    /// long again.
    pub fn expected_wait_ms(
        &self,
        conns: &[ConnEntry],
        account: Option<AccountKey>,
        ahead: usize,
        hold_ms: f64,
        now: Ms,
    ) -> f64 {
        let own = count_of(conns, account);
        let has_own = own > 0;
        let room = self.room(conns).min(if has_own {
            self.account_limit().saturating_sub(own)
        } else {
            u64::MAX
        });
        let room = usize::try_from(room).unwrap_or(usize::MAX);
        let retry_ms = to_f64(self.retry_at.0.saturating_sub(now.0));
        if ahead < room {
            return retry_ms + OPENING_MS;
        }
        let ahead = ahead - room;
        let usable = statement_conns(conns).filter(|c| !has_own || c.is_of(account));
        let free_in = |c: &ConnEntry| match c.state {
            ConnState::Opening if has_own => OPENING_MS,
            ConnState::Opening | ConnState::Idle => to_f64(MIN_EVICTION_AGE_MS),
            ConnState::Held => to_f64(now.0.saturating_sub(c.since.0)).max(hold_ms),
        };
        let mut waits: Vec<f64> = usable.map(free_in).collect();
        waits.sort_by(f64::total_cmp);
        let opening_ms = if has_own { 0.0 } else { OPENING_MS };
        let Some(longest) = waits.last() else {
            return retry_ms + OPENING_MS;
        };
        let rounds = to_f64(to_u64(ahead / waits.len()));
        opening_ms + rounds * longest + waits[ahead % waits.len()]
    }
}

/// Connections that carry statements, those being opened included.
fn statement_conns(conns: &[ConnEntry]) -> impl Iterator<Item = &ConnEntry> {
    conns.iter().filter(|c| c.purpose != Purpose::Control)
}

/// Number of an account's connections, those being opened included.
fn count_of(conns: &[ConnEntry], account: Option<AccountKey>) -> u64 {
    to_u64(conns.iter().filter(|c| c.is_of(account)).count())
}

/// Connections for statements that have been idle for `idle_ms`.
fn idle_for(conns: &[ConnEntry], idle_ms: u64, now: Ms) -> impl Iterator<Item = &ConnEntry> {
    let is_idle = move |c: &&ConnEntry| c.state == ConnState::Idle && c.since.plus(idle_ms) <= now;
    statement_conns(conns).filter(is_idle)
}

fn to_u64(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}

fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
