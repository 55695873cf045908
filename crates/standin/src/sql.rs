//! SQL subset that members understand, just enough for the bookings and reservations of the demo
//! deployments: reads and writes of one key-value table, transactions, session variables and the
//! control functions.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::log::{Entry, IDEMPOTENCY_KEYS_TABLE, Op, Tables, apply};
use crate::member::{Member, Status};

/// Result of a statement.
pub enum Reply {
    Rows {
        columns: Vec<&'static str>,
        rows: Vec<Vec<String>>,
    },
    /// Completed without rows, with this command tag.
    Done(String),
    Failed {
        /// SQLSTATE.
        code: &'static str,
        text: String,
    },
}

/// Transaction state of one connection.
#[derive(Default)]
pub struct Tx {
    /// Cancel key of the connection.
    pub cancel_key: u64,
    /// Whether a transaction is open.
    pub active: bool,
    /// Whether a statement of the open transaction failed.
    pub failed: bool,
    /// Uncommitted changes.
    ops: Vec<Op>,
    /// Variables set with `SET`, by which tests detect state that leaks between sessions.
    pub vars: std::collections::BTreeMap<String, String>,
}

const STATUS_COLUMNS: [&str; 8] = [
    "nonce",
    "term",
    "leader",
    "log_term",
    "log_pos",
    "contact_ms",
    "granted",
    "follow",
];

fn failed(code: &'static str, text: &str) -> Reply {
    Reply::Failed {
        code,
        text: text.to_owned(),
    }
}

fn done(tag: &str) -> Reply {
    Reply::Done(tag.to_owned())
}

/// Splits a statement into words, quoted strings (with the opening quote) and punctuation;
/// drops comments.
fn tokenize(sql: &str) -> Vec<String> {
    let mut tokens = Vec::new();
    let mut chars = sql.chars().peekable();
    while let Some(c) = chars.next() {
        if c == '\'' {
            let mut text = String::from("'");
            while let Some(d) = chars.next() {
                if d != '\'' {
                    text.push(d);
                } else if chars.peek() == Some(&'\'') {
                    text.push('\'');
                    chars.next();
                } else {
                    break;
                }
            }
            tokens.push(text);
        } else if c == '/' && chars.peek() == Some(&'*') {
            let mut last = ' ';
            for d in chars.by_ref() {
                if last == '*' && d == '/' {
                    break;
                }
                last = d;
            }
        } else if c.is_alphanumeric() || "_$.-".contains(c) {
            let mut word = String::from(c);
            while let Some(d) = chars.next_if(|d| d.is_alphanumeric() || "_$.-".contains(*d)) {
                word.push(d);
            }
            tokens.push(word);
        } else if !c.is_whitespace() {
            tokens.push(c.to_string());
        }
    }
    tokens
}

/// Value of a token, which is a quoted string, a parameter reference or a bare word.
fn token_value(token: &str, params: &[String]) -> Box<str> {
    if let Some(text) = token.strip_prefix('\'') {
        return text.into();
    }
    let index = token
        .strip_prefix('$')
        .and_then(|n| n.parse::<usize>().ok());
    match index.and_then(|n| params.get(n.wrapping_sub(1))) {
        Some(param) => param.as_str().into(),
        None => token.into(),
    }
}

/// Runs a statement. May wait for a slot, or for a position in `hollyreach_wait`.
pub fn run(member: &Member, tx: &mut Tx, sql: &str, params: &[String]) -> Reply {
    let tokens = tokenize(sql);
    let lower: Vec<String> = tokens.iter().map(|w| w.to_lowercase()).collect();
    let first = lower.first().map_or("", String::as_str);
    if tx.failed && !matches!(first, "rollback" | "commit" | "end") {
        return failed("25P02", "current transaction is aborted");
    }
    let reply = match first {
        "" => done(""),
        "begin" | "start" => {
            tx.active = true;
            done("BEGIN")
        }
        "rollback" | "abort" => {
            end_transaction(tx);
            done("ROLLBACK")
        }
        "commit" | "end" => commit(member, tx),
        "set" => {
            tx.vars.insert(
                lower[1].clone(),
                token_value(&tokens[tokens.len() - 1], params).into(),
            );
            done("SET")
        }
        "deallocate" => done("DEALLOCATE ALL"),
        "reset" | "discard" => {
            tx.vars.clear();
            done("RESET")
        }
        "show" => {
            let val = tx.vars.get(&lower[1]).cloned().unwrap_or_default();
            Reply::Rows {
                columns: vec!["value"],
                rows: vec![vec![val]],
            }
        }
        "select" if lower.get(1).is_some_and(|w| w.starts_with("hollyreach_")) => {
            control_function(member, &lower[1], &tokens, params)
        }
        "select" => member.run_in_slot(|| select(member, tx, &tokens, &lower, params)),
        "insert" | "update" | "delete" => {
            member.run_in_slot(|| write(member, tx, &tokens, &lower, params))
        }
        _ => failed("42601", "the stand-in does not know this statement"),
    };
    if matches!(reply, Reply::Failed { .. }) && tx.active {
        tx.failed = true;
    }
    reply
}

