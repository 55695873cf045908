//! Members, as the platform lists them.

use std::net::SocketAddr;

use crate::Role;

/// A member, as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    /// Identifier of the member.
    pub id: Box<str>,
    /// Its group.
    pub group: Box<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_center: Box<str>,
    /// Statements that it runs at once.
    pub slots: u64,
    /// Whether it will leave.
    pub draining: bool,
    /// Its part, as it sees itself.
    pub role: Role,
    /// Start of its process in Unix ms; tells one life from the next.
    pub started_at: u64,
}
