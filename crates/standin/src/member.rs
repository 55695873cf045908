//! A member of a database group: role, terms, log and listener.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::log::{Entry, Log};
use crate::{replication, session};

/// Command-line options of a member.
pub struct Options {
    pub listen: Box<str>,
    /// Whether to start as the primary of term 1, if the data file holds no log yet.
    pub start_as_primary: bool,
    /// Address of the primary to follow at the start.
    pub follow: Option<Box<str>>,
    /// `FROM=TO` prefixes that are rewritten in addresses of other members.
    pub address_map: Vec<Box<str>>,
    /// File that persists term and log; without it, both are lost when the process ends.
    pub data_file: Option<Box<str>>,
    pub max_connections: u64,
    /// Most concurrent statements.
    pub slots: u64,
    /// Delay before a new connection is answered.
    pub open_ms: u64,
    /// Time that a statement occupies its slot.
    pub work_us: u64,
    /// Delay before a replica applies an entry.
    pub lag_ms: u64,
}

/// Mutable state of a member, behind its lock.
pub struct State {
    pub log: Log,
    /// Whether this member is the primary of the term `log.term`.
    pub is_primary: bool,
    /// Address of the primary of the term `log.term`, if this member follows it.
    pub follow: Option<Box<str>>,
    /// Proposer that the term `log.term` was granted to, or empty.
    pub granted_to: Box<str>,
    /// Last contact with the primary; also set when the term or the primary changes.
    pub last_contact: Instant,
    /// Slots in use; at most `Options::slots`.
    pub busy_slots: u64,
}

/// Status of a member, the result of most control functions.
pub struct Status {
    pub term: u64,
    pub is_primary: bool,
    pub log_term: u64,
    pub log_len: u64,
    /// Time since `State::last_contact`; 0 on the primary.
    pub contact_ms: u64,
    /// Whether the requested change of term or role was accepted.
    pub granted: bool,
    pub follow: Box<str>,
}

pub struct Member {
    pub options: Options,
    state: Mutex<State>,
    /// Signalled when the log grows, the role changes or a slot becomes free.
    pub changed: Condvar,
    pub open_connections: AtomicU64,
    pub refused_connections: AtomicU64,
    /// Completed statements on tables.
    pub served_statements: AtomicU64,
    pub lag_ms: AtomicU64,
    pub work_us: AtomicU64,
    /// Fault: number of connections that are still to start answering each statement with the
    /// answer to the previous one.
    pub pending_crossed: AtomicU64,
    /// Fault: number of statements after whose execution the connection is still to be closed
    /// without an answer.
    pub pending_lost: AtomicU64,
    /// Cancel key of the next connection.
    pub next_cancel_key: AtomicU64,
    /// Cancel keys of the connections whose statement is to be cancelled.
    pub cancelled: Mutex<HashSet<u64>>,
}

