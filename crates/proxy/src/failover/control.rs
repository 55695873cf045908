//! Control commands to members during and after a primary change.

use std::rc::Rc;

use base::Ms;

use crate::{Command, Conn, ConnError, FenceReport, Group, Member, Role, Status};

/// Timeout of a control command to a member, in ms.
pub(super) const COMMAND_TIMEOUT_MS: u64 = 400;
/// Time after which a command that got no answer takes no effect any more, in ms: the member has closed
/// the connection by then. That holds for direct connections only.
pub(super) const MAX_DELIVERY_MS: u64 = 3000;
/// Age of the claim, since it was taken or renewed, up to which a fence is removed, in ms: a command
/// without an answer must have lost its effect, after `MAX_DELIVERY_MS`, before another daemon may take
/// over the claim.
pub(super) const MAX_REMOVAL_AGE_MS: u64 = 900;

/// Takes a connection for control commands from the pool, or opens one.
pub(super) async fn open_control_conn(
    group: &Group,
    member: &Rc<Member>,
) -> Result<Conn, ConnError> {
    match group.control_conn(member).await {
        Ok(conn) => Ok(conn),
        // Sessions hold all connections; a control command justifies another one.
        Err(_) => group.connect(member).await,
    }
}

/// As `open_control_conn`, for the fence, which holds the connection until the change has ended: the
/// one that the health check uses is left to it where there may be another. Its results then stay
/// linked, so that this daemon has a lease on the new primary although the old one does not answer.
async fn open_fence_conn(group: &Group, member: &Rc<Member>) -> Result<Conn, ConnError> {
    if group.may_add_control_conn(member)
        && let Ok(conn) = group.connect(member).await
    {
        return Ok(conn);
    }
    open_control_conn(group, member).await
}

/// What has become of a fence that was to be removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FenceRemoval {
    Done,
    /// The member does not answer, is not fenced for this change any more, or it is too late.
    NotSent,
    /// The command was sent at this instant and got no answer.
    Unanswered(Ms),
}

/// Removes the fence of a change for `term` from a member, unless it is fenced for another one, or is
/// reached through another daemon only. Nothing is sent after `until`.
pub(super) async fn remove_fence(
    group: &Rc<Group>,
    member: &Rc<Member>,
    term: u64,
    until: Ms,
) -> FenceRemoval {
    let Ok(mut conn) = open_control_conn(group, member).await else {
        return FenceRemoval::NotSent;
    };
    let asked = group
        .send_control(&mut conn, &Command::Status, COMMAND_TIMEOUT_MS)
        .await;
    let Ok(status) = asked else {
        return FenceRemoval::NotSent;
    };
    if status.fenced != term || conn.is_tunneled || until.left() == 0 {
        group.release(conn);
        return FenceRemoval::NotSent;
    }
    let sent_at = Ms::now();
    let result = group
        .send_control(&mut conn, &Command::Unfence, COMMAND_TIMEOUT_MS)
        .await;
    if result.is_err() {
        return FenceRemoval::Unanswered(sent_at);
    }
    group.release(conn);
    FenceRemoval::Done
}

/// Asks a member for its state if it was fenced before, and fences it otherwise. `terms` are the
/// term of the old primary and that of the change. A primary of an earlier term is demoted first,
/// so that it can be fenced.
///
/// # Errors
/// As `Group::send_control`; the connection is dropped.
pub(super) async fn ask(
    group: Rc<Group>,
    member: Rc<Member>,
    conn: Option<Conn>,
    fenced: bool,
    (old_term, term): (u64, u64),
) -> Result<(Conn, Status, FenceReport), ConnError> {
    let mut conn = match conn {
        Some(conn) => conn,
        None => open_fence_conn(&group, &member).await?,
    };
    let fence = Command::Fence { term };
    let command = if fenced { &Command::Status } else { &fence };
    let mut sent_at = Ms::now();
    let mut status = group
        .send_control(&mut conn, command, COMMAND_TIMEOUT_MS)
        .await?;
    if status.role == Role::Primary && status.term < old_term {
        let demote = Command::Demote { term: old_term };
        group
            .send_control(&mut conn, &demote, COMMAND_TIMEOUT_MS)
            .await?;
        sent_at = Ms::now();
        status = group
            .send_control(&mut conn, &fence, COMMAND_TIMEOUT_MS)
            .await?;
    }
    let report = FenceReport {
        sent_at,
        received_at: Ms::now(),
        up_since: conn.opened_at,
        fenced: status.fenced,
        pos: status.received,
    };
    Ok((conn, status, report))
}
