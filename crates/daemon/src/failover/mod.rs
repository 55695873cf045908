//! Failover: changes the primary of a group when it has failed or leaves.
//!
//! Any daemon may run a change at any time, also twice at once or after a pause: members grant a
//! term to one proposer only, and refuse what belongs to a lower one. Ranking and delays only make
//! duels rare.

mod evaluate;
mod promotion;
mod step_down;
mod switchover;

pub use evaluate::start_evaluation;
pub use step_down::step_down;
