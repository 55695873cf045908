//! Reconstructs the timeline of one statement from the logs of several VMs.

use std::collections::BTreeSet;
use std::io::Read;

/// Span before the first line of a statement in which events of its groups are included.
const CONTEXT_BEFORE_MS: u64 = 5000;
/// Span after the last line of a statement in which events of its groups are included.
const CONTEXT_AFTER_MS: u64 = 2000;
/// Prefixes of the events that report a daemon's view of a group.
const GROUP_EVENT_PREFIXES: [&str; 3] = ["H72", "H73", "H74"];

/// A log line that holds an event.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Line {
    /// Time of the line, in ms since the Unix epoch.
    at: u64,
    /// Name of the VM: the word before the time, which log collectors add, or the file name if
    /// there is none.
    vm: Box<str>,
    /// The line from the event number on.
    text: Box<str>,
}

impl Line {
    /// Parses a line of the form `[… VM] TIME LEVEL EVENT …`; `None` if it holds no event or no
    /// time.
    fn parse(file: &str, text: &str) -> Option<Line> {
        let event = text
            .split(' ')
            .position(|w| w.len() > 3 && w.starts_with('H') && w[1..].parse::<u32>().is_ok())?;
        let words: Vec<&str> = text.split(' ').collect();
        let at = words.get(event.checked_sub(2)?)?.parse().ok()?;
        let before = words[..event - 2].iter().rfind(|w| !w.is_empty());
        Some(Line {
            at,
            vm: before.map_or(file, |w| w).into(),
            text: words[event..].join(" ").into(),
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        let mut words = self.text.split(' ');
        words.find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Returns, in order of time, the lines of a statement, and the events of its groups from shortly
/// before to shortly after it: primary changes from any VM, others from the VMs of the statement.
pub fn timeline(lines: &[Line], id: &str) -> Vec<Line> {
    let own_lines: Vec<&Line> = lines.iter().filter(|l| l.field("id") == Some(id)).collect();
    let (Some(first), Some(last)) = (
        own_lines.iter().map(|l| l.at).min(),
        own_lines.iter().map(|l| l.at).max(),
    ) else {
        return Vec::new();
    };
    let vms: BTreeSet<&str> = own_lines.iter().map(|l| &*l.vm).collect();
    let groups: BTreeSet<&str> = own_lines.iter().filter_map(|l| l.field("group")).collect();
    let span = first.saturating_sub(CONTEXT_BEFORE_MS)..=last + CONTEXT_AFTER_MS;
    let is_context = |l: &&Line| {
        let of_group = l.field("group").is_some_and(|g| groups.contains(g));
        let group_event = GROUP_EVENT_PREFIXES.iter().any(|b| l.text.starts_with(b));
        let primary_change = l.text.starts_with("H74");
        of_group && group_event && span.contains(&l.at) && (primary_change || vms.contains(&*l.vm))
    };
    let mut timeline: Vec<Line> = lines
        .iter()
        .filter(|l| l.field("id") == Some(id) || is_context(l))
        .cloned()
        .collect();
    timeline.sort();
    timeline.dedup();
    timeline
}

/// Reads the events of log files; `-` is standard input.
pub fn read(files: &[String]) -> Result<Vec<Line>, String> {
    let mut lines = Vec::new();
    for file in files {
        let mut text = String::new();
        if file == "-" {
            let read = std::io::stdin().read_to_string(&mut text);
            read.map_err(|e| format!("standard input: {e}"))?;
        } else {
            let bytes = std::fs::read(file).map_err(|e| format!("{file}: {e}"))?;
            text = String::from_utf8_lossy(&bytes).into_owned();
        }
        lines.extend(text.lines().filter_map(|line| Line::parse(file, line)));
    }
    Ok(lines)
}

/// Prints the timeline of a statement.
pub fn explain(id: &str, files: &[String]) -> Result<(), String> {
    let timeline = timeline(&read(files)?, id);
    let Some(start) = timeline.first().map(|l| l.at) else {
        return Err(format!("no log line mentions {id}"));
    };
    for line in &timeline {
        println!("{:>7} ms  {:24} {}", line.at - start, line.vm, line.text);
    }
    Ok(())
}

#[cfg(test)]
#[path = "../tests/explain.rs"]
mod tests;
