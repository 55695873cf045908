//! Checks and look-ups on an institution's configuration.

use crate::check::{address, names};
use crate::{Fault, Group, Institution, Kind, Objective, Rule, Service};

/// Members of a group at most. With three, what a replica of a term holds is held by its primary
/// too and so by a majority; reads on replicas rest on that.
const MEMBERS_MAX: usize = 3;

/// Name of a group across the fleet.
pub fn qualified(institution: &str, group: &str) -> Box<str> {
    format!("{institution}/{group}").into()
}

/// Lower-cases a statement's beginning and folds white space, for comparison with rules.
pub fn normalize(sql: &str) -> String {
    let words = sql.split_whitespace().map(str::to_lowercase);
    words.collect::<Vec<_>>().join(" ")
}

impl Institution {
    /// All faults: values out of range, names that stand twice, references that lead nowhere.
    pub fn faults(&self) -> Vec<Fault> {
        let mut out = Vec::new();
        self.check("", &mut out);
        names("users", self.users.iter().map(|u| &*u.name), &mut out);
        names("groups", self.groups.iter().map(|g| &*g.name), &mut out);
        names("services", self.services.iter().map(|s| &*s.name), &mut out);
        names(
            "objectives",
            self.objectives.iter().map(|o| &*o.name),
            &mut out,
        );
        for (i, group) in self.groups.iter().enumerate() {
            group.faults(&format!("groups[{i}]"), &mut out);
        }
        for (i, service) in self.services.iter().enumerate() {
            if !self.groups.iter().any(|g| g.name == service.group) {
                let text = format!("{:?} names no group", service.group);
                out.push(Fault::new(format!("services[{i}].group"), text));
            }
            service.faults(&format!("services[{i}]"), &mut out);
        }
        for (i, objective) in self.objectives.iter().enumerate() {
            objective.faults(&format!("objectives[{i}]"), &mut out);
        }
        out
    }

    /// The service that callers name as their database.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| *s.name == *name)
    }
}

impl Group {
    fn faults(&self, at: &str, out: &mut Vec<Fault>) {
        names(
            &format!("{at}.members"),
            self.members.iter().map(|m| &*m.name),
            out,
        );
        if !(1..=MEMBERS_MAX).contains(&self.members.len()) {
            let text = format!(
                "holds {}, expected 1 to {MEMBERS_MAX} members",
                self.members.len()
            );
            out.push(Fault::new(format!("{at}.members"), text));
        }
        for (i, member) in self.members.iter().enumerate() {
            address(&format!("{at}.members[{i}].addr"), &member.addr, out);
        }
        if self.slots > self.connections {
            out.push(Fault::new(
                format!("{at}.slots"),
                "expected no more than connections",
            ));
        }
    }
}

impl Service {
    fn faults(&self, at: &str, out: &mut Vec<Fault>) {
        names(
            &format!("{at}.rules"),
            self.rules.iter().map(|r| &*r.name),
            out,
        );
        for (i, rule) in self.rules.iter().enumerate() {
            if rule.kind == Kind::Write && rule.max_age_ms.is_some() {
                let text = "expected no max_age_ms on a write";
                out.push(Fault::new(format!("{at}.rules[{i}].max_age_ms"), text));
            }
            if rule.starts.trim().is_empty() {
                out.push(Fault::new(
                    format!("{at}.rules[{i}].starts"),
                    "expected words",
                ));
            }
        }
    }

    /// The first rule that a statement matches.
    ///
    /// A text of several statements matches none, because only its first would be known.
    pub fn rule(&self, sql: &str) -> Option<&Rule> {
        let one = sql.trim().trim_end_matches(';');
        if one.contains(';') {
            return None;
        }
        let text = normalize(strip_comment(one));
        self.rules.iter().find(|rule| {
            let starts = normalize(&rule.starts);
            text.strip_prefix(&starts)
                .is_some_and(|rest| !rest.starts_with(char::is_alphanumeric))
        })
    }
}

/// Drops a leading comment, in which a caller may name an idempotency key.
fn strip_comment(sql: &str) -> &str {
    let sql = sql.trim_start();
    sql.strip_prefix("/*")
        .and_then(|rest| rest.split_once("*/"))
        .map_or(sql, |(_, rest)| rest)
}

impl Objective {
    fn faults(&self, at: &str, out: &mut Vec<Fault>) {
        if !(0.0..100.0).contains(&self.percent) {
            let text = format!("is {}, expected 0 to below 100 percent", self.percent);
            out.push(Fault::new(format!("{at}.percent"), text));
        }
    }
}
