//! Generated code and catalogues are fresh.

use std::process::Command;

#[test]
fn generated_files_are_fresh() {
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["codegen", "--check"])
        .output()
        .expect("xtask runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}run `cargo xtask codegen`");
}
