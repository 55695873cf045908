//! Commands and their arguments.

use bpaf::{OptionParser, Parser, construct, long, positional};

/// What the command line asks for.
pub enum Command {
    /// Run a daemon.
    Serve { config: Box<str> },
    /// Run a daemon on the platform.
    Gateway { config: Box<str> },
    /// Check a settings file.
    Check { file: Box<str>, gateway: bool },
    /// Tell the story of a statement.
    Explain { id: Box<str>, files: Vec<String> },
    /// Salt a caller's password.
    Password { password: Box<str> },
    /// Show or change configuration.
    Config { command: ConfigCommand, to: Target },
    /// Show the fleet.
    Status { to: Target },
    /// Make a report.
    Report { command: ReportCommand, to: Target },
}

/// Commands on configuration.
#[derive(Clone)]
pub enum ConfigCommand {
    Show {
        institution: Box<str>,
    },
    Patch {
        institution: Box<str>,
        version: u64,
        id: Option<Box<str>>,
        file: Box<str>,
    },
    Status,
    History {
        institution: Box<str>,
    },
}

/// Reports.
pub enum ReportCommand {
    Burn {
        html: Option<Box<str>>,
        svg: Option<Box<str>>,
    },
}

/// Which fleet to ask, and how to print.
#[derive(Clone)]
pub struct Target {
    /// Settings file of one of its daemons, with address and secret.
    pub config: Box<str>,
    /// Print JSON.
    pub json: bool,
}

fn text(name: &'static str, meta: &'static str, help: &'static str) -> impl Parser<Box<str>> {
    long(name)
        .help(help)
        .argument::<String>(meta)
        .map(String::into_boxed_str)
}

fn place(meta: &'static str, help: &'static str) -> impl Parser<Box<str>> {
    positional::<String>(meta)
        .help(help)
        .map(String::into_boxed_str)
}

fn target() -> impl Parser<Target> {
    let config = text(
        "config",
        "FILE",
        "settings file of a daemon of the fleet, for address and secret",
    );
    let json = long("json").help("print JSON").switch();
    construct!(Target { config, json })
}

fn config_command() -> impl Parser<Command> {
    let institution = place("INSTITUTION", "name of the institution");
    let show = construct!(ConfigCommand::Show { institution })
        .to_options()
        .descr("Print the configuration in force")
        .command("show");
    let version = long("version")
        .help("version the patch was made against; 0 creates the institution")
        .argument::<u64>("N");
    let id = text(
        "id",
        "ID",
        "identifier of the patch; repeat it to settle a lost answer",
    )
    .optional();
    let institution = place("INSTITUTION", "name of the institution");
    let file = place(
        "FILE",
        "JSON Patch, or the whole object with version 0; - reads standard input",
    );
    let patch = construct!(ConfigCommand::Patch {
        version,
        id,
        institution,
        file
    })
    .to_options()
    .descr(
        "Submit a patch; exit code 0 accepted, 3 conflict, 4 invalid, 5 platform down, 6 unknown",
    )
    .command("patch");
    let status = bpaf::pure(ConfigCommand::Status)
        .to_options()
        .descr("Show which version is in force on each daemon")
        .command("status");
    let institution = place("INSTITUTION", "name of the institution");
    let history = construct!(ConfigCommand::History { institution })
        .to_options()
        .descr("Print the newest patches")
        .command("history");
    let command = construct!([show, patch, status, history]);
    let to = target();
    construct!(Command::Config { to, command })
}

fn report_command() -> impl Parser<Command> {
    let html = text("html", "FILE", "write a page with a plot").optional();
    let svg = text("svg", "FILE", "write a plot").optional();
    let command = construct!(ReportCommand::Burn { html, svg })
        .to_options()
        .descr("Service-level burn, failover gaps and replica share; the worst stands first")
        .command("burn");
    let to = target();
    construct!(Command::Report { to, command })
}

fn options() -> OptionParser<Command> {
    let config = text("config", "FILE", "settings file");
    let serve = construct!(Command::Serve { config })
        .to_options()
        .descr("Run a daemon")
        .command("serve");
    let config = text("config", "FILE", "settings file");
    let on_platform = construct!(Command::Gateway { config })
        .to_options()
        .descr("Run a daemon on the platform")
        .command("gateway");
    let gateway = long("gateway")
        .help("the settings are of a daemon on the platform")
        .switch();
    let file = place("FILE", "settings file");
    let check = construct!(Command::Check { gateway, file })
        .to_options()
        .descr("Check a settings file; exit code 2 when it is refused")
        .command("check");
    let id = place("ID", "identifier of the statement");
    let files = positional::<String>("FILE")
        .help("logs of the VMs; - reads standard input")
        .some("expected logs, or - for standard input");
    let explain = construct!(Command::Explain { id, files })
        .to_options()
        .descr("Put the story of a statement together from logs")
        .command("explain");
    let password = place("PASSWORD", "password to salt");
    let password = construct!(Command::Password { password })
        .to_options()
        .descr("Salt a caller's password for the configuration")
        .command("password");
    let config = config_command()
        .to_options()
        .descr("Show or change configuration")
        .command("config");
    let to = target();
    let status = construct!(Command::Status { to })
        .to_options()
        .descr("Show daemons and groups")
        .command("status");
    let report = report_command()
        .to_options()
        .descr("Make a report")
        .command("report");
    construct!([
        serve,
        on_platform,
        check,
        config,
        status,
        report,
        explain,
        password
    ])
    .to_options()
    .descr("A database proxy with session consistency")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Reads the command line; ends the process on `--help` and on errors.
pub fn parse() -> Command {
    options().run()
}
