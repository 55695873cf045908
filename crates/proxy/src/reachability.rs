//! Which other daemons answer this one.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use base::{Ms, Signal};

/// Time for which an answer shows that a daemon answers, in ms.
const ANSWER_TTL_MS: u64 = 1000;
/// Shortest time between two checks of a daemon that does not answer, in ms.
const MIN_CHECK_INTERVAL_MS: u64 = 250;
/// Longest time between two checks of a daemon that does not answer, in ms.
const MAX_CHECK_INTERVAL_MS: u64 = 5000;
/// A daemon is checked again after this part of the time for which it has not answered.
const CHECK_INTERVAL_PART: u64 = 4;

/// Whether a daemon has answered, and since when or when last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Since when no attempt has got an answer.
    Silent(Ms),
    /// When it last answered.
    Answering(Ms),
}

/// What the attempts to connect to other daemons have shown, by address. A daemon without attempts is
/// neither silent nor known to answer.
#[derive(Debug, Default)]
pub struct Reachability {
    states: RefCell<HashMap<SocketAddr, State>>,
    /// Daemons that are being checked.
    checks: RefCell<HashSet<SocketAddr>>,
    /// Notified when it is known of another daemon whether it answers.
    pub(crate) changed: Signal,
}

impl Reachability {
    /// Records an answer, a refusal included. Returns for how long the daemon was silent, in ms, if it was.
    pub fn on_answer(&self, addr: SocketAddr, now: Ms) -> Option<u64> {
        let former = self.states.borrow_mut().insert(addr, State::Answering(now));
        self.changed.notify();
        match former {
            Some(State::Silent(since)) => Some(now.0.saturating_sub(since.0)),
            _ => None,
        }
    }

    /// Records an attempt without an answer. Returns whether it is the first one in a row.
    pub fn on_silence(&self, addr: SocketAddr, now: Ms) -> bool {
        let mut states = self.states.borrow_mut();
        if let Some(State::Silent(_)) = states.get(&addr) {
            return false;
        }
        states.insert(addr, State::Silent(now));
        drop(states);
        self.changed.notify();
        true
    }

    /// Forgets the daemons that are listed no longer.
    pub fn retain(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        self.states.borrow_mut().retain(|addr, _| is_listed(*addr));
    }

    /// For how long a daemon has not answered, in ms; `None` unless the last attempt got no answer.
    pub fn silent_for_ms(&self, addr: SocketAddr, now: Ms) -> Option<u64> {
        match self.states.borrow().get(&addr) {
            Some(State::Silent(since)) => Some(now.0.saturating_sub(since.0)),
            _ => None,
        }
    }

    /// Whether a daemon has answered lately.
    pub fn is_answering(&self, addr: SocketAddr, now: Ms) -> bool {
        match self.states.borrow().get(&addr) {
            Some(State::Answering(at)) => now < at.plus(ANSWER_TTL_MS),
            _ => false,
        }
    }

    /// Number of daemons that do not answer.
    pub fn silent_count(&self) -> usize {
        let states = self.states.borrow();
        let silent = states.values().filter(|s| matches!(s, State::Silent(_)));
        silent.count()
    }

    /// Whether the last attempt got no answer, or an answer is recent.
    pub fn is_known(&self, addr: SocketAddr, now: Ms) -> bool {
        self.is_answering(addr, now) || self.silent_for_ms(addr, now).is_some()
    }

    /// Begins a check; false while another one is under way.
    pub fn begin_check(&self, addr: SocketAddr) -> bool {
        self.checks.borrow_mut().insert(addr)
    }

    /// Ends a check that `begin_check` has begun.
    pub fn on_checked(&self, addr: SocketAddr) {
        self.checks.borrow_mut().remove(&addr);
    }

    /// Time until a daemon that has been silent for `silent_ms` is checked again, in ms.
    pub fn check_interval_ms(silent_ms: u64) -> u64 {
        let part = silent_ms / CHECK_INTERVAL_PART;
        part.clamp(MIN_CHECK_INTERVAL_MS, MAX_CHECK_INTERVAL_MS)
    }
}
