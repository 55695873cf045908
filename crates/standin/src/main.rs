//! Small stand-ins for the systems around hollyreach, for tests and demos only.
//!
//! `member` plays one member of a database group, `platform` the object API, `links` the network
//! between data centres, `naive` the proxy that proofs compare with. The product never depends on this crate.

mod links;
mod log;
mod member;
mod naive;
mod platform;
mod replication;
mod session;
mod sql;

use bpaf::{Parser, construct, long};

/// What one process stands in for.
enum Role {
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
    let leader = long("leader")
        .help("start as the primary of term 1")
        .switch();
    let follow = text("follow", "address of the primary to follow").optional();
    let map = text("map", "FROM=TO prefix rewritten in addresses to follow").many();
    let data = text("data", "file that keeps term and log").optional();
    let limit = number("limit", "connections accepted at once", 16);
    let slots = number("slots", "statements run at once", 2);
    let open_ms = number("open-ms", "time to open a connection, ms", 12);
    let work_us = number("work-us", "time a statement holds its slot, µs", 200);
    let lag_ms = number("lag-ms", "delay before a replica applies an entry, ms", 0);
    construct!(member::Options {
        listen,
        leader,
        follow,
        map,
        data,
        limit,
        slots,
        open_ms,
        work_us,
        lag_ms
    })
}

fn role() -> impl Parser<Role> {
    let member = construct!(Role::Member(member_options()))
        .to_options()
        .command("member");
    let listen = text("listen", "address to accept connections on");
    let platform = construct!(Role::Platform(listen))
        .to_options()
        .command("platform");
    let control = text("control", "address for control requests");
    let delay_us = number("delay-us", "one-way delay, µs", 0);
    let pair = text("link", "LISTEN=TARGET").many();
    let options = construct!(links::Options {
        control,
        delay_us,
        pair
    });
    let links = construct!(Role::Links(options))
        .to_options()
        .command("links");
    let listen = text("listen", "address to accept connections on");
    let to = text("to", "address to pass connections on to").many();
    let spread = long("spread").help("use the addresses in turn").switch();
    let options = construct!(naive::Options { listen, to, spread });
    let naive = construct!(Role::Naive(options))
        .to_options()
        .command("naive");
    construct!([member, platform, links, naive])
}

fn main() {
    match role().to_options().run() {
        Role::Member(options) => member::run(options),
        Role::Platform(listen) => platform::run(&listen),
        Role::Links(options) => links::run(&options),
        Role::Naive(options) => naive::run(&options),
    }
}
