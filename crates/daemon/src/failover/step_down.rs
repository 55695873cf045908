//! Ends the term of a primary that is cut off from all other members.
//!
//! Such a primary can confirm nothing, yet its replicas may still hear it when the cut is one-way.
//! Once it has granted a higher term itself, it stops leading, its replicas lose it, and their
//! owners change the primary as usual.

use std::rc::Rc;

use base::{Event, emit};

use crate::cluster::GroupState;
use crate::state::Daemon;

/// Time for the primary to grant the term, in ms.
const GRANT_MS: u64 = 500;

/// Makes a primary grant the term after its own, unless the group is being changed already.
pub fn step_down(daemon: &Rc<Daemon>, group: &Rc<GroupState>, primary: &str, term: u64) {
    let Some(member) = group.member(primary).cloned() else {
        return;
    };
    if group.changing.replace(true) {
        return;
    }
    let (daemon, group) = (daemon.clone(), group.clone());
    monoio::spawn(async move {
        let proposer = format!("{}#{:x}", daemon.membership.me, fastrand::u64(..));
        let sql = (daemon.member_control.raise)(term + 1, &proposer);
        let granted = daemon
            .control(&group, &member, &sql, GRANT_MS)
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
        group.changing.set(false);
    });
}
