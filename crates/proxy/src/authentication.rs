//! Decides whom a session belongs to.

use crate::{Accounts, Credential, Identity};

/// Why a caller is denied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// It has sent no key, or a malformed one.
    NoKey,
    /// No account has the key, or several have it.
    UnknownKey,
    /// The key belongs to another account than expected.
    OtherAccount,
}

/// Whom a new session belongs to; `None` where callers need no key. `expected` is the name of the
/// account that another daemon has found for the key.
///
/// # Errors
/// The reason for which the caller is denied.
pub fn authenticate(
    accounts: &Accounts,
    is_public: bool,
    credential: Option<Credential>,
    expected: Option<&str>,
) -> Result<Option<Identity>, Denial> {
    if is_public || !accounts.in_force() {
        return Ok(None);
    }
    let credential = credential.ok_or(Denial::NoKey)?;
    let identity = accounts.identify(credential).ok_or(Denial::UnknownKey)?;
    if expected.is_some_and(|name| name != &*accounts.name(identity.account)) {
        return Err(Denial::OtherAccount);
    }
    Ok(Some(identity))
}
