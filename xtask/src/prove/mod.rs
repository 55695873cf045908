//! Proofs: each case runs a fleet, brings failures about, and checks the stand-ins' own records.

mod at_most_once;
mod bounded_staleness;
mod cases;
mod configuration;
mod golden;
mod harness;
mod overload;
mod primary;
mod rolling_restart;
mod sessions;

use std::future::Future;
use std::pin::Pin;

use serde_json::json;

use harness::CaseReport;

pub use harness::single_group;

/// Options of one run.
pub struct Options {
    pub list: bool,
    pub all: bool,
    pub naive: bool,
    pub keep: bool,
    pub seed: u64,
    pub case: Option<String>,
}

/// What a case is run with.
#[derive(Clone, Copy)]
pub struct CaseContext {
    /// Seed of all choices.
    pub seed: u64,
    /// Whether the naive way is run instead of the fleet.
    pub naive: bool,
    /// Whether the logs are kept.
    pub keep: bool,
}

type Run = fn(CaseContext) -> Pin<Box<dyn Future<Output = Result<CaseReport, String>>>>;

/// One case.
pub struct Case {
    /// Name on the command line.
    pub name: &'static str,
    /// What must hold.
    pub holds: &'static str,
    /// Failures that are brought about.
    pub failures: &'static str,
    run: Run,
}

/// Runs what the options ask for; the error names the cases that are broken.
pub fn prove(options: &Options) -> Result<(), String> {
    let cases = cases::all();
    if options.list {
        for case in &cases {
            println!(
                "{:<22} {} | {} | expected: holds",
                case.name, case.holds, case.failures
            );
        }
        return Ok(());
    }
    let red = known_red();
    let wanted = |c: &&Case| options.all || options.case.as_deref() == Some(c.name);
    let chosen: Vec<&Case> = cases.iter().filter(wanted).collect();
    if chosen.is_empty() {
        return Err("name a case, or give --all or --list".to_owned());
    }
    let ctx = CaseContext {
        seed: options.seed,
        naive: options.naive,
        keep: options.keep,
    };
    let (mut passed, mut broken) = (0, Vec::new());
    for case in chosen {
        let held = run_case(case, ctx);
        if held {
            passed += 1;
        } else if options.all && red.iter().any(|r| r == case.name) {
            println!("known red, see KNOWN-RED.txt: {}", case.name);
        } else {
            broken.push(case.name);
        }
    }
    println!("{passed} passed, {} failed", broken.len());
    if broken.is_empty() {
        Ok(())
    } else {
        Err(format!("broken: {}", broken.join(", ")))
    }
}

/// Names of the cases that are listed as red.
fn known_red() -> Vec<String> {
    let text =
        std::fs::read_to_string(crate::codegen::root().join("KNOWN-RED.txt")).unwrap_or_default();
    let names = text.lines().filter_map(|l| l.strip_prefix("prove "));
    names
        .filter_map(|l| l.split([' ', ':']).next().map(str::to_owned))
        .collect()
}

fn run_case(case: &Case, ctx: CaseContext) -> bool {
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let result = local.block_on(&runtime, (case.run)(ctx));
    let (verdict, report) = match result {
        Ok(report) => (
            if report.all_violations().is_empty() {
                "holds"
            } else {
                "broken"
            },
            report,
        ),
        Err(text) => {
            let mut report = CaseReport::default();
            report.add_violation(text);
            ("failed", report)
        }
    };
    let mut line =
        json!({ "case": case.name, "seed": ctx.seed, "naive": ctx.naive, "verdict": verdict });
    let told = serde_json::to_value(&report).expect("facts are plain data");
    for (name, val) in told.as_object().into_iter().flatten() {
        line[name] = val.clone();
    }
    line["broken"] = json!(report.all_violations());
    println!("{line}");
    verdict == "holds"
}
