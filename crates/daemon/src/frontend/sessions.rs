//! The sessions of this daemon: their number by institution, and their cancel keys.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64;

/// The request that a session runs now.
pub type CurrentRequest = Rc<Cell<Option<u64>>>;

/// All sessions of a daemon.
#[derive(Default)]
pub struct Sessions {
    open: Cell<u64>,
    by_institution: RefCell<HashMap<Box<str>, u64>>,
    keys: RefCell<HashMap<u32, CurrentRequest>>,
}

/// A counted session; dropping it ends the count.
pub struct SessionGuard<'a> {
    sessions: &'a Sessions,
    institution: Box<str>,
    secret: u32,
}

/// First half of the cancel keys of a daemon's sessions.
pub fn cancel_pid(daemon: &str) -> u32 {
    u32::try_from(xxh3_64(daemon.as_bytes()) >> 33).expect("31 bits fit")
}

impl Sessions {
    /// Sessions open now.
    pub fn open(&self) -> u64 {
        self.open.get()
    }

    /// Counts a session if neither limit is met.
    pub fn register(
        &self,
        institution: &str,
        limits: (u64, u64),
        current: &CurrentRequest,
    ) -> Option<SessionGuard<'_>> {
        let mut by = self.by_institution.borrow_mut();
        let here = by.entry(institution.into()).or_default();
        if self.open.get() >= limits.0 || *here >= limits.1 {
            return None;
        }
        *here += 1;
        self.open.set(self.open.get() + 1);
        let secret = fastrand::u32(1..);
        self.keys.borrow_mut().insert(secret, current.clone());
        Some(SessionGuard {
            sessions: self,
            institution: institution.into(),
            secret,
        })
    }

    /// What the session with a cancel key runs now.
    pub fn current(&self, secret: u32) -> Option<u64> {
        self.keys.borrow().get(&secret)?.get()
    }
}

impl SessionGuard<'_> {
    /// Second half of the session's cancel key.
    pub fn secret(&self) -> u32 {
        self.secret
    }
}

impl Drop for SessionGuard<'_> {
    fn drop(&mut self) {
        self.sessions.open.set(self.sessions.open.get() - 1);
        self.sessions.keys.borrow_mut().remove(&self.secret);
        if let Some(here) = self
            .sessions
            .by_institution
            .borrow_mut()
            .get_mut(&self.institution)
        {
            *here -= 1;
        }
    }
}
