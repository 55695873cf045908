//! Decoded messages of callers.

use std::collections::BTreeMap;

use crate::Credential;

/// Session variables by name, each with the statement text that set it.
pub type SessionVars = BTreeMap<Box<str>, Box<str>>;

/// Kind of a statement, with its parameters; decides where it may run and whether it may be
/// retried.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verb {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction only reads.
        read_only: bool,
    },
    Commit,
    Rollback,
    Read,
    /// Writes; not idempotent, so it must not be retried once it may have run.
    Write,
    /// Sets a session variable.
    Set {
        name: Box<str>,
    },
    /// Prepares a statement.
    Prepare {
        /// Name chosen by the caller.
        name: Box<str>,
        prepared: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name chosen by the caller.
        name: Box<str>,
        /// Arguments, as sent.
        args: Box<str>,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name chosen by the caller.
        name: Box<str>,
    },
}

/// A prepared statement, without its name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PreparedStatement {
    pub write: bool,
    /// Text with placeholders, as the caller sent it.
    pub text: Box<str>,
}

/// One statement from a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Statement {
    /// Identifier chosen by the caller; identifies the statement in logs.
    pub id: Box<str>,
    pub verb: Verb,
    /// Text from the verb on; that of `Read`, `Write`, `Set` and `Commit` is passed on unchanged.
    pub text: Box<str>,
}

/// One message from a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// Opens a session on a database.
    Connect {
        database: Box<str>,
        /// `None` when the caller has sent none, or one that is malformed.
        credential: Option<Credential>,
    },
    /// Runs a statement.
    Run(Statement),
    /// Message that cannot be interpreted; the session goes on after an error reply.
    Unknown {
        /// Text of the error reply.
        text: Box<str>,
    },
    /// Ends the session.
    Close,
}
