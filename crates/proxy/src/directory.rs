//! Configuration and members, as they are in force.

use std::net::SocketAddr;

use crate::Role;

/// Which data a read may return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// Every commit acknowledged before the read.
    Newest,
    /// Commits of the session, and of others those acknowledged longer ago than this, in ms.
    OwnWrites {
        /// Age in ms.
        max_age: u64,
    },
    /// Commits acknowledged longer ago than this, in ms.
    Aged {
        /// Age in ms.
        max_age: u64,
    },
}

/// The rule for one database.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the database.
    pub database: Box<str>,
    /// Group that serves it.
    pub group: Box<str>,
    /// Which data its reads may return.
    pub freshness: Freshness,
    /// Longest time that one statement may take, in ms.
    pub timeout: u64,
    /// Time within which an answer is worth most, in ms.
    pub target: u64,
    /// Rank among the routes; 0 goes first.
    pub priority: u64,
}

/// Settings of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupRule {
    /// Name of the group.
    pub name: Box<str>,
    /// Connections that one member takes, of all daemons.
    pub conns: u64,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Grows with each configuration.
    pub version: u64,
    /// Rules by database.
    pub routes: Vec<Route>,
    /// Groups.
    pub groups: Vec<GroupRule>,
    /// Time after which an idle transaction may be ended, in ms.
    pub tx_idle: u64,
}

/// A member, as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Identifier of the member.
    pub id: Box<str>,
    /// Its group.
    pub group: Box<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_center: Box<str>,
    /// Statements that it runs at once.
    pub slots: u64,
    /// Whether it will leave.
    pub draining: bool,
    /// Its part, as it sees itself.
    pub role: Role,
    /// Start of its process in Unix ms; tells one life from the next.
    pub born: u64,
}
