//! Puts configurations in force, and starts the tasks of the groups that they name.

use std::collections::HashMap;
use std::rc::Rc;

use base::{Event, emit};

use crate::{
    Config, Group, GroupRule, Proxy, config_push, failover, health_check, replica_recorder,
};

impl Proxy {
    /// Puts a configuration in force, unless this version or a newer one already is, or a newer one
    /// is known to exist.
    pub fn configure(self: &Rc<Self>, config: Config) {
        if config.version <= self.config_version.get() {
            return;
        }
        if config.version < self.newest_heard.get() {
            emit(
                Event::GatewayConfigOlder,
                &[
                    ("version", &config.version),
                    ("newest", &self.newest_heard.get()),
                ],
            );
            return;
        }
        self.newest_heard.set(config.version);
        for rule in &config.groups {
            self.add_group(rule);
        }
        config_push::set_in_force(self, &config);
        let routes: HashMap<_, _> = config
            .routes
            .into_iter()
            .map(|r| (r.database.clone(), Rc::new(r)))
            .collect();
        emit(
            Event::GatewayConfigInForce,
            &[
                ("version", &config.version),
                ("before", &self.config_version.get()),
                ("routes", &routes.len()),
            ],
        );
        let needs_check = self.accounts.in_force() || config.accounts.is_some();
        for (credential, accounts) in self.accounts.replace(config.accounts.as_deref()) {
            emit(
                Event::KeyAmbiguous,
                &[
                    ("key", &credential.label()),
                    ("accounts", &accounts.join(",")),
                ],
            );
        }
        self.routes.replace(routes);
        self.update_ownership();
        for group in self.groups.borrow().values() {
            group.on_accounts_replaced();
        }
        self.tx_idle_ms.set(config.tx_idle);
        self.config_version.set(config.version);
        if needs_check {
            self.stop_signal.notify();
        }
    }

    fn add_group(self: &Rc<Self>, rule: &GroupRule) {
        let known = self.groups.borrow().get(&rule.name).cloned();
        if let Some(group) = known {
            group.rule.replace(rule.clone());
            return;
        }
        let group = Group::new(
            rule.clone(),
            &self.settings,
            self.codec,
            &self.peers,
            &self.accounts,
        );
        self.groups
            .borrow_mut()
            .insert(rule.name.clone(), group.clone());
        let mut pending = self.pending_members.borrow_mut();
        for member in pending.values().filter(|m| m.record.group == rule.name) {
            group.update_member(&member.record.id, Some(&member.record), member.earliest);
        }
        pending.retain(|_, m| m.record.group != rule.name);
        monoio::spawn(health_check::run(group.clone()));
        monoio::spawn(replica_recorder::run(self.clone(), group.clone()));
        monoio::spawn(failover::run(self.clone(), group));
    }
}
