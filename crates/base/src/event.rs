//! Structured log lines: a number, a text and `key=value` fields.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::{Display, Write};

use crate::{Event, Level, Ms};

/// Lines of one event that are written in one second; more are counted and left out.
const LINES_PER_S: u64 = 200;

/// Lines of one event in the current second.
#[derive(Clone, Copy, Default)]
struct Budget {
    second: u64,
    written: u64,
    left_out: u64,
}

thread_local! {
    static BUDGETS: RefCell<HashMap<u32, Budget>> = RefCell::default();
}

/// Whether a line may be written now; tells how many were left out before it.
fn admit(event: Event) -> Option<u64> {
    let second = Ms::now().0 / 1000;
    BUDGETS.with_borrow_mut(|budgets| {
        let budget = budgets.entry(event.number()).or_default();
        if budget.second != second {
            (budget.second, budget.written) = (second, 0);
        }
        if budget.written >= LINES_PER_S {
            budget.left_out += 1;
            return None;
        }
        budget.written += 1;
        Some(std::mem::take(&mut budget.left_out))
    })
}

/// A named value of a log line.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// Writes one event to the log, unless this second has seen too many of its kind.
pub fn emit(event: Event, fields: &[Field]) {
    let level = match event.level() {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    };
    if !log::log_enabled!(target: "hollyreach", level) {
        return;
    }
    let Some(left_out) = admit(event) else {
        return;
    };
    let mut line = format!("H{} {}", event.number(), event.text());
    if left_out > 0 {
        write!(line, " left_out={left_out}").expect("writing to a string succeeds");
    }
    for (name, val) in fields {
        let text = val.to_string();
        let quote = text.is_empty() || text.contains(|c: char| c.is_whitespace() || c == '"');
        let result = if quote {
            write!(line, " {name}={text:?}")
        } else {
            write!(line, " {name}={text}")
        };
        result.expect("writing to a string succeeds");
    }
    log::log!(target: "hollyreach", level, "{line}");
}
