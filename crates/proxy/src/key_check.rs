//! Checks the key of an open session again.

use base::{Event, emit};

use crate::authentication::identify_again;
use crate::{Credential, Identity, Proxy};

/// The check of one session's key against the configurations that come into force.
pub struct KeyCheck {
    credential: Option<Credential>,
    /// Version of the configuration at the last check.
    version: u64,
    /// Whether the key has lost its account; never reset.
    is_withdrawn: bool,
}

impl KeyCheck {
    /// Text of the error for a statement that arrives after the key was withdrawn.
    pub const WITHDRAWN: &str = "the key is no longer valid";

    /// The check of a key that has just been found valid.
    pub fn new(proxy: &Proxy, credential: Option<Credential>) -> KeyCheck {
        KeyCheck {
            credential,
            version: proxy.config_version.get(),
            is_withdrawn: false,
        }
    }

    /// Checks the key again if another configuration has come into force, and updates whom the
    /// session belongs to.
    pub fn update(&mut self, proxy: &Proxy, database: &str, identity: &mut Option<Identity>) {
        let version = proxy.config_version.get();
        if version == self.version {
            return;
        }
        self.version = version;
        let routes = proxy.routes.borrow();
        // A session whose route is gone runs nothing; it ends only if its own key is gone too.
        let is_public = routes
            .get(database)
            .map_or(identity.is_none(), |route| route.public);
        match identify_again(&proxy.accounts, is_public, self.credential, *identity) {
            Ok(current) => *identity = current,
            Err(_) => self.is_withdrawn = true,
        }
    }

    pub fn is_withdrawn(&self) -> bool {
        self.is_withdrawn
    }

    /// Logs that the session ends because its key was withdrawn.
    pub fn log_end(&self, database: &str, origin: Option<&str>) {
        emit(
            Event::KeyWithdrawn,
            &[
                ("key", &Credential::label_of(self.credential)),
                ("database", &database),
                ("from", &origin.unwrap_or("-")),
                ("config", &self.version),
            ],
        );
    }
}