impl Member {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the member lock is not poisoned")
    }

    /// Address at which this member reaches another one, rewritten by `Options::address_map`.
    pub fn map_address(&self, addr: &str) -> String {
        for pair in &self.options.address_map {
            if let Some((from, to)) = pair.split_once('=')
                && let Some(rest) = addr.strip_prefix(from)
            {
                return format!("{to}{rest}");
            }
        }
        addr.to_owned()
    }

    pub fn status(&self, state: &State, granted: bool) -> Status {
        let (log_term, log_len) = state.log.last_position();
        let contact_ms = if state.is_primary {
            0
        } else {
            state.last_contact.elapsed().as_millis()
        };
        Status {
            term: state.log.term,
            is_primary: state.is_primary,
            log_term,
            log_len,
            contact_ms: u64::try_from(contact_ms).unwrap_or(u64::MAX),
            granted,
            follow: state.follow.clone().unwrap_or_default(),
        }
    }

    /// Waits until the log reaches a position, the term or role changes, the primary has been
    /// silent for `max_silence_ms`, or `timeout` has passed.
    pub fn wait_for_position(
        &self,
        pos: (u64, u64),
        timeout: Duration,
        max_silence_ms: u64,
    ) -> Status {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        let initial = (state.log.term, state.is_primary);
        loop {
            let status = self.status(&state, false);
            let now = Instant::now();
            let role_changed = (status.term, status.is_primary) != initial;
            let contact_lost = !state.is_primary && status.contact_ms >= max_silence_ms;
            if (status.log_term, status.log_len) >= pos
                || role_changed
                || contact_lost
                || now >= deadline
            {
                return status;
            }
            // Loss of contact is not signalled, so a replica polls for it.
            let poll_interval = if state.is_primary {
                deadline - now
            } else {
                Duration::from_millis(20)
            };
            state = self
                .changed
                .wait_timeout(state, poll_interval.min(deadline - now))
                .expect("the member lock is not poisoned")
                .0;
        }
    }

    /// Grants a newer term to a proposer; the member then neither is nor follows a primary.
    ///
    /// Each term is granted to one proposer only; a repeated request for the same grant succeeds.
    pub fn grant_term(&self, term: u64, proposer: &str) -> Status {
        let mut state = self.lock();
        let repeated = term == state.log.term && *state.granted_to == *proposer;
        let granted = term > state.log.term || repeated;
        if term > state.log.term {
            state.log.set_term(term);
            state.granted_to = proposer.into();
            state.is_primary = false;
            state.follow = None;
            state.last_contact = Instant::now();
            self.changed.notify_all();
        }
        self.status(&state, granted)
    }

    /// Makes this member the primary of a term that it granted to the proposer, unless it has
    /// learned of a newer one.
    pub fn promote(&self, term: u64, proposer: &str) -> Status {
        let mut state = self.lock();
        let granted = state.log.term == term && *state.granted_to == *proposer;
        if granted && !state.is_primary {
            state.is_primary = true;
            state.follow = None;
            state.log.append(Entry {
                term,
                ops: Vec::new(),
            });
            self.changed.notify_all();
        }
        self.status(&state, granted)
    }

    /// Follows the primary of a term, unless this member knows a newer term or is the primary of
    /// that term itself.
    pub fn follow(&self, term: u64, addr: &str) -> Status {
        let mut state = self.lock();
        let newer = term > state.log.term;
        let granted = newer || (term == state.log.term && !state.is_primary);
        if granted && state.follow.as_deref() != Some(addr) {
            if newer {
                state.log.set_term(term);
                state.granted_to = "".into();
            }
            state.is_primary = false;
            state.follow = Some(addr.into());
            state.last_contact = Instant::now();
            self.changed.notify_all();
        }
        self.status(&state, granted)
    }

    /// Runs a statement in one of the member's slots, after waiting for a free one.
    pub fn run_in_slot<T>(&self, statement: impl FnOnce() -> T) -> T {
        let mut state = self.lock();
        while state.busy_slots >= self.options.slots {
            state = self
                .changed
                .wait(state)
                .expect("the member lock is not poisoned");
        }
        state.busy_slots += 1;
        drop(state);
        std::thread::sleep(Duration::from_micros(self.work_us.load(Ordering::Relaxed)));
        let reply = statement();
        self.served_statements.fetch_add(1, Ordering::Relaxed);
        self.lock().busy_slots -= 1;
        self.changed.notify_all();
        reply
    }
}

/// Serves a member until the process ends.
pub fn run(options: Options) {
    let addr: SocketAddr = options.listen.parse().expect("--listen expects an address");
    let listener = TcpListener::bind(addr).expect("cannot bind the listen address");
    let log = Log::open(options.data_file.as_deref());
    // A restarted member must not resume as the primary: another one may have been promoted since.
    let is_primary = options.start_as_primary && log.entries.is_empty() && log.term == 1;
    let state = State {
        is_primary,
        follow: if is_primary || log.term > 1 {
            None
        } else {
            options.follow.clone()
        },
        granted_to: "".into(),
        last_contact: Instant::now(),
        busy_slots: 0,
        log,
    };
    let member = Arc::new(Member {
        lag_ms: AtomicU64::new(options.lag_ms),
        work_us: AtomicU64::new(options.work_us),
        options,
        state: Mutex::new(state),
        changed: Condvar::new(),
        open_connections: AtomicU64::new(0),
        refused_connections: AtomicU64::new(0),
        served_statements: AtomicU64::new(0),
        pending_crossed: AtomicU64::new(0),
        pending_lost: AtomicU64::new(0),
        next_cancel_key: AtomicU64::new(1),
        cancelled: Mutex::default(),
    });
    if is_primary {
        member.lock().log.append(Entry {
            term: 1,
            ops: Vec::new(),
        });
    }
    let follower = member.clone();
    std::thread::spawn(move || replication::follow_loop(&follower));
    for stream in listener.incoming().flatten() {
        let member = member.clone();
        std::thread::spawn(move || session::serve(&member, stream));
    }
}
