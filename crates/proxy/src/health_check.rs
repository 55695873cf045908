//! Probes the members of a group, which keeps its connections open and its lease renewed.

use std::rc::Rc;

use base::Ms;

use crate::state::sleep_ms;
use crate::{Command, ConnError, Group, Member, Role, renewal_interval_ms};

/// Interval between two rounds of the health check, in ms.
const CHECK_INTERVAL_MS: u64 = 100;
/// Timeout of a health probe, in ms.
const PROBE_TIMEOUT_MS: u64 = 400;
/// Age at which the probe result of the primary, which the lease does not need, is renewed, in ms.
const PRIMARY_PROBE_INTERVAL_MS: u64 = 2000;
/// Age at which the newest position sample of the primary is renewed, in ms.
const POSITION_INTERVAL_MS: u64 = 400;

/// Checks the members of a group until the process ends.
pub async fn run(group: Rc<Group>) {
    loop {
        sleep_ms(CHECK_INTERVAL_MS).await;
        group.trim();
        group.refuse_hopeless();
        if !group.is_served() {
            group.close_idle();
            continue;
        }
        for member in group.listed() {
            group.ensure_conn(&member);
        }
        for member in due_members(&group) {
            let group = group.clone();
            member.probing.set(true);
            monoio::spawn(async move {
                // `probe` has already handled a failure.
                let _ = probe(&group, &member).await;
                member.probing.set(false);
            });
        }
    }
}

/// Returns the members to probe in this round. Replicas are probed so that their probe results stay
/// linked, the primary mainly when there is no recent position sample. While no primary is known or
/// the lease has run out, all members are probed in every round. Members without an open connection
/// and those with a probe in flight are left out.
fn due_members(group: &Group) -> Vec<Rc<Member>> {
    let now = Ms::now();
    let sampled_at = group.history.borrow().newest_sample_at();
    let position_stale = sampled_at.is_none_or(|at| now.0 - at.0 >= POSITION_INTERVAL_MS);
    let no_lease = group.primary().is_none() || group.lease_until() <= now;
    let renewal_ms = renewal_interval_ms(group.is_lease_redundant(now));
    let is_due = |m: &Rc<Member>| {
        let result = m.last_probe.get();
        let age = result.map_or(u64::MAX, |r| now.0 - r.sent_at.0);
        let is_primary = result.is_some_and(|r| r.role == Role::Primary);
        let max_age = match (no_lease, is_primary) {
            (true, _) => CHECK_INTERVAL_MS,
            (false, false) => renewal_ms,
            (false, true) if position_stale => POSITION_INTERVAL_MS,
            (false, true) => PRIMARY_PROBE_INTERVAL_MS,
        };
        m.open_conns.get() > 0 && age >= max_age && !m.probing.get()
    };
    group.listed().into_iter().filter(is_due).collect()
}

async fn probe(group: &Rc<Group>, member: &Rc<Member>) -> Result<(), ConnError> {
    let mut conn = group
        .control_conn(member)
        .await
        .inspect_err(|e| group.on_conn_lost(member, e))?;
    match group
        .send_control(&mut conn, &Command::Status, PROBE_TIMEOUT_MS)
        .await
    {
        Ok(_) | Err(ConnError::Refused(..)) => {
            group.release(conn);
            Ok(())
        }
        Err(e) => {
            drop(conn);
            group.on_conn_lost(member, &e);
            Err(e)
        }
    }
}
