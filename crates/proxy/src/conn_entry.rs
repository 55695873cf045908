//! What a daemon records of each of its connections to a member.

use base::Ms;

use crate::AccountKey;

/// Identifies a connection within one daemon; never reused for another one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnKey(pub u64);

/// What a connection is for. It is never given to anything else.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Purpose {
    /// Statements of a client account, in whose name the connection was opened. Without an account
    /// it was opened in the name of the VM: for statements of public routes or, where no accounts
    /// are in force, for all statements and for control commands as well.
    Statements(Option<AccountKey>),
    /// Control commands of the daemon itself, where accounts are in force.
    Control,
}

/// Whether a connection can be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnState {
    Opening,
    /// In use by a statement, a transaction or a control command.
    Held,
    Idle,
}

/// A connection to a member, or an attempt to open one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnEntry {
    pub key: ConnKey,
    pub purpose: Purpose,
    pub state: ConnState,
    /// Since when it has been in this state.
    pub since: Ms,
    /// When it was first usable; the start of the attempt before that.
    pub opened_at: Ms,
}

impl ConnEntry {
    /// Whether it carries the statements of an account.
    pub fn is_of(&self, account: Option<AccountKey>) -> bool {
        self.purpose == Purpose::Statements(account)
    }
}
