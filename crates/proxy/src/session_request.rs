//! The request for a session, from a caller or from the daemon that hands it off.

use crate::{Credential, Denial, Identity, Proxy, authenticate};

/// What a session is opened with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionRequest {
    pub database: Box<str>,
    /// `None` when the caller has sent no key, or a malformed one.
    pub credential: Option<Credential>,
    /// Account that the daemon which handed the session off has found for the credential.
    pub account: Option<Box<str>>,
    /// VM that handed the session off; `None` when the caller connected here.
    pub origin: Option<Box<str>>,
    /// Whether the daemon that hands the session off has found no owner that answers.
    pub is_stand_in: bool,
}

impl SessionRequest {
    /// The request of a caller that connected here.
    pub fn of_caller(database: Box<str>, credential: Option<Credential>) -> SessionRequest {
        SessionRequest {
            database,
            credential,
            account: None,
            origin: None,
            is_stand_in: false,
        }
    }

    /// Whom the session belongs to, by the configuration in force.
    ///
    /// # Errors
    /// The reason for which the caller is denied.
    pub fn identify(&self, proxy: &Proxy) -> Result<Option<Identity>, Denial> {
        let routes = proxy.routes.borrow();
        let is_public = routes.get(&self.database).is_some_and(|r| r.public);
        let account = self.account.as_deref();
        authenticate(&proxy.accounts, is_public, self.credential, account)
    }

    /// The request as this daemon hands it off to an owner. `account` is the one that it has found.
    #[must_use]
    pub fn for_owner(&self, proxy: &Proxy, account: Option<&str>) -> SessionRequest {
        SessionRequest {
            database: self.database.clone(),
            credential: self.credential,
            account: account.map(Box::from),
            origin: Some(proxy.settings.name.clone()),
            is_stand_in: self.is_stand_in,
        }
    }

    /// The request for a daemon that is to stand in for the owners.
    #[must_use]
    pub fn for_stand_in(&self) -> SessionRequest {
        SessionRequest {
            is_stand_in: true,
            ..self.clone()
        }
    }
}
