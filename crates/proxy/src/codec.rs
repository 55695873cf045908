//! Interface to the wire protocol of callers and members.

use bytes::BytesMut;
use quick_error::quick_error;
use schema::Pos;

use crate::{PreparedStatement, Reply, ReplyPart, Request};

quick_error! {
    /// Input that cannot be decoded; the connection cannot be used any further.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum WireError {
        /// The message exceeds the protocol's length limit.
        TooLong { display("message too long") }
        Malformed { display("malformed message") }
    }
}

/// A command to a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<'a> {
    /// Runs a caller's statement, passed on unchanged.
    Run {
        /// Identifier chosen by the caller.
        id: &'a str,
        /// Position that the member's log must contain; without it the member refuses.
        after: Option<Pos>,
        text: &'a str,
    },
    /// Runs a prepared statement.
    Execute {
        /// Identifier chosen by the caller.
        id: &'a str,
        /// Position that the member's log must contain.
        after: Option<Pos>,
        /// Name of the statement on this connection, chosen by `Conn`.
        name: &'a str,
        /// Arguments as the caller sent them.
        args: &'a str,
    },
    /// Opens a transaction.
    Begin {
        /// Identifier of the caller's statement.
        id: &'a str,
        /// Whether the transaction only reads.
        read_only: bool,
        /// Position that the member's log must contain.
        after: Option<Pos>,
    },
    /// Rolls a transaction back.
    Rollback {
        /// Identifier of the caller's statement, if there was one.
        id: Option<&'a str>,
    },
    /// Clears session variables and prepared statements. The reply carries the member's position.
    Reset,
    /// Sets a session variable.
    Set {
        /// Text of the caller's statement.
        text: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// Name of the statement on this connection, chosen by `Conn`.
        name: &'a str,
        prepared: &'a PreparedStatement,
    },
    /// Requests the status row, which `Codec::status` decodes.
    Status,
    /// Fences a replica: it receives nothing more until the primary change at this term is over.
    Fence {
        /// Term of the primary change.
        term: u64,
    },
    /// Lets a fenced replica receive again.
    Resume,
    /// Turns a primary of a lower term into a replica.
    Demote {
        /// Term of the newer primary.
        term: u64,
    },
}

/// Role of a member in its group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates from the primary.
    #[default]
    Replica,
}

/// Status response of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    pub role: Role,
    /// Newest term known to the member.
    pub term: u64,
    /// Newest position received, whether applied or not.
    pub received: Pos,
    /// Term of the primary change for which the member is fenced; 0 when it is not fenced.
    pub fenced: u64,
    /// Lag in applying received entries, in ms.
    pub lag_ms: u64,
    /// Number of running statements.
    pub busy: u64,
    /// Number of open connections from all daemons.
    pub conns: u64,
}

/// First message on a connection to a member.
#[derive(Clone, Copy, Debug)]
pub struct ConnectRequest<'a> {
    /// Name of the VM that connects.
    pub from: &'a str,
    pub group: &'a str,
    /// Identifier of the member that is expected at the address.
    pub member: &'a str,
}

/// A wire protocol, as functions that decode from and encode to buffers.
#[derive(Clone, Copy)]
pub struct Codec {
    /// Decodes one message from a caller and removes it from the input; `None` when incomplete.
    pub request: fn(&mut BytesMut) -> Result<Option<Request>, WireError>,
    /// Encodes a reply to a caller.
    pub reply: fn(&Reply, &mut BytesMut),
    /// Encodes the first message to a member.
    pub connect_request: fn(&ConnectRequest, &mut BytesMut),
    /// Encodes a command to a member.
    pub command: fn(&Command, &mut BytesMut),
    /// Decodes one message from a member and removes it from the input; `None` when incomplete.
    pub reply_part: fn(&mut BytesMut) -> Result<Option<ReplyPart>, WireError>,
    /// Parses the row in the reply to `Command::Status`.
    pub status: fn(&str) -> Option<Status>,
}
