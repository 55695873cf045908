//! Client accounts of the configuration in force.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use schema::Account;

use crate::Credential;

/// Identifies a client account within one process, by its name; never reused for another name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AccountKey(pub u32);

/// Whom a session belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity {
    pub account: AccountKey,
    pub credential: Credential,
}

/// The client accounts, and which credential belongs to which.
#[derive(Default)]
pub struct Accounts {
    /// Whether the configuration has client accounts, even if none is left.
    in_force: Cell<bool>,
    /// Names of all accounts that this process has known; indexed by `AccountKey`.
    names: RefCell<Vec<Rc<str>>>,
    keys: RefCell<HashMap<Rc<str>, AccountKey>>,
    /// Accounts of the configuration in force.
    known: RefCell<HashMap<AccountKey, Account>>,
    by_credential: RefCell<HashMap<Credential, AccountKey>>,
}

impl Accounts {
    /// Replaces the accounts; `None` means that callers need no key. Returns the credentials that
    /// several accounts hold, each with the names of two of them.
    pub fn replace(&self, accounts: Option<&[Account]>) -> Vec<(Credential, [Rc<str>; 2])> {
        self.in_force.set(accounts.is_some());
        let accounts = accounts.unwrap_or_default();
        let known = accounts.iter().map(|a| (self.key(&a.name), a.clone()));
        self.known.replace(known.collect());
        let mut by_credential = HashMap::new();
        let mut ambiguous = HashMap::new();
        for account in accounts {
            let key = self.key(&account.name);
            for credential in account
                .credentials
                .iter()
                .filter_map(|c| Credential::from_hex(c))
            {
                let former = by_credential.insert(credential, key);
                if let Some(former) = former.filter(|former| *former != key) {
                    ambiguous.insert(credential, [self.name(former), self.name(key)]);
                }
            }
        }
        // A key of two accounts could be used in the name of the wrong one.
        by_credential.retain(|credential, _| !ambiguous.contains_key(credential));
        self.by_credential.replace(by_credential);
        ambiguous.into_iter().collect()
    }

    /// Whether callers need a key, except on public routes.
    pub fn in_force(&self) -> bool {
        self.in_force.get()
    }

    /// The key of a name.
    pub fn key(&self, name: &str) -> AccountKey {
        if let Some(key) = self.keys.borrow().get(name) {
            return *key;
        }
        let mut names = self.names.borrow_mut();
        let key = AccountKey(u32::try_from(names.len()).expect("fewer than 2^32 accounts"));
        let name: Rc<str> = name.into();
        names.push(name.clone());
        self.keys.borrow_mut().insert(name, key);
        key
    }

    /// The key of a name that this process has known; unlike `key`, it adds none.
    pub fn find(&self, name: &str) -> Option<AccountKey> {
        self.keys.borrow().get(name).copied()
    }

    pub fn name(&self, key: AccountKey) -> Rc<str> {
        self.names.borrow()[key.0 as usize].clone()
    }

    /// Whether the configuration in force has an account.
    pub fn is_known(&self, key: AccountKey) -> bool {
        self.known.borrow().contains_key(&key)
    }

    /// Whom a credential belongs to.
    pub fn identify(&self, credential: Credential) -> Option<Identity> {
        let account = *self.by_credential.borrow().get(&credential)?;
        Some(Identity {
            account,
            credential,
        })
    }

    /// Whether an identity still holds.
    pub fn is_valid(&self, identity: Identity) -> bool {
        self.identify(identity.credential) == Some(identity)
    }

    /// Rate in operations per second, and burst, of an account; `None` without a limit.
    pub fn limit(&self, key: AccountKey) -> Option<(f64, f64)> {
        let known = self.known.borrow();
        let account = known.get(&key)?;
        Some((account.rate?, account.burst))
    }
}
