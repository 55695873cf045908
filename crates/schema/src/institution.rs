//! Validation of an institution's configuration, and look-ups in it.

use crate::check::{check_address, check_names};
use crate::{Group, Institution, Kind, Objective, Rule, Service, ValidationError};

/// Maximum number of members in a group.
///
/// An entry that a replica received from the primary of its term is held by both of them, which is
/// a majority of up to three members. Reads from replicas rely on that.
const MAX_MEMBERS: usize = 3;

/// Returns the fleet-wide name of a group, `INSTITUTION/GROUP`.
pub fn qualified(institution: &str, group: &str) -> Box<str> {
    format!("{institution}/{group}").into()
}

/// Lower-cases a statement and collapses white space, for comparison with rules.
pub fn normalize(sql: &str) -> String {
    let words = sql.split_whitespace().map(str::to_lowercase);
    words.collect::<Vec<_>>().join(" ")
}

impl Institution {
    /// Returns all errors: values out of range, invalid or duplicate names and dangling references.
    pub fn validate(&self) -> Vec<ValidationError> {
        let mut out = Vec::new();
        self.check("", &mut out);
        check_names("users", self.users.iter().map(|u| &*u.name), &mut out);
        check_names("groups", self.groups.iter().map(|g| &*g.name), &mut out);
        check_names("services", self.services.iter().map(|s| &*s.name), &mut out);
        check_names(
            "objectives",
            self.objectives.iter().map(|o| &*o.name),
            &mut out,
        );
        for (i, group) in self.groups.iter().enumerate() {
            group.validate(&format!("groups[{i}]"), &mut out);
        }
        for (i, service) in self.services.iter().enumerate() {
            if !self.groups.iter().any(|g| g.name == service.group) {
                let text = format!("{:?} names no group", service.group);
                out.push(ValidationError::new(format!("services[{i}].group"), text));
            }
            service.validate(&format!("services[{i}]"), &mut out);
        }
        for (i, objective) in self.objectives.iter().enumerate() {
            objective.validate(&format!("objectives[{i}]"), &mut out);
        }
        out
    }

    /// Returns the service with this name; callers name it as their database.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| *s.name == *name)
    }
}

impl Group {
    fn validate(&self, path: &str, out: &mut Vec<ValidationError>) {
        check_names(
            &format!("{path}.members"),
            self.members.iter().map(|m| &*m.name),
            out,
        );
        if !(1..=MAX_MEMBERS).contains(&self.members.len()) {
            let text = format!(
                "holds {}, expected 1 to {MAX_MEMBERS} members",
                self.members.len()
            );
            out.push(ValidationError::new(format!("{path}.members"), text));
        }
        for (i, member) in self.members.iter().enumerate() {
            check_address(&format!("{path}.members[{i}].addr"), &member.addr, out);
        }
        if self.slots > self.connections {
            out.push(ValidationError::new(
                format!("{path}.slots"),
                "expected no more than connections",
            ));
        }
    }
}

impl Service {
    fn validate(&self, path: &str, out: &mut Vec<ValidationError>) {
        check_names(
            &format!("{path}.rules"),
            self.rules.iter().map(|r| &*r.name),
            out,
        );
        for (i, rule) in self.rules.iter().enumerate() {
            if rule.kind == Kind::Write && rule.max_age_ms.is_some() {
                let text = "expected no max_age_ms on a write";
                out.push(ValidationError::new(
                    format!("{path}.rules[{i}].max_age_ms"),
                    text,
                ));
            }
            if rule.starts.trim().is_empty() {
                out.push(ValidationError::new(
                    format!("{path}.rules[{i}].starts"),
                    "expected words",
                ));
            }
        }
    }

    /// Returns the first rule whose `starts` begins the statement, regardless of case, white space
    /// and a leading comment.
    ///
    /// A text with a semicolon before its end matches no rule, because it may hold several
    /// statements and a rule describes only the first of them. Semicolons in literals count too.
    pub fn rule(&self, sql: &str) -> Option<&Rule> {
        let statement = sql.trim().trim_end_matches(';');
        if statement.contains(';') {
            return None;
        }
        let text = normalize(strip_leading_comment(statement));
        self.rules.iter().find(|rule| {
            let starts = normalize(&rule.starts);
            text.strip_prefix(&starts)
                .is_some_and(|rest| !rest.starts_with(char::is_alphanumeric))
        })
    }
}

/// Removes a leading comment, which may hold an idempotency key.
fn strip_leading_comment(sql: &str) -> &str {
    let sql = sql.trim_start();
    sql.strip_prefix("/*")
        .and_then(|rest| rest.split_once("*/"))
        .map_or(sql, |(_, rest)| rest)
}

impl Objective {
    fn validate(&self, path: &str, out: &mut Vec<ValidationError>) {
        if !(0.0..100.0).contains(&self.percent) {
            let text = format!("is {}, expected 0 to below 100 percent", self.percent);
            out.push(ValidationError::new(format!("{path}.percent"), text));
        }
    }
}
