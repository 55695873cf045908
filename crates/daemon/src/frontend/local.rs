//! Classifies statements about the session itself, most of which the frontend answers or rejects
//! without an upstream.

use bytes::BytesMut;
use schema::{Pos, Var, normalize};

use crate::frontend::accept::TOKEN_PARAM;

/// How the frontend treats a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum LocalStatement {
    /// Not about the session; runs on a member.
    Forward,
    /// Rejected: it would leave state on a connection that sessions share.
    Unsupported,
    /// Changes a setting of the session; runs on a member, which checks the value.
    Set(Var),
    /// Sets or clears the read-your-writes token.
    SetToken(Option<Pos>),
    /// Shows the read-your-writes token.
    ShowToken,
    /// `RESET ALL` or `DISCARD ALL`; carries the command tag of the answer. Both drop the session's
    /// settings, `DISCARD ALL` its prepared statements as well.
    Discard(&'static str),
    /// `DEALLOCATE`: acknowledged without effect, since a session may keep its prepared statements.
    Deallocate,
}

/// Leading words of statements that leave state on the connection, in normalized text.
const UNSUPPORTED_PREFIXES: &[&str] = &[
    "listen",
    "unlisten",
    "prepare",
    "execute",
    "load",
    "copy",
    "create temp",
    "create temporary",
    "create local temp",
    "set role",
    "set session authorization",
    "declare",
    "lock",
];

/// Calls of functions that leave state on the connection, in normalized text.
const STATEFUL_FUNCTIONS: &[&str] = &[
    "set_config(",
    "pg_advisory_lock(",
    "pg_advisory_lock_shared(",
];

/// Classifies one statement.
pub fn classify(sql: &str) -> LocalStatement {
    let text = normalize(sql.trim().trim_end_matches(';'));
    let starts_with_words = |words: &str| {
        text.strip_prefix(words)
            .is_some_and(|rest| !rest.starts_with(char::is_alphanumeric))
    };
    if text.contains(&format!("show {TOKEN_PARAM}")) {
        return LocalStatement::ShowToken;
    }
    if let Some(rest) = text
        .strip_prefix("set ")
        .map(|rest| rest.trim_start_matches("session "))
    {
        return classify_set(sql, rest);
    }
    // The effect of LOCK and DECLARE ends with their transaction, during which the connection is
    // pinned to the session.
    let transaction_scoped = ["lock", "declare"]
        .iter()
        .any(|words| starts_with_words(words))
        && !text.contains("with hold");
    if !transaction_scoped
        && UNSUPPORTED_PREFIXES
            .iter()
            .any(|words| starts_with_words(words))
        || STATEFUL_FUNCTIONS
            .iter()
            .any(|function| text.contains(function))
    {
        return LocalStatement::Unsupported;
    }
    match text.as_str() {
        "discard all" => LocalStatement::Discard("DISCARD ALL"),
        "reset all" => LocalStatement::Discard("RESET"),
        _ if starts_with_words("discard") || starts_with_words("reset") => {
            LocalStatement::Unsupported
        }
        _ if starts_with_words("deallocate") => LocalStatement::Deallocate,
        _ => LocalStatement::Forward,
    }
}

/// Classifies `SET`; `rest` is the normalized text behind the keyword.
fn classify_set(sql: &str, rest: &str) -> LocalStatement {
    let name = rest.split([' ', '=']).next().unwrap_or_default();
    match name {
        "local" | "transaction" | "constraints" => LocalStatement::Forward,
        "role" | "authorization" | "characteristics" => LocalStatement::Unsupported,
        TOKEN_PARAM => {
            let value = rest[name.len()..]
                .trim_start_matches([' ', '='])
                .trim_start_matches("to ")
                .trim();
            let value = value.trim_matches('\'');
            match Pos::parse(value) {
                Some(pos) => LocalStatement::SetToken(Some(pos)),
                None if value.is_empty() => LocalStatement::SetToken(None),
                None => LocalStatement::Unsupported,
            }
        }
        _ if rest.contains(';') => LocalStatement::Unsupported,
        _ => LocalStatement::Set(Var {
            name: name.into(),
            sql: sql.trim().trim_end_matches(';').into(),
        }),
    }
}

/// Appends a `CommandComplete`.
pub fn put_command_complete(out: &mut BytesMut, tag: &str) {
    pg::put_frame(out, b'C', &[tag.as_bytes(), &[0]].concat());
}

/// Appends the answer to a `SHOW`: one row with one text column.
pub fn put_text_row(out: &mut BytesMut, name: &str, value: &str) {
    let mut description = vec![0, 1];
    description.extend(name.as_bytes());
    description.push(0);
    // No table OID and no attribute number; type `text` (OID 25), variable length, no modifier,
    // text format.
    description.extend([
        0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0,
    ]);
    pg::put_frame(out, b'T', &description);
    let len = u32::try_from(value.len()).expect("the value is far below 4 GiB");
    let mut row = vec![0, 1];
    row.extend(len.to_be_bytes());
    row.extend(value.as_bytes());
    pg::put_frame(out, b'D', &row);
    put_command_complete(out, "SHOW");
}
