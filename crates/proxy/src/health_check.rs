//! Probes the members of a group, which keeps its connections open and its lease renewed.

use std::rc::Rc;

use base::{Ms, sleep_ms};

use crate::{Command, ConnError, Group, Member, Role, renewal_interval_ms};

/// Interval between two rounds of the health check, in ms.
const CHECK_INTERVAL_MS: u64 = 100;
/// As `CHECK_INTERVAL_MS`, while the members are just being found and only a second report of each
/// is missing for the lease.
const SETTLING_INTERVAL_MS: u64 = 50;
/// Time after a start or a change of primary for which the shorter interval applies, in ms: where the
/// lease does not follow within this time, asking more often does not help.
const SETTLING_TIME_MS: u64 = 300;
/// Timeout of a health probe, in ms.
const PROBE_TIMEOUT_MS: u64 = 400;
/// Age at which the probe result of the primary, which the lease does not need, is renewed, in ms.
const PRIMARY_PROBE_INTERVAL_MS: u64 = 2000;
/// Age at which a member's probe result is renewed while this daemon has more connections to it than
/// its share, in ms: it gives them back when the member reports that it is nearly full.
const ABOVE_SHARE_PROBE_INTERVAL_MS: u64 = 200;
/// Age at which the newest position sample of the primary is renewed, in ms.
const POSITION_INTERVAL_MS: u64 = 400;

/// Checks the members of a group until the process ends.
pub async fn run(group: Rc<Group>) {
    loop {
        sleep_ms(interval_of(&group)).await;
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

/// Interval to the next round, in ms, by whether the lease holds and for how long the newest term has
/// been known.
pub fn check_interval_ms(has_lease: bool, term_age_ms: u64) -> u64 {
    if !has_lease && term_age_ms < SETTLING_TIME_MS {
        SETTLING_INTERVAL_MS
    } else {
        CHECK_INTERVAL_MS
    }
}

fn interval_of(group: &Group) -> u64 {
    let has_lease = group.lease_until().left() > 0;
    check_interval_ms(has_lease, group.term_since.get().elapsed())
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
    let interval_ms = interval_of(group);
    let is_due = |m: &Rc<Member>| {
        let result = m.last_probe.get();
        let age = result.map_or(u64::MAX, |r| now.0 - r.sent_at.0);
        let is_primary = result.is_some_and(|r| r.role == Role::Primary);
        let max_age = match (no_lease, is_primary) {
            (true, _) => interval_ms,
            (false, false) => renewal_ms,
            (false, true) if position_stale => POSITION_INTERVAL_MS,
            (false, true) => PRIMARY_PROBE_INTERVAL_MS,
        };
        let max_age = if group.is_above_share(m) {
            max_age.min(ABOVE_SHARE_PROBE_INTERVAL_MS)
        } else {
            max_age
        };
        group.has_control_conn(m) && age >= max_age && !m.probing.get()
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
