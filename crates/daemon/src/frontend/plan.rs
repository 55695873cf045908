//! What a request is: read or write, which age it accepts, whether it may be repeated.

use schema::{Kind, Service};

/// Comment that names an idempotency key: `/* hollyreach.key=NAME */` before the statement.
const KEY_COMMENT: &str = "hollyreach.key=";
/// Longest idempotency key, in characters.
const KEY_MAX: usize = 200;

/// How a request may be served.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPlan {
    /// Rule that decided, or why none did.
    pub rule: Box<str>,
    /// Changes nothing and may go to a replica.
    pub read: bool,
    /// Age of data that a read accepts.
    pub max_age: Option<u64>,
    /// Only prepares or describes; any member will do.
    pub describe: bool,
    /// May run twice without harm.
    pub repeat: bool,
    /// Idempotency key, or empty.
    pub key: Box<str>,
}

impl RequestPlan {
    fn write(rule: &str, repeat: bool, key: Box<str>) -> RequestPlan {
        RequestPlan {
            rule: rule.into(),
            read: false,
            max_age: None,
            describe: false,
            repeat,
            key,
        }
    }

    /// Judges the texts that a batch executes by the service's rules.
    ///
    /// What no rule knows is a write that may not be repeated, because that is never wrong.
    pub fn of(service: &Service, texts: &[Box<str>]) -> RequestPlan {
        let [text] = texts else {
            return if texts.is_empty() {
                RequestPlan {
                    describe: true,
                    ..RequestPlan::read("describe", None)
                }
            } else {
                RequestPlan::write("several statements", false, "".into())
            };
        };
        let Some(rule) = service.rule(text) else {
            return RequestPlan::write("no rule", false, key_of(text));
        };
        match rule.kind {
            Kind::Read => RequestPlan::read(&rule.name, rule.max_age_ms),
            Kind::Write => RequestPlan::write(&rule.name, rule.repeat, key_of(text)),
        }
    }

    fn read(rule: &str, max_age: Option<u64>) -> RequestPlan {
        RequestPlan {
            rule: rule.into(),
            read: true,
            max_age,
            describe: false,
            repeat: true,
            key: "".into(),
        }
    }
}

/// The key named in a leading comment.
fn key_of(sql: &str) -> Box<str> {
    let comment = sql
        .trim_start()
        .strip_prefix("/*")
        .and_then(|rest| rest.split_once("*/"));
    let key = comment
        .and_then(|(text, _)| text.trim().strip_prefix(KEY_COMMENT))
        .unwrap_or("");
    if key.len() > KEY_MAX {
        "".into()
    } else {
        key.trim().into()
    }
}