fn end_transaction(tx: &mut Tx) {
    tx.active = false;
    tx.failed = false;
    tx.ops.clear();
}

fn commit(member: &Member, tx: &mut Tx) -> Reply {
    let ops = std::mem::take(&mut tx.ops);
    let aborted = tx.failed;
    end_transaction(tx);
    if aborted {
        return done("ROLLBACK");
    }
    if ops.is_empty() {
        return done("COMMIT");
    }
    append_entry(member, ops).unwrap_or_else(|| done("COMMIT"))
}

/// Appends a transaction to the log; returns the error reply if that is not allowed.
fn append_entry(member: &Member, ops: Vec<Op>) -> Option<Reply> {
    let mut state = member.lock();
    if !state.is_primary {
        return Some(failed(
            "25006",
            "cannot write: this member is not the primary",
        ));
    }
    if ops
        .iter()
        .any(|op| violates_unique_key(&state.log.tables, op))
    {
        return Some(failed(
            "23505",
            "duplicate key value violates unique constraint",
        ));
    }
    let term = state.log.term;
    state.log.append(Entry { term, ops });
    member.changed.notify_all();
    None
}

/// Whether a change inserts an idempotency key that the table already holds.
fn violates_unique_key(tables: &Tables, op: &Op) -> bool {
    let Op::Insert { table, key, .. } = op else {
        return false;
    };
    **table == *IDEMPOTENCY_KEYS_TABLE
        && tables
            .get(table)
            .is_some_and(|rows| rows.iter().any(|r| r.0 == *key))
}

/// Runs a change; in a transaction it takes effect at the commit.
fn write(
    member: &Member,
    tx: &mut Tx,
    tokens: &[String],
    lower: &[String],
    params: &[String],
) -> Reply {
    let Some(op) = parse_write(tokens, lower, params) else {
        return failed("42601", "the stand-in cannot read this change");
    };
    let mut tables = {
        let state = member.lock();
        if !state.is_primary {
            return failed("25006", "cannot write: this member is not the primary");
        }
        if violates_unique_key(&state.log.tables, &op) {
            return failed("23505", "duplicate key value violates unique constraint");
        }
        let (Op::Insert { table, .. } | Op::Update { table, .. } | Op::Delete { table, .. }) = &op;
        let rows = state.log.tables.get(table).cloned().unwrap_or_default();
        Tables::from([(table.clone(), rows)])
    };
    let count = apply(&mut tables, &op);
    let tag = match &op {
        Op::Insert { .. } => "INSERT 0 1".to_owned(),
        Op::Update { .. } => format!("UPDATE {count}"),
        Op::Delete { .. } => format!("DELETE {count}"),
    };
    if tx.active {
        tx.ops.push(op);
        return Reply::Done(tag);
    }
    append_entry(member, vec![op]).unwrap_or(Reply::Done(tag))
}

/// Parses `INSERT INTO t (k, v) VALUES (a, b)`, `UPDATE t SET v = b WHERE k = a` or
/// `DELETE FROM t WHERE k = a`.
fn parse_write(tokens: &[String], lower: &[String], params: &[String]) -> Option<Op> {
    let after = |word: &str| lower.iter().position(|w| w == word).map(|i| i + 1);
    let key = || Some(token_value(tokens.get(after("where")? + 2)?, params));
    match lower[0].as_str() {
        "insert" => {
            let at = after("values")?;
            Some(Op::Insert {
                table: lower.get(2)?.as_str().into(),
                key: token_value(tokens.get(at + 1)?, params),
                val: token_value(tokens.get(at + 3)?, params),
            })
        }
        "update" => Some(Op::Update {
            table: lower.get(1)?.as_str().into(),
            key: key()?,
            val: token_value(tokens.get(after("set")? + 2)?, params),
        }),
        _ => Some(Op::Delete {
            table: lower.get(2)?.as_str().into(),
            key: key()?,
        }),
    }
}

/// Columns of a statement's result; empty if it returns no rows.
pub fn columns(sql: &str) -> Vec<&'static str> {
    let lower: Vec<String> = tokenize(sql).iter().map(|w| w.to_lowercase()).collect();
    if lower.first().map(String::as_str) == Some("show") {
        return vec!["value"];
    }
    if lower.first().map(String::as_str) != Some("select") {
        return Vec::new();
    }
    if lower[1].starts_with("hollyreach_") {
        return STATUS_COLUMNS.to_vec();
    }
    let end = lower
        .iter()
        .position(|w| w == "from")
        .unwrap_or(lower.len());
    let selected = &lower[1..end];
    let has = |name: &str| selected.iter().any(|w| w == name);
    match () {
        () if has("count") => vec!["count"],
        () if has("pg_sleep") => vec!["pg_sleep"],
        () if has("k") && has("v") => vec!["k", "v"],
        () if has("k") => vec!["k"],
        () if has("v") => vec!["v"],
        () => vec!["value"],
    }
}

