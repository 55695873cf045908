//! Registry of the daemon's open sessions: counts by institution, and current requests by cancel
//! secret.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64;

/// Id of the request that a session is running, if any.
pub type CurrentRequest = Rc<Cell<Option<u64>>>;

/// The open sessions of a daemon.
#[derive(Default)]
pub struct Sessions {
    open: Cell<u64>,
    by_institution: RefCell<HashMap<Box<str>, u64>>,
    by_secret: RefCell<HashMap<u32, CurrentRequest>>,
}

/// Drop guard of a registered session; removes it from the registry.
pub struct SessionGuard<'a> {
    sessions: &'a Sessions,
    institution: Box<str>,
    secret: u32,
}

/// The process id in the cancel keys of a daemon's sessions, derived from the daemon's name.
///
/// A cancel request may reach any daemon, which finds the one that serves the session by this id.
pub fn cancel_pid(daemon: &str) -> u32 {
    u32::try_from(xxh3_64(daemon.as_bytes()) >> 33).expect("31 bits fit")
}

impl Sessions {
    /// Number of open sessions.
    pub fn open_count(&self) -> u64 {
        self.open.get()
    }

    /// Registers a session; `None` when the daemon's or the institution's limit, in that order in
    /// `limits`, is reached.
    pub fn register(
        &self,
        institution: &str,
        limits: (u64, u64),
        current: &CurrentRequest,
    ) -> Option<SessionGuard<'_>> {
        let mut counts = self.by_institution.borrow_mut();
        let count = counts.entry(institution.into()).or_default();
        if self.open.get() >= limits.0 || *count >= limits.1 {
            return None;
        }
        *count += 1;
        self.open.set(self.open.get() + 1);
        let secret = fastrand::u32(1..);
        self.by_secret.borrow_mut().insert(secret, current.clone());
        Some(SessionGuard {
            sessions: self,
            institution: institution.into(),
            secret,
        })
    }

    /// Id of the request that the session with this cancel secret is running.
    pub fn current(&self, secret: u32) -> Option<u64> {
        self.by_secret.borrow().get(&secret)?.get()
    }
}

impl SessionGuard<'_> {
    /// The secret in the session's cancel key.
    pub fn secret(&self) -> u32 {
        self.secret
    }
}

impl Drop for SessionGuard<'_> {
    fn drop(&mut self) {
        self.sessions.open.set(self.sessions.open.get() - 1);
        self.sessions.by_secret.borrow_mut().remove(&self.secret);
        if let Some(count) = self
            .sessions
            .by_institution
            .borrow_mut()
            .get_mut(&self.institution)
        {
            *count -= 1;
        }
    }
}
