//! Classifies requests: read or write, accepted staleness, whether a retry is safe.

use schema::{Kind, Service};

/// Prefix of the comment text that carries an idempotency key: `/* hollyreach.key=NAME */` in front
/// of the statement.
const KEY_COMMENT_PREFIX: &str = "hollyreach.key=";
/// Length of the longest idempotency key; a longer one is ignored.
const MAX_KEY_BYTES: usize = 200;

/// How a request may be served.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPlan {
    /// Name of the rule that matched, or why none did.
    pub rule: Box<str>,
    /// Whether the request has no effect and may run on a replica.
    pub read: bool,
    /// Largest age of the data that a read accepts; `None` sets no bound on the age.
    pub max_age_ms: Option<u64>,
    /// Whether the request only prepares or describes, so that any member can answer it.
    pub describe: bool,
    /// Whether the request may be sent again after an unknown outcome.
    pub repeat: bool,
    /// Idempotency key; empty when there is none.
    pub key: Box<str>,
}

impl RequestPlan {
    fn write(rule: &str, repeat: bool, key: Box<str>) -> RequestPlan {
        RequestPlan {
            rule: rule.into(),
            read: false,
            max_age_ms: None,
            describe: false,
            repeat,
            key,
        }
    }

    /// Classifies the statements that a batch executes by the service's rules.
    ///
    /// A statement that matches no rule counts as a write that must not be repeated, which is safe
    /// for any statement.
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
            return RequestPlan::write("no rule", false, idempotency_key(text));
        };
        match rule.kind {
            Kind::Read => RequestPlan::read(&rule.name, rule.max_age_ms),
            Kind::Write => RequestPlan::write(&rule.name, rule.repeat, idempotency_key(text)),
        }
    }

    fn read(rule: &str, max_age_ms: Option<u64>) -> RequestPlan {
        RequestPlan {
            rule: rule.into(),
            read: true,
            max_age_ms,
            describe: false,
            repeat: true,
            key: "".into(),
        }
    }
}

/// Idempotency key from a leading comment; empty when there is none or it is too long.
fn idempotency_key(sql: &str) -> Box<str> {
    let comment = sql
        .trim_start()
        .strip_prefix("/*")
        .and_then(|rest| rest.split_once("*/"));
    let key = comment
        .and_then(|(text, _)| text.trim().strip_prefix(KEY_COMMENT_PREFIX))
        .unwrap_or("");
    if key.len() > MAX_KEY_BYTES {
        "".into()
    } else {
        key.trim().into()
    }
}
