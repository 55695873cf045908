//! State of one member as known to a daemon, and its connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use base::Ms;
use schema::Pos;

use crate::{
    Conn, ConnEntry, ConnState, LagBackoff, MemberKey, MemberRecord, ProbeResult, Role, Status,
};

/// Weight of the newest sample in the mean latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;
/// Time without samples in which the distance of the mean latency from `INITIAL_LATENCY_MS` halves,
/// in ms.
const LATENCY_HALF_LIFE_MS: f64 = 2000.0;
/// Mean latency assumed while there are no samples, in ms.
const INITIAL_LATENCY_MS: f64 = 12.0;

/// Weight of the newest sample in the mean time for which a connection is held.
const HOLD_SAMPLE_WEIGHT: f64 = 0.05;
/// Mean time for which a connection is held, while there are no samples, in ms.
const INITIAL_HOLD_MS: f64 = 20.0;

/// Longest time from the choice of a member until a statement has reached it, in ms.
const DRAIN_MARGIN_MS: u64 = 1000;

/// Whether a member leaves its group.
#[derive(Clone, Copy)]
enum Leaving {
    No,
    /// It may have announced that at any time, also before this daemon started.
    SinceUnknown,
    /// It announced that at this instant, at the earliest.
    Since(Ms),
}

impl Leaving {
    /// By the record of a member, which was written after `earliest`; `None` if that is unknown.
    fn of(record: &MemberRecord, earliest: Option<Ms>) -> Leaving {
        match (record.draining, earliest) {
            (false, _) => Leaving::No,
            (true, None) => Leaving::SinceUnknown,
            (true, Some(earliest)) => Leaving::Since(earliest),
        }
    }
}

/// A member of a group.
pub struct Member {
    pub key: MemberKey,
    pub id: Box<str>,
    pub addr: SocketAddr,
    /// The member as the platform lists it.
    pub record: RefCell<MemberRecord>,
    /// Whether the platform no longer lists the member; it then gets no new statements.
    pub removed: Cell<bool>,
    /// When the platform stopped listing the member.
    pub removed_at: Cell<Ms>,
    /// Position of the primary after the removal of the member; it includes every commit that the
    /// member has confirmed.
    pub(crate) final_pos: Cell<Option<Pos>>,
    /// Whether the platform lists the member as leaving, and since when.
    leaving: Cell<Leaving>,
    /// When bytes were last received from the member, on any connection.
    pub last_heard: Cell<Ms>,
    /// State in the last status response; `None` before the first, or after it is known to be out
    /// of date.
    pub last_probe: Cell<Option<ProbeResult>>,
    /// Last status response; kept when `last_probe` is cleared.
    pub status: Cell<Option<Status>>,
    /// Since when the member has reported that it is fenced.
    pub fenced_since: Cell<Option<Ms>>,
    /// Newest log position that the member has reported since its start.
    pub pos: Cell<Pos>,
    /// End of its log before its last restart, until its first report after that.
    former_end: Cell<Option<Pos>>,
    /// Highest end of its log in earlier starts, unless it came back with that log.
    lost_end: Cell<Pos>,
    /// Members whose place it has taken, as the group lists them until it has shown their log.
    pub(crate) replaced: RefCell<Vec<Box<str>>>,
    /// Lowest position that the member has denied to contain although its log has reached a newer
    /// term. It was rolled back, and the member will not contain it or a later one of its term.
    rolled_back: Cell<Option<Pos>>,
    /// Connections that no session holds, the last released one last.
    pub(crate) idle_conns: RefCell<Vec<Conn>>,
    /// All connections of this daemon, including those being opened.
    pub(crate) conns: RefCell<Vec<ConnEntry>>,
    /// Number of `conns` that were open when the member last reported its own number.
    conns_at_status: Cell<usize>,
    /// Mean time for which a connection is held, in ms.
    hold_ms: Cell<f64>,
    /// Number of open connections, including idle ones.
    pub(crate) open_conns: Cell<u64>,
    /// Whether a direct connection that control commands can use is being opened for the pool.
    pub(crate) opening: Cell<bool>,
    /// Whether a connection through another daemon is being opened.
    pub(crate) tunneling: Cell<bool>,
    /// Instant before which no connection for the pool is opened, unless the member is silent.
    pub(crate) retry_at: Cell<Ms>,
    /// Number of connections in a row that the member has refused because it has too many.
    pub(crate) refusals: Cell<u32>,
    /// Since when connections to the member fail; `None` once one succeeds or bytes are received,
    /// and before the first failure.
    pub(crate) unreachable_since: Cell<Option<Ms>>,
    /// Whether the latest failure to connect was a refused or closed connection, not a timeout.
    pub(crate) conns_refused: Cell<bool>,
    /// Whether a health probe is in flight.
    pub(crate) probing: Cell<bool>,
    /// Number of requests that await an answer.
    pub(crate) in_flight: Cell<u64>,
    /// When bytes were last received, or a request was sent while none was in flight.
    pub(crate) silent_since: Cell<Ms>,
    /// Backoff for positions that the member lacks.
    pub(crate) lag_backoff: Cell<LagBackoff>,
    /// Instant before which the member gets no reads that any member may serve, since it has
    /// replied `Busy`.
    pub(crate) full_until: Cell<Ms>,
    /// Time of the newest sample, and the mean latency in ms at that time.
    latency: Cell<(Ms, f64)>,
}

