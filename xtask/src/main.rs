//! Chores of the repository: generated code, demos, proofs and measurements.

mod codegen;

fn main() {
    let stale = codegen::run(std::env::args().any(|a| a == "--check"));
    for path in stale {
        println!("{}", path.display());
    }
}
