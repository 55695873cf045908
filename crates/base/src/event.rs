//! Structured log lines: event number, text and `key=value` fields.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::{Display, Write};

use crate::{Event, Level, Ms};

/// Maximum number of lines that a thread writes per event and second; further ones are suppressed
/// and counted.
const MAX_LINES_PER_S: u64 = 200;

/// Counters of the rate limit of one event.
#[derive(Clone, Copy, Default)]
struct LineCount {
    /// Second of the monotonic clock that `written` refers to.
    second: u64,
    /// Lines written in that second.
    written: u64,
    /// Lines suppressed since the last one that was written, also in earlier seconds.
    suppressed: u64,
}

thread_local! {
    static LINE_COUNTS: RefCell<HashMap<u32, LineCount>> = RefCell::default();
}

/// Counts a line against the limit of its event.
///
/// Returns the number of lines suppressed since the last one written, or `None` when this line is
/// to be suppressed as well.
fn admit(event: Event) -> Option<u64> {
    let second = Ms::now().0 / 1000;
    LINE_COUNTS.with_borrow_mut(|counts| {
        let count = counts.entry(event.number()).or_default();
        if count.second != second {
            (count.second, count.written) = (second, 0);
        }
        if count.written >= MAX_LINES_PER_S {
            count.suppressed += 1;
            return None;
        }
        count.written += 1;
        Some(std::mem::take(&mut count.suppressed))
    })
}

/// Name and value of a field of a log line.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// Writes one event to the log, unless its level is disabled or this thread has already written
/// `MAX_LINES_PER_S` lines of it in this second.
///
/// The field `left_out` is the number of lines suppressed before this one.
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
    let Some(suppressed) = admit(event) else {
        return;
    };
    let mut line = format!("H{} {}", event.number(), event.text());
    if suppressed > 0 {
        write!(line, " left_out={suppressed}").expect("writing to a string succeeds");
    }
    for (name, value) in fields {
        let text = value.to_string();
        let is_special = |c: char| c.is_whitespace() || c.is_control() || c == '"';
        let quote = text.is_empty() || text.contains(is_special);
        let result = if quote {
            write!(line, " {name}={text:?}")
        } else {
            write!(line, " {name}={text}")
        };
        result.expect("writing to a string succeeds");
    }
    log::log!(target: "hollyreach", level, "{line}");
}
