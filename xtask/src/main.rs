//! Developer tasks: code generation, demo, fault-injection tests, measurements and soak tests.

mod cluster;
mod codegen;
mod demo;
mod load;
mod measure;
mod prove;
mod soak;

use bpaf::{OptionParser, Parser, construct, long, positional};

enum Task {
    Codegen { check: bool },
    Demo(demo::Options),
    Prove(prove::Options),
    Measure(measure::Measurement),
    Soak(soak::Options),
}

fn seed() -> impl Parser<u64> {
    long("seed")
        .help("seed of all random choices")
        .argument::<u64>("N")
        .fallback(1)
}

fn options() -> OptionParser<Task> {
    let check = long("check").help("only report outdated files").switch();
    let codegen = construct!(Task::Codegen { check })
        .to_options()
        .descr("Generate code and catalogues from schema/")
        .command("codegen");
    let seconds = long("seconds")
        .help("time under load, in seconds")
        .argument::<u64>("S")
        .fallback(20);
    let json = long("json")
        .help("print the result as JSON on the last line")
        .switch();
    let seed = seed();
    let keep = long("keep").help("keep the logs").switch();
    let report = long("report")
        .help("print the burn report and write its plot to FILE")
        .argument::<String>("FILE")
        .optional();
    let options = construct!(demo::Options {
        seed,
        seconds,
        json,
        keep,
        report
    });
    let demo = construct!(Task::Demo(options))
        .to_options()
        .descr("Run both deployments under load and kill a primary of each")
        .command("demo");
    let list = long("list").help("list the cases").switch();
    let all = long("all").help("run every case").switch();
    let naive = long("naive")
        .help("run against the naive proxy instead of the fleet; cases are expected to fail")
        .switch();
    let keep = long("keep").help("keep the logs").switch();
    let seed = self::seed();
    let case = positional::<String>("CASE").help("case to run").optional();
    let options = construct!(prove::Options {
        list,
        all,
        naive,
        keep,
        seed,
        case
    });
    let prove = construct!(Task::Prove(options))
        .to_options()
        .descr("Inject faults into a fleet and check its guarantees")
        .command("prove");
    let measurement = positional::<String>("WHAT")
        .help("path, capacity or writes")
        .parse(|text| match text.as_str() {
            "path" => Ok(measure::Measurement::Path),
            "capacity" => Ok(measure::Measurement::Capacity),
            "writes" => Ok(measure::Measurement::Writes),
            _ => Err("expected path, capacity or writes"),
        });
    let measure = construct!(Task::Measure(measurement))
        .to_options()
        .descr("Run a measurement and print its table")
        .command("measure");
    let soak = soak_options();
    construct!([codegen, demo, prove, measure, soak]).to_options()
}

fn soak_options() -> impl Parser<Task> {
    let seconds = long("seconds")
        .help("time under faults, in seconds")
        .argument::<u64>("S")
        .fallback(12);
    let daemons = long("daemons")
        .help("daemons to run")
        .argument::<usize>("N")
        .fallback(5);
    let count = long("seeds")
        .help("seeds to run, from the first one on")
        .argument::<u64>("N")
        .fallback(1);
    let kept = long("kept")
        .help("run the seeds that failed in earlier versions")
        .switch();
    let safety = long("safety")
        .help("fail on violated guarantees only, not on slow or scarce service")
        .switch();
    let accounts = long("accounts")
        .help("give callers client accounts, and change keys and rates")
        .switch();
    let former_build = long("former-build")
        .help("begin with this program, and replace one daemon after the other")
        .argument::<std::path::PathBuf>("FILE")
        .optional();
    let build = long("build")
        .help("run this program instead of the one built from this workspace")
        .argument::<std::path::PathBuf>("FILE")
        .optional();
    let late_orders = long("late-orders")
        .help("also hold up orders of promotions, with faults around them")
        .switch();
    let stops = long("stops")
        .help("also stop daemons in series, beside planned changes of primary")
        .switch();
    let replaced = long("replaced")
        .help("also replace machines for good, under new names and addresses")
        .switch();
    let logs = long("logs")
        .help("directory of the logs, by default in the target directory")
        .argument::<std::path::PathBuf>("DIR")
        .optional();
    let seed = self::seed();
    let options = construct!(soak::Options {
        seed,
        count,
        seconds,
        daemons,
        kept,
        safety,
        accounts,
        former_build,
        build,
        late_orders,
        stops,
        replaced,
        logs
    });
    construct!(Task::Soak(options))
        .to_options()
        .descr("Run daemons against stand-ins of the platform under random faults")
        .command("soak")
}

fn main() {
    let result = match options().run() {
        Task::Codegen { check } => run_codegen(check),
        Task::Demo(options) => demo::demo(&options),
        Task::Prove(options) => prove::prove(&options),
        Task::Measure(measurement) => measure::measure(&measurement),
        Task::Soak(options) => soak::soak(&options),
    };
    if let Err(text) = result {
        eprintln!("xtask: {text}");
        std::process::exit(1);
    }
}

fn run_codegen(check: bool) -> Result<(), String> {
    let outdated = codegen::run(check);
    for path in &outdated {
        println!(
            "{}{}",
            if check { "outdated: " } else { "written: " },
            path.display()
        );
    }
    if check && !outdated.is_empty() {
        Err("run cargo xtask codegen".to_owned())
    } else {
        Ok(())
    }
}
