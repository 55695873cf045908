//! Record of a statement that a member ran.

use base::Ms;

/// A read, write or commit that a member ran.
#[derive(Clone, Debug)]
pub struct StatementRun {
    /// When the member received it, before any delay that a fault injects.
    pub received_at: Ms,
    /// Name in the `CONNECT` of its connection.
    pub conn_name: Box<str>,
    /// Identifier that the caller gave it.
    pub id: Box<str>,
    /// Whether it begins an operation: it ran outside a transaction, or as the first of its
    /// transaction.
    pub begins_operation: bool,
}