fn select(
    member: &Member,
    tx: &Tx,
    tokens: &[String],
    lower: &[String],
    params: &[String],
) -> Reply {
    let columns = columns(&tokens.join(" "));
    let Some(from) = lower.iter().position(|w| w == "from") else {
        if columns == ["pg_sleep"] {
            let seconds = tokens[3].parse::<f64>().unwrap_or(0.0).clamp(0.0, 30.0);
            let deadline = Instant::now() + Duration::from_secs_f64(seconds);
            while Instant::now() < deadline {
                std::thread::sleep(Duration::from_millis(5));
                if member
                    .cancelled
                    .lock()
                    .expect("the set of cancelled keys is not poisoned")
                    .remove(&tx.cancel_key)
                {
                    return failed("57014", "canceling statement due to user request");
                }
            }
        }
        return Reply::Rows {
            columns,
            rows: vec![vec![token_value(&tokens[1], params).into()]],
        };
    };
    let table = lower.get(from + 1).map_or("", String::as_str);
    let mut tables = Tables::new();
    let rows = member
        .lock()
        .log
        .tables
        .get(table)
        .cloned()
        .unwrap_or_default();
    tables.insert(table.into(), rows);
    for op in &tx.ops {
        apply(&mut tables, op);
    }
    let key = lower
        .iter()
        .position(|w| w == "where")
        .and_then(|i| tokens.get(i + 3));
    let key = key.map(|token| token_value(token, params));
    let rows = tables.remove(table).unwrap_or_default();
    let matching: Vec<_> = rows
        .into_iter()
        .filter(|r| key.as_ref().is_none_or(|k| r.0 == *k))
        .collect();
    if columns == ["count"] {
        return Reply::Rows {
            columns,
            rows: vec![vec![matching.len().to_string()]],
        };
    }
    let project = |row: &(Box<str>, Box<str>)| {
        columns
            .iter()
            .map(|n| {
                if *n == "k" {
                    row.0.to_string()
                } else {
                    row.1.to_string()
                }
            })
            .collect()
    };
    let rows = matching.iter().map(project).collect();
    Reply::Rows { columns, rows }
}

/// Runs a control function, which needs no slot. Its first argument is the nonce that the row of
/// the result repeats.
fn control_function(member: &Member, name: &str, tokens: &[String], params: &[String]) -> Reply {
    let args: Vec<Box<str>> = tokens[2..]
        .iter()
        .filter(|w| !"(),;".contains(w.as_str()))
        .map(|w| token_value(w, params))
        .collect();
    let text = |i: usize| args.get(i).map_or("", |a| &**a);
    let number = |i: usize| text(i).parse::<u64>().unwrap_or(0);
    let status = match name {
        "hollyreach_status" => member.status(&member.lock(), false),
        "hollyreach_wait" => member.wait_for_position(
            (number(1), number(2)),
            Duration::from_millis(number(3)),
            number(4),
        ),
        "hollyreach_raise" => member.grant_term(number(1), text(2)),
        "hollyreach_promote" => member.promote(number(1), text(2)),
        "hollyreach_follow" => member.follow(number(1), text(2)),
        "hollyreach_counts" => {
            let count = |c: &std::sync::atomic::AtomicU64| c.load(Ordering::Relaxed).to_string();
            let row = vec![
                count(&member.open_connections),
                count(&member.refused_connections),
                count(&member.served_statements),
            ];
            return Reply::Rows {
                columns: vec!["open", "refused", "served"],
                rows: vec![row],
            };
        }
        "hollyreach_fault" => {
            let counter = match text(1) {
                "lag_ms" => &member.lag_ms,
                "work_us" => &member.work_us,
                "lose" => &member.pending_lost,
                _ => &member.pending_crossed,
            };
            counter.store(number(2), Ordering::Relaxed);
            member.status(&member.lock(), false)
        }
        _ => return failed("42883", "no such control function"),
    };
    Reply::Rows {
        columns: STATUS_COLUMNS.to_vec(),
        rows: vec![status_row(text(0), &status)],
    }
}

fn status_row(nonce: &str, status: &Status) -> Vec<String> {
    let flag = |b: bool| if b { "t" } else { "f" }.to_owned();
    vec![
        nonce.to_owned(),
        status.term.to_string(),
        flag(status.is_primary),
        status.log_term.to_string(),
        status.log_len.to_string(),
        status.contact_ms.to_string(),
        flag(status.granted),
        status.follow.to_string(),
    ]
}
