//! One member of a database group: its state, its terms and its listener.

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
    pub leader: bool,
    pub follow: Option<Box<str>>,
    pub map: Vec<Box<str>>,
    pub data: Option<Box<str>>,
    pub limit: u64,
    pub slots: u64,
    pub open_ms: u64,
    pub work_us: u64,
    pub lag_ms: u64,
}

/// State under the member's lock.
pub struct State {
    pub log: Log,
    /// True only for the term in `log.term`.
    pub leader: bool,
    /// Address of the primary to follow, valid for the term in `log.term`.
    pub follow: Option<Box<str>>,
    /// Proposer that holds the grant of the term in `log.term`.
    pub granted: Box<str>,
    /// When the primary was last heard.
    pub heard: Instant,
    /// Statements running now; never above the number of slots.
    pub running: u64,
}

/// What a control statement answers.
pub struct Status {
    pub term: u64,
    pub leader: bool,
    pub log_term: u64,
    pub log_len: u64,
    pub contact_ms: u64,
    pub granted: bool,
    pub follow: Box<str>,
}

pub struct Member {
    pub options: Options,
    state: Mutex<State>,
    pub changed: Condvar,
    pub open: AtomicU64,
    pub refused: AtomicU64,
    /// Statements on tables that were run.
    pub served: AtomicU64,
    pub lag_ms: AtomicU64,
    pub work_us: AtomicU64,
    /// Answers to send shifted by one: each statement gets its predecessor's answer.
    pub crossed: AtomicU64,
    /// Statements whose connection closes after they ran and before they are answered.
    pub lose: AtomicU64,
    /// Numbers of the connections, which are their cancel keys.
    pub next_key: AtomicU64,
    /// Connections whose statement is to be cancelled.
    pub cancelled: Mutex<HashSet<u64>>,
}

impl Member {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while holding the lock")
    }

    /// Address of a peer as this member reaches it.
    pub fn mapped(&self, addr: &str) -> String {
        for pair in &self.options.map {
            if let Some((from, to)) = pair.split_once('=')
                && let Some(rest) = addr.strip_prefix(from)
            {
                return format!("{to}{rest}");
            }
        }
        addr.to_owned()
    }

    pub fn status(&self, state: &State, granted: bool) -> Status {
        let (log_term, log_len) = state.log.last();
        let contact = if state.leader {
            0
        } else {
            state.heard.elapsed().as_millis()
        };
        Status {
            term: state.log.term,
            leader: state.leader,
            log_term,
            log_len,
            contact_ms: u64::try_from(contact).unwrap_or(u64::MAX),
            granted,
            follow: state.follow.clone().unwrap_or_default(),
        }
    }

    /// Waits until the log reaches a position, the role changes, contact is lost, or time runs out.
    pub fn wait(&self, pos: (u64, u64), limit: Duration, contact: u64) -> Status {
        let until = Instant::now() + limit;
        let mut state = self.lock();
        let begin = (state.log.term, state.leader);
        loop {
            let status = self.status(&state, false);
            let now = Instant::now();
            let moved = (status.term, status.leader) != begin;
            let lost = !state.leader && status.contact_ms >= contact;
            if (status.log_term, status.log_len) >= pos || moved || lost || now >= until {
                return status;
            }
            let step = if state.leader {
                until - now
            } else {
                Duration::from_millis(20)
            };
            state = self
                .changed
                .wait_timeout(state, step.min(until - now))
                .expect("lock is sound")
                .0;
        }
    }

    /// Grants a term once, to one proposer.
    pub fn raise(&self, term: u64, proposer: &str) -> Status {
        let mut state = self.lock();
        let again = term == state.log.term && *state.granted == *proposer;
        let granted = term > state.log.term || again;
        if term > state.log.term {
            state.log.set_term(term);
            state.granted = proposer.into();
            state.leader = false;
            state.follow = None;
            state.heard = Instant::now();
            self.changed.notify_all();
        }
        self.status(&state, granted)
    }

    /// Makes this member the primary of a term that it granted and that is still its newest.
    pub fn promote(&self, term: u64, proposer: &str) -> Status {
        let mut state = self.lock();
        let granted = state.log.term == term && *state.granted == *proposer;
        if granted && !state.leader {
            state.leader = true;
            state.follow = None;
            state.log.append(Entry {
                term,
                ops: Vec::new(),
            });
            self.changed.notify_all();
        }
        self.status(&state, granted)
    }

    /// Follows the primary of a term, unless a newer term is known.
    pub fn follow(&self, term: u64, addr: &str) -> Status {
        let mut state = self.lock();
        let newer = term > state.log.term;
        let granted = newer || (term == state.log.term && !state.leader);
        if granted && state.follow.as_deref() != Some(addr) {
            if newer {
                state.log.set_term(term);
                state.granted = "".into();
            }
            state.leader = false;
            state.follow = Some(addr.into());
            state.heard = Instant::now();
            self.changed.notify_all();
        }
        self.status(&state, granted)
    }

    /// Holds one of the member's slots while `work` runs.
    pub fn in_slot<T>(&self, work: impl FnOnce() -> T) -> T {
        let mut state = self.lock();
        while state.running >= self.options.slots {
            state = self.changed.wait(state).expect("lock is sound");
        }
        state.running += 1;
        drop(state);
        std::thread::sleep(Duration::from_micros(self.work_us.load(Ordering::Relaxed)));
        let out = work();
        self.served.fetch_add(1, Ordering::Relaxed);
        self.lock().running -= 1;
        self.changed.notify_all();
        out
    }
}

/// Serves one member until the process ends.
pub fn run(options: Options) {
    let addr: SocketAddr = options.listen.parse().expect("--listen takes an address");
    let listener = TcpListener::bind(addr).expect("the member's address is free");
    let log = Log::open(options.data.as_deref());
    // A member that restarts with a log never leads again by itself.
    let leader = options.leader && log.entries.is_empty() && log.term == 1;
    let state = State {
        leader,
        follow: if leader || log.term > 1 {
            None
        } else {
            options.follow.clone()
        },
        granted: "".into(),
        heard: Instant::now(),
        running: 0,
        log,
    };
    let member = Arc::new(Member {
        lag_ms: AtomicU64::new(options.lag_ms),
        work_us: AtomicU64::new(options.work_us),
        options,
        state: Mutex::new(state),
        changed: Condvar::new(),
        open: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        served: AtomicU64::new(0),
        crossed: AtomicU64::new(0),
        lose: AtomicU64::new(0),
        next_key: AtomicU64::new(1),
        cancelled: Mutex::default(),
    });
    if leader {
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
