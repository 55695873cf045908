//! Client accounts in the configuration, and changes to their keys and rates.

use base::Ms;
use serde_json::{Value, json};

use crate::World;

/// A client account as the operator configures it.
#[derive(Clone, Debug)]
pub struct ClientAccount {
    pub name: Box<str>,
    pub keys: Vec<Box<str>>,
    pub rate_per_s: u64,
    pub burst: u64,
    pub priority: u64,
}

impl ClientAccount {
    /// The account's entry in the configuration, whose format calls it a tenant.
    pub(crate) fn to_json(&self) -> Value {
        let keys: Vec<&str> = self.keys.iter().map(|key| &**key).collect();
        json!({
            "name": &*self.name, "api_keys": keys, "priority": self.priority,
            "rate_per_s": self.rate_per_s, "burst": self.burst
        })
    }
}

impl World {
    /// Puts client accounts into the configuration, or removes them all with `None`. With accounts,
    /// each group also has the public route `GROUP-public`.
    pub fn set_accounts(&self, accounts: Option<Vec<ClientAccount>>) -> Ms {
        self.accounts.replace(accounts);
        self.configure(0);
        Ms::now()
    }

    /// Adds a key to an account. Returns when the store acknowledged the configuration.
    pub fn add_key(&self, account: &str, key: &str) -> Ms {
        self.change_account(account, |a| a.keys.push(key.into()))
    }

    /// Removes a key from an account. Returns when the store acknowledged the configuration.
    pub fn withdraw_key(&self, account: &str, key: &str) -> Ms {
        self.change_account(account, |a| a.keys.retain(|k| **k != *key))
    }

    /// Sets the rate and burst of an account. Returns when the store acknowledged the configuration.
    pub fn set_rate(&self, account: &str, rate_per_s: u64, burst: u64) -> Ms {
        self.change_account(account, |a| {
            a.rate_per_s = rate_per_s;
            a.burst = burst;
        })
    }

    fn change_account(&self, name: &str, change: impl FnOnce(&mut ClientAccount)) -> Ms {
        if let Some(accounts) = self.accounts.borrow_mut().as_mut()
            && let Some(account) = accounts.iter_mut().find(|a| &*a.name == name)
        {
            change(account);
        }
        self.configure(0);
        Ms::now()
    }
}
