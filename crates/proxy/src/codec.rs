//! The seam between decisions and wire protocols.

use bytes::BytesMut;
use quick_error::quick_error;
use schema::Pos;

use crate::{PreparedStatement, Reply, ReplyPart, Request};

quick_error! {
    /// Bytes that no message begins with; the connection cannot go on.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum WireError {
        /// A message is longer than the protocol allows.
        TooLong { display("message too long") }
        /// The bytes are no message.
        Malformed { display("malformed message") }
    }
}

/// What is sent to a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<'a> {
    /// A caller's statement, unchanged, perhaps with the position that the member must hold.
    Run {
        /// Identifier chosen by the caller.
        id: &'a str,
        /// Position that the member's log must contain, or the member refuses.
        after: Option<Pos>,
        /// Text of the statement.
        text: &'a str,
    },
    /// A prepared statement under the project's own name.
    Execute {
        /// Identifier chosen by the caller.
        id: &'a str,
        /// Position that the member's log must contain.
        after: Option<Pos>,
        /// The project's name for it on this connection.
        name: &'a str,
        /// The caller's arguments.
        args: &'a str,
    },
    /// Opens a transaction.
    Begin {
        /// Identifier of the caller's statement.
        id: &'a str,
        /// Whether it only reads.
        read: bool,
        /// Position that the member's log must contain.
        after: Option<Pos>,
    },
    /// Ends a transaction without keeping anything.
    Rollback {
        /// Identifier of the caller's statement, if there was one.
        id: Option<&'a str>,
    },
    /// Clears session values and prepared statements. The answer carries the member's position.
    Reset,
    /// Sets a session value; the text is the caller's.
    Set {
        /// Text of the caller's statement.
        text: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// The project's name for it.
        name: &'a str,
        /// What is prepared.
        plan: &'a PreparedStatement,
    },
    /// Asks for role, term and position.
    Status,
    /// Stops a replica from receiving until a change of primary at this term is over.
    Fence {
        /// Term of the change.
        term: u64,
    },
    /// Lets a fenced replica receive again.
    Resume,
    /// Makes a primary of a lower term a replica.
    Demote {
        /// Term of the newer primary.
        term: u64,
    },
}

/// The part that a member plays in its group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows the primary.
    #[default]
    Replica,
}

/// What a member says of itself when asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Its part.
    pub role: Role,
    /// Newest term that it knows.
    pub term: u64,
    /// Newest position that it has received, applied or not.
    pub received: Pos,
    /// Term of the change that it is fenced for; 0 when it is not.
    pub fenced: u64,
    /// How far it is behind in applying, in ms.
    pub lag_ms: u64,
    /// Statements that it runs.
    pub busy: u64,
    /// Connections that it holds, of all daemons.
    pub conns: u64,
}

/// How a connection to a member begins.
#[derive(Clone, Copy, Debug)]
pub struct ConnectRequest<'a> {
    /// Name of the VM that connects.
    pub from: &'a str,
    /// Name of the group.
    pub group: &'a str,
    /// Identifier that the member must have.
    pub member: &'a str,
}

/// A wire protocol, as functions from and to bytes.
#[derive(Clone, Copy)]
pub struct Codec {
    /// Takes one message of a caller off the input.
    pub request: fn(&mut BytesMut) -> Result<Option<Request>, WireError>,
    /// Writes the answer to a caller.
    pub reply: fn(&Reply, &mut BytesMut),
    /// Writes the first message to a member.
    pub connect_request: fn(&ConnectRequest, &mut BytesMut),
    /// Writes one command to a member.
    pub command: fn(&Command, &mut BytesMut),
    /// Takes one message of a member off the input.
    pub reply_part: fn(&mut BytesMut) -> Result<Option<ReplyPart>, WireError>,
    /// Reads the row that answers `Command::Status`.
    pub status: fn(&str) -> Option<Status>,
}
