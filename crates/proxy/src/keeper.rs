//! Keeps connections and the lease of a group alive.

use std::rc::Rc;

use base::Ms;

use crate::state::pause;
use crate::{Command, Group, Lost, Member, Role};

/// Period of one round, in ms.
const ROUND_MS: u64 = 100;
/// Age at which a replica's word is renewed, in ms.
const RENEW_MS: u64 = 250;
/// Time a member has for an answer about itself, in ms.
const ANSWER_MS: u64 = 400;
/// Age at which the word of a member that the lease does not need is renewed, in ms.
const LOOK_MS: u64 = 2000;
/// Age at which the newest known position of the primary is renewed, in ms.
const POSITION_MS: u64 = 400;

/// Runs until the process ends.
pub async fn keep(group: Rc<Group>) {
    let mut round = 0_usize;
    loop {
        pause(ROUND_MS).await;
        round += 1;
        group.trim();
        for member in group.listed() {
            group.ensure(&member);
        }
        for member in due(&group, round) {
            let group = group.clone();
            monoio::spawn(async move {
                let _ = ask(&group, &member).await;
            });
        }
    }
}

/// Members to ask now: one replica for the lease, and whoever was not heard for long.
fn due(group: &Group, round: usize) -> Vec<Rc<Member>> {
    let now = Ms::now();
    let members = group.listed();
    let age = |m: &Member| m.word.get().map_or(u64::MAX, |w| now.0 - w.asked.0);
    let replica = |m: &Member| m.word.get().is_none_or(|w| w.role == Role::Replica);
    let usable = |m: &Member| m.open.get() > 0;
    let mut due: Vec<Rc<Member>> = members
        .iter()
        .filter(|m| usable(m) && (age(m) >= LOOK_MS || group.primary().is_none()))
        .cloned()
        .collect();
    let replicas: Vec<_> = members.iter().filter(|m| replica(m) && usable(m)).collect();
    let youngest = replicas.iter().map(|m| age(m)).min();
    let short = group.lease().left() < crate::lease::LEASE_MS - RENEW_MS;
    if youngest.is_some_and(|age| age >= RENEW_MS) || short {
        let settled = replicas.iter().filter(|m| age(m) >= ROUND_MS);
        let settled: Vec<_> = settled.collect();
        if let Some(m) = settled.get(round % settled.len().max(1)) {
            due.push((**m).clone());
        }
    }
    let stale = group.history.borrow().newest();
    if stale.is_none_or(|at| now.0 - at.0 >= POSITION_MS) {
        due.extend(group.primary());
    }
    due.sort_by(|a, b| a.id.cmp(&b.id));
    due.dedup_by(|a, b| a.id == b.id);
    due
}

async fn ask(group: &Rc<Group>, member: &Rc<Member>) -> Result<(), Lost> {
    let mut conn = group.control(member).await.inspect_err(|e| group.on_lost(member, e))?;
    match group.ask(&mut conn, &Command::Status, ANSWER_MS).await {
        Ok(_) | Err(Lost::Refused(..)) => {
            group.put(conn);
            Ok(())
        }
        Err(e) => {
            drop(conn);
            group.on_lost(member, &e);
            Err(e)
        }
    }
}
