//! Step-down of a primary whose owner gets no reports from the other members.
//!
//! The writes of such a primary cannot be confirmed, but in a one-way partition its replicas may
//! still hear from it, so no failover starts. Granting a higher term makes it stop leading; its
//! replicas then lose contact, and their owners run a failover.

use std::rc::Rc;

use base::{Event, emit};

use crate::cluster::GroupState;
use crate::state::Daemon;

/// Timeout for the primary to grant the term, in ms.
const GRANT_TIMEOUT_MS: u64 = 500;

/// Makes a primary grant the term after its own, unless this daemon is already evaluating the group
/// or changing its primary.
pub fn step_down(daemon: &Rc<Daemon>, group: &Rc<GroupState>, primary: &str, term: u64) {
    let Some(member) = group.member(primary).cloned() else {
        return;
    };
    if group.change_running.replace(true) {
        return;
    }
    let (daemon, group) = (daemon.clone(), group.clone());
    monoio::spawn(async move {
        let proposer = format!("{}#{:x}", daemon.membership.own_name, fastrand::u64(..));
        let sql = (daemon.member_control.raise)(term + 1, &proposer);
        let granted = daemon
            .run_control(&group, &member, &sql, GRANT_TIMEOUT_MS)
            .await
            .is_ok_and(|r| r.granted);
        let fields: [base::Field; 4] = [
            ("group", &group.name),
            ("member", &member.config.name),
            ("term", &term),
            ("granted", &granted),
        ];
        emit(Event::PrimaryStepsDown, &fields);
        member.control.close();
        group.change_running.set(false);
    });
}
