//! The `hollyreach` binary: the daemon and the operator's commands.

mod args;
mod config;
mod explain;
mod operator;
mod sink;
mod status;

use args::{Command, ConfigCommand, ReportCommand};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: i32 = 2;
/// Exit code for a failed command.
const EXIT_FAILED: i32 = 1;

fn main() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(|out, record| {
            use std::io::Write;
            writeln!(
                out,
                "{} {} {}",
                base::Ms::unix(),
                record.level(),
                record.args()
            )
        })
        .target(env_logger::Target::Pipe(Box::new(sink::LogSink::start())))
        .init();
    let code = run(args::parse());
    sink::drain();
    std::process::exit(code);
}

fn run(command: Command) -> i32 {
    match command {
        Command::Serve { config } => match schema::load_settings(&config) {
            Ok(settings) => report_result(daemon::serve(settings)),
            Err(e) => report_load_error(&e),
        },
        Command::Gateway { config } => match schema::load_gateway(&config) {
            Ok(settings) => report_result(platform::serve(&settings)),
            Err(e) => report_load_error(&e),
        },
        Command::Check {
            file,
            gateway: true,
        } => match schema::load_gateway(&file) {
            Ok(settings) => {
                println!("{file}: ok, VM {} on the platform", settings.name);
                0
            }
            Err(e) => report_load_error(&e),
        },
        Command::Check {
            file,
            gateway: false,
        } => match schema::load_settings(&file) {
            Ok(settings) => {
                println!(
                    "{file}: ok, VM {} in data centre {}",
                    settings.name, settings.data_center
                );
                0
            }
            Err(e) => report_load_error(&e),
        },
        Command::Explain { id, files } => report_result(explain::explain(&id, &files)),
        Command::AcceptLoss {
            config,
            group,
            members,
        } => match schema::load_gateway(&config) {
            Ok(settings) => report_result(platform::run_accept_losses(&settings, &group, &members)),
            Err(e) => report_load_error(&e),
        },
        Command::Password { password } => {
            let salt: [u8; 16] = std::array::from_fn(|_| fastrand::u8(..));
            let (salt, hash) = pg::Verifier::hash_password(&password, &salt, 4096);
            println!(
                "{}",
                serde_json::json!({ "salt": salt, "hash": hash, "rounds": 4096 })
            );
            0
        }
        Command::Config { command, target } => match command {
            ConfigCommand::Show { institution } => config::show(&target, &institution),
            ConfigCommand::Patch {
                institution,
                version,
                id,
                file,
            } => config::patch(&target, &institution, version, id, &file),
            ConfigCommand::Status => config::status(&target),
            ConfigCommand::History { institution } => config::history(&target, &institution),
        },
        Command::Status { target } => status::status(&target),
        Command::Report { command, target } => match command {
            ReportCommand::Burn { html, svg } => {
                status::burn(&target, html.as_deref(), svg.as_deref())
            }
        },
    }
}

fn report_load_error(error: &schema::LoadError) -> i32 {
    eprintln!("{error}");
    EXIT_INVALID_SETTINGS
}

/// Prints the error, if any, and returns the exit code.
fn report_result(result: Result<(), String>) -> i32 {
    match result {
        Ok(()) => 0,
        Err(text) => {
            eprintln!("hollyreach: {text}");
            EXIT_FAILED
        }
    }
}
