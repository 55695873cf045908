//! Statements about the session itself, which the frontend answers or keeps from the upstream.

use bytes::BytesMut;
use schema::{Pos, Var, normalize};

use crate::frontend::accept::TOKEN;

/// What a statement is for the session.
#[derive(Clone, Debug, PartialEq)]
pub enum LocalStatement {
    /// It goes to a member.
    Forward,
    /// It would leave state on a shared connection.
    Unsupported,
    /// It changes a setting of the session; the upstream checks it.
    Set(Var),
    /// It presents a token.
    Token(Option<Pos>),
    /// It asks for the token.
    ShowToken,
    /// It forgets settings and prepared statements; the tag of its answer is given.
    Discard(&'static str),
    /// It forgets a prepared statement, which costs nothing to keep.
    Deallocate,
}

/// First words of statements that would leave state on a shared connection.
const UNSUPPORTED: &[&str] = &[
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

/// Functions that leave state on a connection.
const STATEFUL: &[&str] = &[
    "set_config(",
    "pg_advisory_lock(",
    "pg_advisory_lock_shared(",
];

/// Judges one statement.
pub fn classify(sql: &str) -> LocalStatement {
    let text = normalize(sql.trim().trim_end_matches(';'));
    let starts = |w: &str| {
        text.strip_prefix(w)
            .is_some_and(|r| !r.starts_with(char::is_alphanumeric))
    };
    if text.contains(&format!("show {TOKEN}")) {
        return LocalStatement::ShowToken;
    }
    if let Some(rest) = text
        .strip_prefix("set ")
        .map(|r| r.trim_start_matches("session "))
    {
        return judge_set(sql, rest);
    }
    // LOCK and DECLARE end with their transaction, in which the connection is not shared.
    let inside = ["lock", "declare"].iter().any(|w| starts(w)) && !text.contains("with hold");
    if !inside && UNSUPPORTED.iter().any(|w| starts(w)) || STATEFUL.iter().any(|f| text.contains(f))
    {
        return LocalStatement::Unsupported;
    }
    match text.as_str() {
        "discard all" => LocalStatement::Discard("DISCARD ALL"),
        "reset all" => LocalStatement::Discard("RESET"),
        _ if starts("discard") || starts("reset") => LocalStatement::Unsupported,
        _ if starts("deallocate") => LocalStatement::Deallocate,
        _ => LocalStatement::Forward,
    }
}

fn judge_set(sql: &str, rest: &str) -> LocalStatement {
    let name = rest.split([' ', '=']).next().unwrap_or_default();
    match name {
        "local" | "transaction" | "constraints" => LocalStatement::Forward,
        "role" | "authorization" | "characteristics" => LocalStatement::Unsupported,
        TOKEN => {
            let val = rest[name.len()..]
                .trim_start_matches([' ', '='])
                .trim_start_matches("to ")
                .trim();
            let val = val.trim_matches('\'');
            match Pos::parse(val) {
                Some(pos) => LocalStatement::Token(Some(pos)),
                None if val.is_empty() => LocalStatement::Token(None),
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

/// Appends the answer to a command.
pub fn put_tag(out: &mut BytesMut, tag: &str) {
    pg::put_frame(out, b'C', &[tag.as_bytes(), &[0]].concat());
}

/// Appends a result of one column and one row, as text.
pub fn put_value(out: &mut BytesMut, name: &str, val: &str) {
    let mut head = vec![0, 1];
    head.extend(name.as_bytes());
    head.push(0);
    // No table, no column; type text, of any length, in text format.
    head.extend([
        0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0,
    ]);
    pg::put_frame(out, b'T', &head);
    let len = u32::try_from(val.len()).expect("short");
    let mut row = vec![0, 1];
    row.extend(len.to_be_bytes());
    row.extend(val.as_bytes());
    pg::put_frame(out, b'D', &row);
    put_tag(out, "SHOW");
}
