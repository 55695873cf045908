//! Structured log lines: a number, a text and `key=value` fields.

use std::fmt::{Display, Write};

use crate::{Event, Level};

/// A named value of a log line.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// Writes one event to the log.
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
    let mut line = format!("H{} {}", event.number(), event.text());
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
