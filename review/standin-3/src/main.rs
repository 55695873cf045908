//! Stand-ins for the scripts of the third review, and the cases themselves: `standin-3 CASE RECORD`, with
//! `TROUBLE=0` in the environment for the control. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run.

mod case_config;
mod case_lost;
mod case_one;
mod case_recover;
mod client;
mod deployment;
mod gateway;
mod json;
mod members;
mod record;
mod store;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use record::Record;

/// What a case found: the text of the breach, if there was one; an error if it could not run.
pub type Verdict = Result<Option<String>, String>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin-3 CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(path));
    let verdict = match case.as_str() {
        "lost" => case_lost::run(&case_lost::OF_ALL, &record, has_trouble),
        "leader" => case_lost::run(&case_lost::OF_MEMBERS, &record, has_trouble),
        "recover" => case_recover::run(&record, has_trouble),
        "one" => case_one::run(&record, has_trouble),
        "config" => case_config::run(&record, has_trouble),
        _ => Err("no such case".into()),
    };
    let (code, text) = match verdict {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(breach)) => (1, format!("the rule was broken: {breach}")),
        Err(cause) => (2, format!("the case could not run: {cause}")),
    };
    record.line(&text);
    members::ENDED.store(true, Ordering::Relaxed);
    println!("{text}");
    std::process::exit(code);
}
