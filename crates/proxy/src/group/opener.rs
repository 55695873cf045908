//! Which openings the waiters of a dispatch wait for.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::wait_queue::Waiter;
use crate::{ConnState, Member, MemberKey, Purpose};

/// What a dispatch that opens connections for waiters has seen so far.
pub(super) struct Opener {
    /// What the waiting statements need connections for.
    wanted: Vec<Purpose>,
    /// Openings in progress that waiters which went first wait for, by member and purpose.
    claims: BTreeMap<(MemberKey, Purpose), usize>,
}

impl Opener {
    pub(super) fn new(waiters: &[Rc<Waiter>]) -> Opener {
        let mut wanted: Vec<Purpose> = waiters.iter().map(|w| w.request.purpose).collect();
        wanted.sort_unstable();
        wanted.dedup();
        wanted.retain(|purpose| *purpose != Purpose::Control);
        Opener {
            wanted,
            claims: BTreeMap::new(),
        }
    }

    /// Claims an opening in progress that a request can wait for and that no other waits for;
    /// returns whether there is one.
    pub(super) fn claim(&mut self, members: &[Rc<Member>], purpose: Purpose) -> bool {
        for member in members {
            let conns = member.conns.borrow();
            let opening = conns
                .iter()
                .filter(|c| c.purpose == purpose && c.state == ConnState::Opening);
            let claimed = self.claims.entry((member.key, purpose)).or_default();
            if opening.count() > *claimed {
                *claimed += 1;
                return true;
            }
        }
        false
    }

    /// Claims an opening to a member for a purpose.
    pub(super) fn add_claim(&mut self, member: MemberKey, purpose: Purpose) {
        *self.claims.entry((member, purpose)).or_default() += 1;
    }

    /// Whether statements wait for connections for something else than a purpose.
    pub(super) fn is_other_wanted(&self, purpose: Purpose) -> bool {
        self.wanted.iter().any(|p| *p != purpose)
    }
}
