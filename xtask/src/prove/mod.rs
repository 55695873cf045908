//! Fault-injection tests of a fleet (`cargo xtask prove`).
//!
//! Each case starts daemons and stand-ins, injects faults, and compares the outcomes reported to
//! the callers with what the stand-ins recorded.

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

/// Command-line options of `prove`.
pub struct Options {
    pub list: bool,
    pub all: bool,
    pub naive: bool,
    pub keep: bool,
    pub seed: u64,
    pub case: Option<String>,
}

/// Arguments that every case receives.
#[derive(Clone, Copy)]
pub struct CaseContext {
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether callers use the naive proxy instead of the fleet, as a baseline that should fail.
    pub naive: bool,
    /// Whether the logs are kept after the case.
    pub keep: bool,
}

type CaseFn = fn(CaseContext) -> Pin<Box<dyn Future<Output = Result<CaseReport, String>>>>;

/// One entry of the list of cases.
pub struct Case {
    /// Name on the command line.
    pub name: &'static str,
    /// Property that must hold.
    pub property: &'static str,
    /// Faults that are injected.
    pub faults: &'static str,
    run: CaseFn,
}

/// Lists or runs the selected cases.
///
/// # Errors
///
/// Names the cases that failed; with `--all`, those that `KNOWN-RED.txt` lists are left out.
pub fn prove(options: &Options) -> Result<(), String> {
    let cases = cases::all();
    if options.list {
        for case in &cases {
            println!(
                "{:<22} {} | {} | expected: holds",
                case.name, case.property, case.faults
            );
        }
        return Ok(());
    }
    let known_failures = known_failures();
    let is_selected = |c: &&Case| options.all || options.case.as_deref() == Some(c.name);
    let selected: Vec<&Case> = cases.iter().filter(is_selected).collect();
    if selected.is_empty() {
        return Err("no case selected; name one from --list, or give --all".to_owned());
    }
    let ctx = CaseContext {
        seed: options.seed,
        naive: options.naive,
        keep: options.keep,
    };
    let (mut passed, mut failed) = (0, Vec::new());
    for case in selected {
        let holds = run_case(case, ctx);
        if holds {
            passed += 1;
        } else if options.all && known_failures.iter().any(|r| r == case.name) {
            println!("known red, see KNOWN-RED.txt: {}", case.name);
        } else {
            failed.push(case.name);
        }
    }
    println!("{passed} passed, {} failed", failed.len());
    if failed.is_empty() {
        Ok(())
    } else {
        Err(format!("broken: {}", failed.join(", ")))
    }
}

/// Names of the cases that `KNOWN-RED.txt` lists as failing.
fn known_failures() -> Vec<String> {
    let text =
        std::fs::read_to_string(crate::codegen::root().join("KNOWN-RED.txt")).unwrap_or_default();
    let names = text.lines().filter_map(|l| l.strip_prefix("prove "));
    names
        .filter_map(|l| l.split([' ', ':']).next().map(str::to_owned))
        .collect()
}

/// Runs a case and prints its result as one line of JSON; returns whether its property holds.
fn run_case(case: &Case, ctx: CaseContext) -> bool {
    let local = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("tokio runtime can be built");
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
    let fields = serde_json::to_value(&report).expect("report serializes to JSON");
    for (name, val) in fields.as_object().into_iter().flatten() {
        line[name] = val.clone();
    }
    line["broken"] = json!(report.all_violations());
    println!("{line}");
    verdict == "holds"
}
