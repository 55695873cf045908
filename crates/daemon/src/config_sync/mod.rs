//! Configuration and the list of VMs on their way through the fleet.
//!
//! A few daemons of each data centre watch the platform and push what is new down a tree; every
//! daemon also compares versions with a random peer from time to time, which repairs what the
//! tree missed and serves a data centre that is cut off from the platform.

mod gossip;
mod patch;
mod watch;

pub use watch::run;
