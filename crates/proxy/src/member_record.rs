//! Members as the platform lists them.

use std::net::SocketAddr;

use crate::Role;

/// A member as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    pub id: Box<str>,
    pub group: Box<str>,
    pub addr: SocketAddr,
    pub data_center: Box<str>,
    /// Number of statements that the member runs concurrently.
    pub slots: u64,
    /// Whether the member is about to leave.
    pub draining: bool,
    /// Role that the member reports to the platform.
    pub role: Role,
    /// Start of the process in Unix ms; differs after each restart.
    pub started_at: u64,
}
