//! Distribution of the configuration and of the list of VMs through the fleet.
//!
//! A few daemons of each data centre watch the platform and push changes down a tree. Every daemon
//! also gossips: it compares versions with a random peer periodically, which delivers missed
//! pushes, also to a data centre that is cut off from the platform.

mod gossip;
mod patch;
mod watch;

pub use watch::run;
