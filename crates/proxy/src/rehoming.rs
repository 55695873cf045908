//! Ends sessions on groups that this daemon does not own, so that their callers come back to an
//! owner.
//!
//! A daemon serves such sessions after it has known too few of the others, or while no owner could be
//! reached (`stand_in`). Sessions are long, and each daemon that serves a group keeps connections to all its
//! members and probes them: many such daemons together need more connections than a member accepts.

use std::rc::Rc;

use base::{Event, Ms, emit, sleep_ms};

use crate::{Group, Proxy, tunnel};

/// Interval at which groups with such sessions are looked for, in ms.
const CHECK_INTERVAL_MS: u64 = 500;
/// Number of checks over which the sessions of a group end, so that their callers do not all come
/// back at once.
const ROUNDS: u64 = 3;

/// Ends sessions on groups of which a reachable owner is known, until the process ends.
pub async fn run(proxy: Rc<Proxy>) {
    loop {
        sleep_ms(CHECK_INTERVAL_MS / 2 + fastrand::u64(..CHECK_INTERVAL_MS)).await;
        let groups: Vec<Rc<Group>> = proxy.groups.borrow().values().cloned().collect();
        for group in groups {
            let count = sessions_to_end(&proxy, &group).await;
            if count == 0 {
                group.sessions_to_end.set(0);
                continue;
            }
            if group.sessions_to_end.replace(count) == 0 {
                emit(
                    Event::SessionsRehomed,
                    &[("group", &group.name), ("sessions", &group.sessions.get())],
                );
            }
            proxy.stop_signal.notify();
        }
    }
}

/// Number of a group's sessions that end before the next check.
async fn sessions_to_end(proxy: &Rc<Proxy>, group: &Group) -> u64 {
    let is_served = group.sessions.get() > 0 || group.is_stood_in();
    if !is_served || group.is_owner.get() || !proxy.peers.is_known() {
        return 0;
    }
    let mut owners = proxy.other_owners(group);
    fastrand::shuffle(&mut owners);
    // One that does not answer is checked anyway.
    let Some(owner) = owners.into_iter().min_by_key(|p| proxy.peers.is_silent(p)) else {
        return 0;
    };
    // Without a reachable owner, a session is served here rather than not at all.
    if !tunnel::is_reachable(proxy, &owner).await {
        return 0;
    }
    group.set_stand_in_until(Ms(0));
    group.sessions.get().div_ceil(ROUNDS)
}
