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

/// Whom an open session belongs to under a configuration that has come into force since it was
/// opened; `held` is whom it belonged to before.
///
/// # Errors
/// The reason for which the session must end. A key that now belongs to another account ends it
/// too, because the session's connections and rate are those of the former account.
pub fn identify_again(
    accounts: &Accounts,
    is_public: bool,
    credential: Option<Credential>,
    held: Option<Identity>,
) -> Result<Option<Identity>, Denial> {
    let current = authenticate(accounts, is_public, credential, None)?;
    match (held, current) {
        (Some(held), Some(current)) if held != current => Err(Denial::OtherAccount),
        _ => Ok(current),
    }
}
