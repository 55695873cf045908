//! Keeps connections and the lease of a group alive.

use std::rc::Rc;

use base::Ms;

use crate::state::sleep_ms;
use crate::{Command, ConnError, Group, Member, Role, renewal_interval_ms};

/// Period of one round, in ms.
const ROUND_MS: u64 = 100;
/// Time a member has for an answer about itself, in ms.
const ANSWER_MS: u64 = 400;
/// Age at which the word of a member that the lease does not need is renewed, in ms.
const LOOK_MS: u64 = 2000;
/// Age at which the newest known position of the primary is renewed, in ms.
const POSITION_MS: u64 = 400;

/// Runs until the process ends.
pub async fn run(group: Rc<Group>) {
    loop {
        sleep_ms(ROUND_MS).await;
        group.trim();
        if !group.is_served() {
            group.close_idle();
            continue;
        }
        for member in group.listed() {
            group.ensure_conn(&member);
        }
        for member in due(&group) {
            let group = group.clone();
            member.probing.set(true);
            monoio::spawn(async move {
                // A failure has been noted with the member.
                let _ = ask(&group, &member).await;
                member.probing.set(false);
            });
        }
    }
}

/// Members to ask now: each replica, so that its words stay linked; the primary, when none of its
/// answers has told its position for a while; and everyone while no primary is known.
fn due(group: &Group) -> Vec<Rc<Member>> {
    let now = Ms::now();
    let position = group.history.borrow().newest();
    let position_old = position.is_none_or(|at| now.0 - at.0 >= POSITION_MS);
    let lost = group.primary().is_none() || group.lease() <= now;
    let renew = renewal_interval_ms(group.is_lease_redundant(now));
    let is_due = |m: &Rc<Member>| {
        let word = m.last_probe.get();
        let age = word.map_or(u64::MAX, |w| now.0 - w.sent_at.0);
        let leads = word.is_some_and(|w| w.role == Role::Primary);
        let most = match (lost, leads) {
            (true, _) => ROUND_MS,
            (false, false) => renew,
            (false, true) if position_old => POSITION_MS,
            (false, true) => LOOK_MS,
        };
        m.open_conns.get() > 0 && age >= most && !m.probing.get()
    };
    group.listed().into_iter().filter(is_due).collect()
}

async fn ask(group: &Rc<Group>, member: &Rc<Member>) -> Result<(), ConnError> {
    let mut conn = group
        .control_conn(member)
        .await
        .inspect_err(|e| group.on_lost(member, e))?;
    match group
        .send_control(&mut conn, &Command::Status, ANSWER_MS)
        .await
    {
        Ok(_) | Err(ConnError::Refused(..)) => {
            group.release(conn);
            Ok(())
        }
        Err(e) => {
            drop(conn);
            group.on_lost(member, &e);
            Err(e)
        }
    }
}
