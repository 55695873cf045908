//! Control commands to members during and after a primary change.

use std::rc::Rc;

use crate::{Command, Conn, ConnError, Group, Member, Status};

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