impl Member {
    /// Creates a member from its record on the platform, which was written after `earliest`; `None` if
    /// that is unknown.
    pub fn new(record: MemberRecord, earliest: impl Into<Option<Ms>>) -> Member {
        let leaving = Leaving::of(&record, earliest.into());
        Member {
            key: MemberKey::next(),
            id: record.id.clone(),
            addr: record.addr,
            record: RefCell::new(record),
            removed: Cell::new(false),
            removed_at: Cell::new(Ms(0)),
            final_pos: Cell::new(None),
            leaving: Cell::new(leaving),
            last_heard: Cell::new(Ms(0)),
            last_probe: Cell::new(None),
            status: Cell::new(None),
            fenced_since: Cell::new(None),
            pos: Cell::new(Pos::ZERO),
            former_end: Cell::new(None),
            lost_end: Cell::new(Pos::ZERO),
            replaced: RefCell::default(),
            rolled_back: Cell::new(None),
            idle_conns: RefCell::default(),
            conns: RefCell::default(),
            conns_at_status: Cell::new(0),
            hold_ms: Cell::new(INITIAL_HOLD_MS),
            open_conns: Cell::new(0),
            opening: Cell::new(false),
            tunneling: Cell::new(false),
            retry_at: Cell::new(Ms(0)),
            refusals: Cell::new(0),
            unreachable_since: Cell::new(None),
            conns_refused: Cell::new(false),
            probing: Cell::new(false),
            in_flight: Cell::new(0),
            silent_since: Cell::new(Ms(0)),
            lag_backoff: Cell::default(),
            full_until: Cell::new(Ms(0)),
            latency: Cell::new((Ms(0), INITIAL_LATENCY_MS)),
        }
    }

    /// Forgets what belongs to the former start of a member that has started again.
    pub(crate) fn on_restart(&self) {
        let former_end = self.former_end.get().unwrap_or(Pos::ZERO);
        self.former_end.set(Some(former_end.max(self.log_end())));
        self.last_probe.set(None);
        self.status.set(None);
        self.fenced_since.set(None);
        self.pos.set(Pos::ZERO);
        self.rolled_back.set(None);
        self.idle_conns.borrow_mut().clear();
        self.lag_backoff.set(LagBackoff::default());
        self.full_until.set(Ms(0));
        self.latency.set((Ms(0), INITIAL_LATENCY_MS));
        self.hold_ms.set(INITIAL_HOLD_MS);
    }

    /// Highest end of the log that the member has reported, in this start and those before.
    pub(crate) fn highest_end(&self) -> Pos {
        let former_end = self.former_end.get().unwrap_or(Pos::ZERO);
        self.log_end().max(former_end).max(self.lost_end.get())
    }

