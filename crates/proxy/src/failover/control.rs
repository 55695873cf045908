//! Control commands to members during and after a primary change.

use std::rc::Rc;

use base::Ms;

use crate::{Command, Conn, ConnError, FenceReport, Group, Member, Role, Status};

/// Timeout of a control command to a member, in ms.
pub(super) const COMMAND_TIMEOUT_MS: u64 = 400;

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

/// Sends one control command to a member and returns its status.
///
/// # Errors
/// As `Group::connect` and `Group::send_control`.
pub(super) async fn send_command(
    group: &Rc<Group>,
    member: &Rc<Member>,
    command: &Command<'_>,
) -> Result<Status, ConnError> {
    let mut conn = open_control_conn(group, member).await?;
    let status = group
        .send_control(&mut conn, command, COMMAND_TIMEOUT_MS)
        .await?;
    group.release(conn);
    Ok(status)
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
