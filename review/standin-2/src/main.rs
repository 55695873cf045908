//! Runs a case of the review: `review-standin-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod client;
mod commits;
mod fleet;
mod lost_log;
mod lost_release;
mod planned_stop;
mod record;
mod setting;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Longest time for a case.
const CASE_TIMEOUT: Duration = Duration::from_secs(100);

/// What a case has shown.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// What a case gets.
pub struct Case {
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// Folder for settings and logs of the daemons.
    pub dir: PathBuf,
}

pub async fn sleep_ms(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path] = &args[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let dir = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    let record = std::fs::create_dir_all(&dir).and_then(|()| Record::create(path));
    let Ok(record) = record else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let case = Case {
        record,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        dir: dir.clone(),
    };
    let (mut code, name) = (2, name.clone());
    let result = &mut code;
    world::run(async move {
        let run = async {
            match &*name {
                "lost-log" => lost_log::run(&case).await,
                "lost-release" => lost_release::run(&case).await,
                "planned-stop" => planned_stop::run(&case).await,
                _ => Verdict::NotRun("no such case".to_owned()),
            }
        };
        let verdict = monoio::time::timeout(CASE_TIMEOUT, run).await;
        let (number, text) = match verdict {
            Ok(Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
            Ok(Verdict::Held(text)) => (0, format!("HELD: {text}")),
            Ok(Verdict::NotRun(text)) => (2, format!("NOT RUN: {text}")),
            Err(_) => (2, "NOT RUN: it took too long".to_owned()),
        };
        case.record.line(&text);
        println!("{text}");
        *result = number;
    });
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    ExitCode::from(code)
}
