//! The record of a connection in its member's table, which lasts as long as the connection.

use std::cell::Cell;
use std::rc::Rc;

use base::Ms;

use crate::{ConnEntry, ConnKey, ConnState, Member, Purpose};

thread_local! {
    static NEXT_KEY: Cell<u64> = const { Cell::new(0) };
}

/// Drop guard of an entry in `Member::conns`.
pub struct ConnSlot {
    pub(crate) member: Rc<Member>,
    pub(crate) key: ConnKey,
    purpose: Cell<Purpose>,
}

impl ConnSlot {
    /// Records that a connection to a member is being opened.
    pub fn new(member: Rc<Member>, purpose: Purpose) -> ConnSlot {
        let key = ConnKey(NEXT_KEY.replace(NEXT_KEY.get() + 1));
        let now = Ms::now();
        member.conns.borrow_mut().push(ConnEntry {
            key,
            purpose,
            state: ConnState::Opening,
            since: now,
            opened_at: now,
        });
        ConnSlot {
            member,
            key,
            purpose: Cell::new(purpose),
        }
    }

    pub(crate) fn purpose(&self) -> Purpose {
        self.purpose.get()
    }

    /// Uses a connection that was opened in the name of the VM for something else in that name.
    pub(crate) fn set_purpose(&self, purpose: Purpose) {
        self.purpose.set(purpose);
        self.update(|entry| entry.purpose = purpose);
    }

    /// Records that the connection is usable, and held by whoever has opened it.
    pub(crate) fn on_opened(&self, now: Ms) {
        self.update(|entry| entry.opened_at = now);
        self.set_state(ConnState::Held, now);
    }

    pub(crate) fn set_state(&self, state: ConnState, now: Ms) {
        self.update(|entry| (entry.state, entry.since) = (state, now));
    }

    /// Time for which the connection has been held, in ms; `None` if it is not.
    pub(crate) fn held_ms(&self, now: Ms) -> Option<u64> {
        let conns = self.member.conns.borrow();
        let entry = conns.iter().find(|c| c.key == self.key)?;
        (entry.state == ConnState::Held).then(|| now.0.saturating_sub(entry.since.0))
    }

    fn update(&self, update: impl Fn(&mut ConnEntry)) {
        let mut conns = self.member.conns.borrow_mut();
        if let Some(entry) = conns.iter_mut().find(|c| c.key == self.key) {
            update(entry);
        }
    }
}

impl Drop for ConnSlot {
    fn drop(&mut self) {
        self.member.conns.borrow_mut().retain(|c| c.key != self.key);
    }
}
