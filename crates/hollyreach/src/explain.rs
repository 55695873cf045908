//! Puts the story of one statement together from the logs of several VMs.

use std::collections::BTreeSet;
use std::io::Read;

/// Time before a statement in which the beliefs about its group are told, in ms.
const BEFORE_MS: u64 = 5000;
/// Time after a statement in which changes of primary are told, in ms.
const AFTER_MS: u64 = 2000;
/// Words that begin an event that tells what a process believes of a group.
const BELIEFS: [&str; 3] = ["H72", "H73", "H74"];

/// One line of a log.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Line {
    /// Unix ms at which it was written.
    at: u64,
    /// Where it was written: the name of the file, or what stands before the time.
    vm: Box<str>,
    text: Box<str>,
}

impl Line {
    /// Reads a line; words before the time name the VM.
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

    fn value(&self, name: &str) -> Option<&str> {
        let mut words = self.text.split(' ');
        words.find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Lines that tell what happened to a statement, in order of time.
pub fn story(lines: &[Line], id: &str) -> Vec<Line> {
    let own: Vec<&Line> = lines.iter().filter(|l| l.value("id") == Some(id)).collect();
    let (Some(first), Some(last)) = (
        own.iter().map(|l| l.at).min(),
        own.iter().map(|l| l.at).max(),
    ) else {
        return Vec::new();
    };
    let vms: BTreeSet<&str> = own.iter().map(|l| &*l.vm).collect();
    let groups: BTreeSet<&str> = own.iter().filter_map(|l| l.value("group")).collect();
    let span = first.saturating_sub(BEFORE_MS)..=last + AFTER_MS;
    let tells = |l: &&Line| {
        let of_group = l.value("group").is_some_and(|g| groups.contains(g));
        let belief = BELIEFS.iter().any(|b| l.text.starts_with(b));
        let change = l.text.starts_with("H74");
        of_group && belief && span.contains(&l.at) && (change || vms.contains(&*l.vm))
    };
    let mut told: Vec<Line> = lines
        .iter()
        .filter(|l| l.value("id") == Some(id) || tells(l))
        .cloned()
        .collect();
    told.sort();
    told.dedup();
    told
}

/// Reads logs; `-` is standard input.
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

/// Prints the story of a statement.
pub fn explain(id: &str, files: &[String]) -> Result<(), String> {
    let story = story(&read(files)?, id);
    let Some(start) = story.first().map(|l| l.at) else {
        return Err(format!("no line names {id}"));
    };
    for line in &story {
        println!("{:>7} ms  {:24} {}", line.at - start, line.vm, line.text);
    }
    Ok(())
}

#[cfg(test)]
#[path = "../tests/explain.rs"]
mod tests;
