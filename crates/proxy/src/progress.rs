//! How far a statement has come that is not answered yet.

use std::cell::Cell;

use base::Ms;

/// What a statement waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Nothing yet.
    Read,
    /// A grant under the rate limit of its account.
    RateLimit,
    /// A connection to a member that may run it: for a primary, a slot, or a connection of its account.
    Connection,
    /// The member's replies to what comes before the statement: the set-up of the connection and
    /// `BEGIN`.
    SetUp,
    /// The member's reply to the statement.
    Reply,
    /// The lease that must cover the reply to a write.
    Lease,
    /// The member's reply to a rollback.
    Rollback,
}

/// A statement of a caller that is not answered yet.
#[derive(Debug)]
pub struct Progress {
    /// Identifier chosen by the caller.
    pub id: Box<str>,
    pub arrival: Ms,
    pub stage: Cell<Stage>,
    /// Whether the statement, once sent, may change data: a write outside a transaction, or the commit
    /// of a transaction that wrote.
    pub writes: Cell<bool>,
}

impl Progress {
    pub fn new(id: &str) -> Progress {
        Progress {
            id: id.into(),
            arrival: Ms::now(),
            stage: Cell::new(Stage::Read),
            writes: Cell::new(false),
        }
    }

    /// Whether a member may have run the statement.
    pub fn may_have_run(&self) -> bool {
        matches!(self.stage.get(), Stage::Reply | Stage::Lease)
    }

    /// Whether the statement may have changed data.
    pub fn may_have_written(&self) -> bool {
        self.may_have_run() && self.writes.get()
    }
}
