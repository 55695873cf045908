//! Tests of the errors reported for invalid settings files.

use expect_test::{Expect, expect};
use schema::load_settings;

const VALID: &str = "name: entry-11
data_center: dc1
listen: 127.0.0.1:6432
internal: 127.0.0.1:7432
platform: 127.0.0.1:8000
secret: 0123456789abcdef
";

/// Loads a settings file with this text, and compares the result or the error with `expect`.
///
/// `name` is the file's name, which differs in each test because tests run in parallel.
fn check(name: &str, text: &str, expect: &Expect) {
    let path = std::env::temp_dir().join(format!(
        "hollyreach-settings-{}-{name}.yaml",
        std::process::id()
    ));
    std::fs::write(&path, text).expect("the temporary file can be written");
    let file = path.display().to_string();
    let result = match load_settings(&file) {
        Ok(settings) => format!("ok: {}", settings.name),
        Err(e) => e.to_string().replace(&file, "FILE"),
    };
    std::fs::remove_file(&path).expect("the temporary file can be removed");
    expect.assert_eq(&result);
}

/// Guards against a setting that has no default although it is optional.
#[test]
fn accepts_a_minimal_file() {
    check("good", VALID, &expect!["ok: entry-11"]);
}

/// Guards against a misspelt key that is ignored, so that its default applies unnoticed.
#[test]
fn rejects_unknown_keys() {
    let text = format!("{VALID}timings: {{}}\n");
    check(
        "unknown",
        &text,
        &expect![
            "FILE:7:1: unknown field `timings`, expected one of `name`, `data_center`, `listen`, `internal`, `platform`, `secret`, `seeds`, `address_map`, `statsd`, `tls`, `limits`, `timing` at line 7 column 1"
        ],
    );
}

/// Guards against an error without the place and the type that is expected.
#[test]
fn rejects_values_with_units() {
    let text = format!("{VALID}timing:\n  suspect_ms: 1s\n");
    check(
        "unit",
        &text,
        &expect![[
            r#"FILE:8:15: timing.suspect_ms: invalid type: string "1s", expected u64 at line 8 column 15"#
        ]],
    );
}

/// Guards against a check that stops at the first error, or names the wrong line.
#[test]
fn rejects_values_out_of_range() {
    let text = format!("{VALID}limits:\n  homes: 0\ntiming:\n  suspect_ms: 50\n");
    check(
        "range",
        &text,
        &expect![[r"
            FILE:8: limits.homes: is 0, expected 1 to 8 daemons
            FILE:10: timing.suspect_ms: is 50, expected 200 to 5000 ms
            FILE:9: timing.refused_ms: expected less than suspect_ms"]],
    );
}

/// Guards against values that are valid on their own but not together.
#[test]
fn rejects_contradictions_and_duplicate_names() {
    let seed = "  - {name: a, data_center: d, addr: \"127.0.0.1:1\"}\n";
    let text = format!(
        "{}secret: short\nseeds:\n{seed}{seed}",
        VALID.replace("secret: 0123456789abcdef\n", "")
    )
    .replace("internal: 127.0.0.1:7432", "internal: 127.0.0.1:6432");
    check(
        "twice",
        &text,
        &expect![[r#"
            FILE:9: seeds[1].name: "a" stands twice
            FILE:4: internal: is the same as listen, expected another address
            FILE:6: secret: expected at least 16 characters"#]],
    );
}
