//! Stand-ins for the systems around hollyreach, for tests and demos only.
//!
//! `member` simulates one member of a database group, `platform` the object API, and `links` the
//! network between data centres; `naive` is the proxy that `xtask prove` uses as a baseline. The
//! product must not depend on this crate.

mod links;
mod log;
mod member;
mod naive;
mod platform;
mod replication;
mod session;
mod sql;

use bpaf::{Parser, construct, long};

/// Subcommand, which selects the simulated system.
enum Command {
    Member(member::Options),
    Platform(Box<str>),
    Links(links::Options),
    Naive(naive::Options),
}

fn text(name: &'static str, help: &'static str) -> impl Parser<Box<str>> {
    long(name)
        .help(help)
        .argument::<String>("TEXT")
        .map(String::into_boxed_str)
}

fn number(name: &'static str, help: &'static str, default: u64) -> impl Parser<u64> {
    long(name).help(help).argument::<u64>("N").fallback(default)
}

fn member_options() -> impl Parser<member::Options> {
    let listen = text("listen", "address to accept connections on");
    let start_as_primary = long("leader")
        .help("start as the primary of term 1")
        .switch();
    let follow = text("follow", "address of the primary to follow").optional();
    let address_map = text(
        "map",
        "FROM=TO prefix to rewrite in addresses of other members",
    )
    .many();
    let data_file = text("data", "file that persists term and log").optional();
    let max_connections = number("limit", "most concurrent connections", 16);
    let slots = number("slots", "most concurrent statements", 2);
    let open_ms = number("open-ms", "time to open a connection, ms", 12);
    let work_us = number("work-us", "time a statement occupies its slot, µs", 200);
    let lag_ms = number("lag-ms", "delay before a replica applies an entry, ms", 0);
    construct!(member::Options {
        listen,
        start_as_primary,
        follow,
        address_map,
        data_file,
        max_connections,
        slots,
        open_ms,
        work_us,
        lag_ms
    })
}

fn command() -> impl Parser<Command> {
    let member = construct!(Command::Member(member_options()))
        .to_options()
        .command("member");
    let listen = text("listen", "address to accept connections on");
    let platform = construct!(Command::Platform(listen))
        .to_options()
        .command("platform");
    let control = text("control", "address for control requests");
    let delay_us = number("delay-us", "one-way delay, µs", 0);
    let links = text("link", "LISTEN=TARGET").many();
    let options = construct!(links::Options {
        control,
        delay_us,
        links
    });
    let links = construct!(Command::Links(options))
        .to_options()
        .command("links");
    let listen = text("listen", "address to accept connections on");
    let targets = text(
        "to",
        "address to forward connections to, in order of preference",
    )
    .many();
    let round_robin = long("spread")
        .help("distribute connections round-robin over the addresses")
        .switch();
    let options = construct!(naive::Options {
        listen,
        targets,
        round_robin
    });
    let naive = construct!(Command::Naive(options))
        .to_options()
        .command("naive");
    construct!([member, platform, links, naive])
}

fn main() {
    match command().to_options().run() {
        Command::Member(options) => member::run(options),
        Command::Platform(listen) => platform::run(&listen),
        Command::Links(options) => links::run(&options),
        Command::Naive(options) => naive::run(&options),
    }
}
