//! The command-line parser.

use bpaf::{OptionParser, Parser, construct, long, positional};

/// A parsed command line.
pub enum Command {
    /// Run a daemon of a fleet, with the settings of `schema::load_settings`.
    Serve { config: Box<str> },
    /// Run a daemon of the `platform` crate, with the settings of `schema::load_gateway`.
    Gateway { config: Box<str> },
    /// Validate a settings file: that of a `gateway` daemon if `gateway` is set, otherwise that of
    /// a `serve` daemon.
    Check { file: Box<str>, gateway: bool },
    /// Reconstruct the timeline of a statement from logs.
    Explain { id: Box<str>, files: Vec<String> },
    /// Give up the commits that departed members of a group may have taken along.
    AcceptLoss {
        config: Box<str>,
        group: Box<str>,
        members: Vec<Box<str>>,
    },
    /// Hash a caller's password.
    Password { password: Box<str> },
    /// Show or change configuration.
    Config {
        command: ConfigCommand,
        target: Target,
    },
    /// Show the daemons and groups of the fleet.
    Status { target: Target },
    /// Generate a report.
    Report {
        command: ReportCommand,
        target: Target,
    },
}

/// Subcommands of `config`.
#[derive(Clone)]
pub enum ConfigCommand {
    /// Print the configuration of an institution.
    Show { institution: Box<str> },
    /// Submit a patch.
    Patch {
        institution: Box<str>,
        /// Version that the patch is made against; 0 creates the institution.
        version: u64,
        /// Identifier of the patch; a random one if `None`.
        id: Option<Box<str>>,
        file: Box<str>,
    },
    /// Show which version is in force on each daemon.
    Status,
    /// Print version and identifier of the most recent patches.
    History { institution: Box<str> },
}

/// Subcommands of `report`.
pub enum ReportCommand {
    /// Print the error budget burn of all institutions, and write it to files as an HTML page or an
    /// SVG chart.
    Burn {
        html: Option<Box<str>>,
        svg: Option<Box<str>>,
    },
}

/// The fleet that a command addresses, and the output format.
#[derive(Clone)]
pub struct Target {
    /// Settings file of any daemon in the fleet; provides the daemon's address, the seeds, the
    /// address map and the fleet's secret.
    pub config: Box<str>,
    /// Whether to print JSON.
    pub json: bool,
}

fn option(name: &'static str, meta: &'static str, help: &'static str) -> impl Parser<Box<str>> {
    long(name)
        .help(help)
        .argument::<String>(meta)
        .map(String::into_boxed_str)
}

fn positional_text(meta: &'static str, help: &'static str) -> impl Parser<Box<str>> {
    positional::<String>(meta)
        .help(help)
        .map(String::into_boxed_str)
}

fn target() -> impl Parser<Target> {
    let config = option(
        "config",
        "FILE",
        "settings file of any daemon in the fleet; provides its address, the seeds and the secret",
    );
    let json = long("json").help("print JSON").switch();
    construct!(Target { config, json })
}

fn config_command() -> impl Parser<Command> {
    let institution = positional_text("INSTITUTION", "name of the institution");
    let show = construct!(ConfigCommand::Show { institution })
        .to_options()
        .descr("Print the configuration in force")
        .command("show");
    let version = long("version")
        .help("version the patch is based on; 0 creates the institution")
        .argument::<u64>("N");
    let id = option(
        "id",
        "ID",
        "identifier of the patch; reuse it to retry after a lost answer",
    )
    .optional();
    let institution = positional_text("INSTITUTION", "name of the institution");
    let file = positional_text(
        "FILE",
        "JSON Patch, or the whole object if the version is 0; - for standard input",
    );
    let patch = construct!(ConfigCommand::Patch {
        version,
        id,
        institution,
        file
    })
    .to_options()
    .descr(
        "Submit a patch; exit codes: 0 accepted, 1 failed, 3 conflict, 4 invalid, 5 platform unavailable, 6 outcome unknown",
    )
    .command("patch");
    let status = bpaf::pure(ConfigCommand::Status)
        .to_options()
        .descr("Show which version is in force on each daemon")
        .command("status");
    let institution = positional_text("INSTITUTION", "name of the institution");
    let history = construct!(ConfigCommand::History { institution })
        .to_options()
        .descr("Print version and identifier of the most recent patches")
        .command("history");
    let command = construct!([show, patch, status, history]);
    let target = target();
    construct!(Command::Config { target, command })
}

fn report_command() -> impl Parser<Command> {
    let html = option("html", "FILE", "write the report to FILE as an HTML page").optional();
    let svg = option(
        "svg",
        "FILE",
        "write an SVG chart of the burn rates to FILE",
    )
    .optional();
    let command = construct!(ReportCommand::Burn { html, svg })
        .to_options()
        .descr("Error budget burn, failover gaps and replica share, worst first")
        .command("burn");
    let target = target();
    construct!(Command::Report { target, command })
}

fn options() -> OptionParser<Command> {
    let config = option("config", "FILE", "settings file");
    let serve = construct!(Command::Serve { config })
        .to_options()
        .descr("Run a daemon")
        .command("serve");
    let config = option("config", "FILE", "settings file");
    let gateway_command = construct!(Command::Gateway { config })
        .to_options()
        .descr("Run a daemon on the platform")
        .command("gateway");
    let gateway = long("gateway")
        .help("FILE holds the settings of a daemon on the platform")
        .switch();
    let file = positional_text("FILE", "settings file");
    let check = construct!(Command::Check { gateway, file })
        .to_options()
        .descr("Validate a settings file; exit code 2 if it is invalid")
        .command("check");
    let id = positional_text("ID", "identifier of the statement");
    let files = positional::<String>("FILE")
        .help("log files of the VMs; - for standard input")
        .some("expected log files, or - for standard input");
    let explain = construct!(Command::Explain { id, files })
        .to_options()
        .descr("Reconstruct the timeline of a statement from logs")
        .command("explain");
    let password = positional_text("PASSWORD", "password to hash");
    let password = construct!(Command::Password { password })
        .to_options()
        .descr("Hash a caller's password for the configuration")
        .command("password");
    let config = option(
        "config",
        "FILE",
        "settings file of a daemon on the platform",
    );
    let group = option("group", "GROUP", "group without a primary");
    let members = positional_text("MEMBER", "departed member, as the log names it")
        .some("expected departed members");
    let accept_loss = construct!(Command::AcceptLoss {
        config,
        group,
        members
    })
    .to_options()
    .descr("Give up acknowledged commits that only departed members have, for 15 minutes")
    .command("accept-loss");
    let config = config_command()
        .to_options()
        .descr("Show or change configuration")
        .command("config");
    let target = target();
    let status = construct!(Command::Status { target })
        .to_options()
        .descr("Show daemons and groups")
        .command("status");
    let report = report_command()
        .to_options()
        .descr("Generate a report")
        .command("report");
    construct!([
        serve,
        gateway_command,
        check,
        config,
        status,
        report,
        explain,
        accept_loss,
        password
    ])
    .to_options()
    .descr("A database proxy with session consistency")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Parses the command line; exits the process on `--help`, on `--version` and on errors.
pub fn parse() -> Command {
    options().run()
}