    /// Notes that the member has taken the place of another one, which is listed as `id` until the member
    /// has shown its log.
    pub(crate) fn add_replaced(&self, former: &Member, id: Box<str>) {
        let ends = [self, former].map(|m| m.former_end.get().unwrap_or(Pos::ZERO));
        let end = ends[0].max(ends[1]).max(former.log_end());
        self.former_end.set(Some(end));
        self.lost_end
            .set(self.lost_end.get().max(former.lost_end.get()));
        let mut replaced = self.replaced.borrow_mut();
        replaced.extend(former.replaced.borrow().iter().cloned());
        replaced.push(id);
    }

    /// Takes the first report after a restart or a replacement; whether the member has the log that it had
    /// before, also before any earlier restart at which it had lost it. `None` if this is not the first
    /// report.
    pub(crate) fn has_kept_log(&self, received: Pos) -> Option<bool> {
        let former_end = self.former_end.take()?.max(self.lost_end.get());
        let has_kept = received >= former_end;
        let lost_end = if has_kept { Pos::ZERO } else { former_end };
        self.lost_end.set(lost_end);
        Some(has_kept)
    }

    /// Whether a log that ends here contains everything that the member has ever reported.
    pub(crate) fn has_whole_log(&self, received: Pos) -> bool {
        let former_end = self.former_end.get().unwrap_or(Pos::ZERO);
        let end = self.pos.get().max(former_end).max(self.lost_end.get());
        received >= end
    }

    /// Whether the member may get new reads.
    pub fn is_serving(&self) -> bool {
        !self.removed.get() && !self.record.borrow().draining
    }

    /// Whether a record is of the start of the member that this daemon knows.
    pub(crate) fn is_same_start(&self, record: &MemberRecord) -> bool {
        self.addr == record.addr && self.record.borrow().started_at == record.started_at
    }

    /// Replaces the record with one that was written after `earliest`.
    pub(crate) fn update_record(&self, record: &MemberRecord, earliest: Option<Ms>) {
        let is_known = record.draining && !matches!(self.leaving.get(), Leaving::No);
        if !is_known {
            self.leaving.set(Leaving::of(record, earliest));
        }
        self.record.replace(record.clone());
    }

    /// Instant from which the member, which leaves, gets no new statements even as primary; `None`
    /// if it does not leave. `drain_ms` is the time for which a leaving member takes statements.
    pub fn closes_at(&self, drain_ms: u64) -> Option<Ms> {
        match self.leaving.get() {
            Leaving::No => None,
            Leaving::SinceUnknown => Some(Ms(0)),
            Leaving::Since(since) => Some(since.plus(drain_ms.saturating_sub(DRAIN_MARGIN_MS))),
        }
    }

    /// Records a status response.
    pub(crate) fn record_status(&self, status: &Status) {
        self.status.set(Some(*status));
        let conns = self.conns.borrow();
        let open = conns.iter().filter(|c| c.state != ConnState::Opening);
        self.conns_at_status.set(open.count());
    }

    /// Number of connections that the member has from all daemons: as last reported, with this
    /// daemon's changes since.
    pub(crate) fn used_conns(&self) -> u64 {
        let own = self.conns.borrow().len();
        let closed = self.conns_at_status.get().saturating_sub(own);
        let closed = u64::try_from(closed).unwrap_or(u64::MAX);
        let reported = self.status.get().map_or(0, |s| s.conns);
        (reported + self.conn_growth()).saturating_sub(closed)
    }

    /// Connections opened by this daemon since the last report, less those closed.
    pub(crate) fn conn_growth(&self) -> u64 {
        let own = self.conns.borrow().len();
        let opened = own.saturating_sub(self.conns_at_status.get());
        u64::try_from(opened).unwrap_or(u64::MAX)
    }

    /// Adds a sample to the mean time for which a connection is held.
    pub(crate) fn record_hold(&self, ms: u64) {
        let sample = f64::from(u32::try_from(ms).unwrap_or(u32::MAX));
        let mean = self.hold_ms.get();
        self.hold_ms
            .set(mean + (sample - mean) * HOLD_SAMPLE_WEIGHT);
    }

    /// Mean time for which a connection is held, in ms.
    pub(crate) fn hold_ms(&self) -> f64 {
        self.hold_ms.get()
    }

