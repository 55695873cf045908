//! Chores of the repository: generated code, demos, proofs and measurements.

mod cluster;
mod codegen;
mod demo;
mod load;

use bpaf::{OptionParser, Parser, construct, long};

enum Chore {
    Codegen { check: bool },
    Demo(demo::Options),
}

fn seed() -> impl Parser<u64> {
    long("seed")
        .help("seed of all choices")
        .argument::<u64>("N")
        .fallback(1)
}

fn options() -> OptionParser<Chore> {
    let check = long("check").help("only report what is not fresh").switch();
    let codegen = construct!(Chore::Codegen { check })
        .to_options()
        .descr("Generate code and catalogues from schema/")
        .command("codegen");
    let seconds = long("seconds")
        .help("time under load")
        .argument::<u64>("S")
        .fallback(20);
    let json = long("json").help("print a last line of JSON").switch();
    let seed = seed();
    let options = construct!(demo::Options {
        seed,
        seconds,
        json
    });
    let demo = construct!(Chore::Demo(options))
        .to_options()
        .descr("Run both deployments and kill a primary of each")
        .command("demo");
    construct!([codegen, demo]).to_options()
}

fn main() {
    let result = match options().run() {
        Chore::Codegen { check } => codegen_chore(check),
        Chore::Demo(options) if options.seconds == 0 => demo::debug(),
        Chore::Demo(options) => demo::demo(&options),
    };
    if let Err(text) = result {
        eprintln!("xtask: {text}");
        std::process::exit(1);
    }
}

fn codegen_chore(check: bool) -> Result<(), String> {
    let stale = codegen::run(check);
    for path in &stale {
        println!(
            "{}{}",
            if check { "not fresh: " } else { "written: " },
            path.display()
        );
    }
    if check && !stale.is_empty() {
        Err("run cargo xtask codegen".to_owned())
    } else {
        Ok(())
    }
}
