//! What a caller asks for.

/// What a statement does; decides where it may run and whether it may be repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verb {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction only reads.
        read: bool,
    },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Reads.
    Read,
    /// Writes; not idempotent.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Box<str>,
    },
    /// Names a statement for later.
    Prepare {
        /// The caller's name for it.
        name: Box<str>,
        /// What is prepared.
        plan: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: Box<str>,
        /// Its arguments, as sent.
        args: Box<str>,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: Box<str>,
    },
}

/// What a prepared statement runs.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PreparedStatement {
    /// Whether it writes.
    pub write: bool,
    /// Its shape, as the caller wrote it.
    pub text: Box<str>,
}

/// One statement of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Statement {
    /// Identifier chosen by the caller; it names the statement in logs.
    pub id: Box<str>,
    /// What it does.
    pub verb: Verb,
    /// Its text, passed on unchanged.
    pub text: Box<str>,
}

/// One message of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// Opens a session on a database.
    Hello {
        /// Name of the database.
        database: Box<str>,
    },
    /// Runs a statement.
    Run(Statement),
    /// Cannot be understood; the session goes on.
    Unknown {
        /// What is wrong with it.
        fault: Box<str>,
    },
    /// Ends the session.
    Close,
}
