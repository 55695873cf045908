//! Guards against a schema change without regenerated code and catalogues.

use std::process::Command;

#[test]
fn generated_files_are_up_to_date() {
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["codegen", "--check"])
        .output()
        .expect("xtask can be started");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "outdated files, run `cargo xtask codegen`:\n{text}"
    );
}

/// Guards against two events with one number, as when two branches add events and are merged: an
/// operator could not tell them apart.
#[test]
fn each_event_has_a_number_of_its_own() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/EVENTS.md");
    let page = std::fs::read_to_string(page).expect("the catalogue is there");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| H"));
    let numbers: Vec<&str> = rows.filter_map(|row| row.split(' ').next()).collect();
    let mut unique = numbers.clone();
    unique.sort_unstable();
    unique.dedup();
    assert!(numbers.len() > 50, "the catalogue was read");
    assert_eq!(unique.len(), numbers.len(), "numbers stand twice");
}
