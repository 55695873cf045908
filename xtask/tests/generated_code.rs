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