    /// Whether the platform lists the member as primary and there is no valid probe result.
    pub fn is_presumed_primary(&self) -> bool {
        self.last_probe.get().is_none() && self.record.borrow().role == Role::Primary
    }

    /// Whether the member has reported that it is fenced for a primary change.
    pub fn is_fenced(&self) -> bool {
        self.last_probe.get().is_some_and(|p| p.fenced > 0)
    }

    /// Records an answer that the member lacks `pos`; its log has reached `reached`.
    pub fn record_lag(&self, pos: Pos, reached: Option<Pos>, now: Ms) {
        if reached.is_some_and(|reached| reached.term > pos.term) {
            let lowest = self.rolled_back.get().filter(|p| p.term == pos.term);
            self.rolled_back
                .set(Some(lowest.map_or(pos, |p| p.min(pos))));
        }
        let mut lag_backoff = self.lag_backoff.get();
        lag_backoff.record_lag(now);
        self.lag_backoff.set(lag_backoff);
    }

    /// Whether a position is known to have been rolled back at the member.
    fn has_rolled_back(&self, pos: Pos) -> bool {
        let lowest = self.rolled_back.get();
        lowest.is_some_and(|p| p.term == pos.term && p <= pos)
    }

    /// Whether the log may contain a position by now, although the member may have replied that it
    /// lacks one.
    pub fn may_contain(&self, pos: Pos, now: Ms) -> bool {
        !self.has_rolled_back(pos)
            && (self.pos.get() >= pos || self.lag_backoff.get().may_retry(now))
    }

    /// Whether the predicted wait for a position may count on the member.
    pub(crate) fn is_expected_to_contain(&self, pos: Pos, now: Ms) -> bool {
        !self.has_rolled_back(pos)
            && (self.pos.get() >= pos || !self.lag_backoff.get().is_lagging(now))
    }

    /// Records a position that the member has reported.
    pub fn record_position(&self, pos: Pos) {
        if pos <= self.pos.get() {
            return;
        }
        self.pos.set(pos);
        let mut lag_backoff = self.lag_backoff.get();
        lag_backoff.record_progress();
        self.lag_backoff.set(lag_backoff);
    }

    /// End of the log as last reported, applied or not.
    pub(crate) fn log_end(&self) -> Pos {
        let received = self.status.get().map_or(Pos::ZERO, |s| s.received);
        self.pos.get().max(received)
    }

    /// Adds a sample to the mean latency.
    pub(crate) fn record_latency(&self, ms: u64, now: Ms) {
        let sample = f64::from(u32::try_from(ms).unwrap_or(u32::MAX));
        let mean = self.mean_latency(now);
        self.latency
            .set((now, mean + (sample - mean) * LATENCY_SAMPLE_WEIGHT));
    }

    /// Mean latency of a statement in ms; decays to `INITIAL_LATENCY_MS` without new samples.
    pub fn mean_latency(&self, now: Ms) -> f64 {
        let (at, mean) = self.latency.get();
        let age = f64::from(u32::try_from(now.0.saturating_sub(at.0)).unwrap_or(u32::MAX));
        let remaining = 0.5_f64.powf(age / LATENCY_HALF_LIFE_MS);
        INITIAL_LATENCY_MS + (mean - INITIAL_LATENCY_MS) * remaining
    }

    /// Time for which requests have been in flight without any input from the member, in ms.
    pub fn silent_for(&self, now: Ms) -> u64 {
        if self.in_flight.get() == 0 {
            return 0;
        }
        now.0.saturating_sub(self.silent_since.get().0)
    }

    /// Records that bytes were received from the member.
    pub(crate) fn on_input(&self, now: Ms) {
        self.silent_since.set(now);
        self.last_heard.set(now);
        self.unreachable_since.set(None);
    }

    /// Records that a request is about to be sent.
    pub fn on_request(&self, now: Ms) {
        if self.in_flight.replace(self.in_flight.get() + 1) == 0 {
            self.silent_since.set(now);
        }
    }

    /// Records that a request was answered or given up.
    pub(crate) fn on_response(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
    }
}
